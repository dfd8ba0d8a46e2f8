package quarantine

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const ended = 10 * time.Second

func lossAt(id directory.InstanceID, at time.Duration) Loss {
	return Loss{Fingerprint: 1, Instance: id, Began: at - 50*time.Millisecond, Ended: at}
}

// TestLostConnectionAloneIsNoCrash: only a proof that the instance ended makes one of it, before or
// after the loss.
func TestLostConnectionAloneIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		events func(*CrashDetector) []Loss
		want   int
	}{
		"no proof":         {func(w *CrashDetector) []Loss { return w.Lost(ended, lossAt("a", ended)) }, 0},
		"proof of another": {func(w *CrashDetector) []Loss { w.Lost(ended, lossAt("a", ended)); return w.Ended(ended, "b") }, 0},
		"proof after it": {func(w *CrashDetector) []Loss {
			w.Lost(ended, lossAt("a", ended))
			return w.Ended(ended+time.Second, "a")
		}, 1},
		"proof before it": {func(w *CrashDetector) []Loss {
			w.Ended(ended, "a")
			return w.Lost(ended+time.Second, lossAt("a", ended))
		}, 1},
		"proof comes twice": {func(w *CrashDetector) []Loss {
			w.Lost(ended, lossAt("a", ended))
			w.Ended(ended, "a")
			return w.Ended(ended, "a")
		}, 0},
		"proof too late": {func(w *CrashDetector) []Loss {
			w.Lost(ended, lossAt("a", ended))
			return w.Ended(ended+confirmTime+time.Second, "a")
		}, 0},
	} {
		if got := c.events(NewCrashDetector()); len(got) != c.want {
			t.Errorf("%s: %d requests in flight at a crash, want %d", name, len(got), c.want)
		}
	}
}

// TestWitnessIsBounded: however many connections are lost without a proof.
func TestWitnessIsBounded(t *testing.T) {
	w := NewCrashDetector()
	for number := range 10 * mostLosses {
		w.Lost(ended, lossAt(directory.InstanceID(rune('a'+number%20)), ended))
	}
	if w.count != mostLosses {
		t.Errorf("%d losses wait, want %d", w.count, mostLosses)
	}
	w.Lost(ended+2*confirmTime, lossAt("z", ended+2*confirmTime))
	if w.count != 1 || len(w.losses) != 1 {
		t.Errorf("%d losses of %d instances are left of those without a proof", w.count-1, len(w.losses)-1)
	}
}

// TestFingerprintTellsRequestsApart: by each of their parts, and by nothing else.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	hasher := NewHasher("secret of a cluster")
	base := Request{Method: []byte("POST"), Host: []byte("a.example"), URI: []byte("/x/1?y"), Caller: "address 10.0.0.1", Key: []byte("7"), Body: []byte("body")}
	known := map[directory.Fingerprint]string{}
	take := func(name string, hasher *Hasher, request Request) {
		t.Helper()
		fingerprint := hasher.Fingerprint(request)
		if same, found := known[fingerprint]; found {
			t.Errorf("%s has the fingerprint of %s", name, same)
		}
		known[fingerprint] = name
	}
	change := func(change func(*Request)) Request {
		changed := base
		change(&changed)
		return changed
	}
	take("base", hasher, base)
	take("method", hasher, change(func(r *Request) { r.Method = []byte("PUT") }))
	take("host", hasher, change(func(r *Request) { r.Host = []byte("b.example") }))
	take("path", hasher, change(func(r *Request) { r.URI = []byte("/x/1?z") }))
	take("caller", hasher, change(func(r *Request) { r.Caller = "address 10.0.0.2" }))
	take("key", hasher, change(func(r *Request) { r.Key = []byte("8") }))
	take("body", hasher, change(func(r *Request) { r.Body = []byte("bodY") }))
	take("parts that meet elsewhere", hasher, change(func(r *Request) { r.Host, r.URI = []byte("a.example/"), []byte("x/1?y") }))
	take("another cluster", NewHasher("secret of another"), base)
	if again := NewHasher("secret of a cluster").Fingerprint(base); known[again] != "base" {
		t.Errorf("the same request has fingerprint %s at another gateway", again)
	}
}
