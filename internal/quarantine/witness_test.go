package quarantine

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const lossTime = 10 * time.Second

func lossAt(id directory.InstanceID, at time.Duration) Loss {
	return Loss{Fingerprint: 1, Instance: id, Began: at - 50*time.Millisecond, Ended: at}
}

// TestLostConnectionAloneIsNoCrash: a lost connection counts as a crash only with a proof, before or after
// the loss, that the instance has ended.
func TestLostConnectionAloneIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		events func(*CrashDetector) []Loss
		want   int
	}{
		"no proof":         {func(d *CrashDetector) []Loss { return d.Lost(lossTime, lossAt("a", lossTime)) }, 0},
		"proof of another": {func(d *CrashDetector) []Loss { d.Lost(lossTime, lossAt("a", lossTime)); return d.Ended(lossTime, "b") }, 0},
		"proof after it": {func(d *CrashDetector) []Loss {
			d.Lost(lossTime, lossAt("a", lossTime))
			return d.Ended(lossTime+time.Second, "a")
		}, 1},
		"proof before it": {func(d *CrashDetector) []Loss {
			d.Ended(lossTime, "a")
			return d.Lost(lossTime+time.Second, lossAt("a", lossTime))
		}, 1},
		"proof comes twice": {func(d *CrashDetector) []Loss {
			d.Lost(lossTime, lossAt("a", lossTime))
			d.Ended(lossTime, "a")
			return d.Ended(lossTime, "a")
		}, 0},
		"proof too late": {func(d *CrashDetector) []Loss {
			d.Lost(lossTime, lossAt("a", lossTime))
			return d.Ended(lossTime+confirmTimeout+time.Second, "a")
		}, 0},
	} {
		if got := c.events(NewCrashDetector()); len(got) != c.want {
			t.Errorf("%s: %d losses attributed to a crash, want %d", name, len(got), c.want)
		}
	}
}

// TestWitnessIsBounded: memory stays bounded however many connections are lost without a proof.
func TestWitnessIsBounded(t *testing.T) {
	d := NewCrashDetector()
	for number := range 10 * maxPendingLosses {
		d.Lost(lossTime, lossAt(directory.InstanceID(rune('a'+number%20)), lossTime))
	}
	if d.lossCount != maxPendingLosses {
		t.Errorf("%d losses wait, want %d", d.lossCount, maxPendingLosses)
	}
	d.Lost(lossTime+2*confirmTimeout, lossAt("z", lossTime+2*confirmTimeout))
	if d.lossCount != 1 || len(d.losses) != 1 {
		t.Errorf("%d expired losses of %d instances are kept", d.lossCount-1, len(d.losses)-1)
	}
}

// TestFingerprintTellsRequestsApart: each identifying part of a request changes the fingerprint, and so does
// the secret; equal requests have equal fingerprints at all gateways.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	hasher := NewHasher("secret of a cluster")
	base := Request{Method: []byte("POST"), Host: []byte("a.example"), URI: []byte("/x/1?y"), Caller: "address 10.0.0.1", Key: []byte("7"), Body: [][]byte{[]byte("body")}}
	known := map[directory.Fingerprint]string{}
	add := func(name string, hasher *Hasher, request Request) {
		t.Helper()
		fingerprint := hasher.Fingerprint(request)
		if other, found := known[fingerprint]; found {
			t.Errorf("%s has the fingerprint of %s", name, other)
		}
		known[fingerprint] = name
	}
	change := func(change func(*Request)) Request {
		changed := base
		change(&changed)
		return changed
	}
	add("base", hasher, base)
	add("method", hasher, change(func(r *Request) { r.Method = []byte("PUT") }))
	add("host", hasher, change(func(r *Request) { r.Host = []byte("b.example") }))
	add("path", hasher, change(func(r *Request) { r.URI = []byte("/x/1?z") }))
	add("caller", hasher, change(func(r *Request) { r.Caller = "address 10.0.0.2" }))
	add("key", hasher, change(func(r *Request) { r.Key = []byte("8") }))
	add("body", hasher, change(func(r *Request) { r.Body = [][]byte{[]byte("bodY")} }))
	add("boundary between host and path", hasher, change(func(r *Request) { r.Host, r.URI = []byte("a.example/"), []byte("x/1?y") }))
	add("another cluster", NewHasher("secret of another"), base)
	if again := NewHasher("secret of a cluster").Fingerprint(base); known[again] != "base" {
		t.Errorf("the same request has fingerprint %s at another gateway", again)
	}
}
