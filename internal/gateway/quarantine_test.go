package gateway

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// guardedGateway has what a gateway needs to check a request.
func guardedGateway(suspects ...directory.Suspect) (*Gateway, *request) {
	system := clock.NewSystem()
	g := &Gateway{
		clock: system, dialect: ownDialect(), guard: newRequestGuard(system, "g", 3, make(chan struct{}, 1)),
		subscription: &subscription{},
	}
	g.subscription.hasher.Store(quarantine.NewHasher("cluster"))
	g.guard.note(&routing.Table{Suspects: directory.Suspects{List: suspects, Revision: 1}})
	inbound := &fasthttp.Request{}
	inbound.SetRequestURI("/albums/some/long/path/of/a/gallery?page=7")
	inbound.Header.SetHost("shop.example")
	inbound.SetBody(make([]byte, 1<<10))
	return g, &request{inbound: inbound, interrupt: &forward.Interrupt{}}
}

// TestQuarantineIsChecked: by path first, and by the fingerprint of the whole request then.
func TestQuarantineIsChecked(t *testing.T) {
	g, current := guardedGateway()
	fingerprint, _ := g.fingerprintOf(current)
	path := pathOf(current)
	for name, c := range map[string]struct {
		suspect directory.Suspect
		allowed bool
		hashed  bool
	}{
		"another path":    {directory.Suspect{Fingerprint: fingerprint, Path: path + 1, Quarantined: true}, true, false},
		"another request": {directory.Suspect{Fingerprint: fingerprint + 1, Path: path, Quarantined: true}, true, true},
		"only suspected":  {directory.Suspect{Fingerprint: fingerprint, Path: path}, true, true},
		"in quarantine":   {directory.Suspect{Fingerprint: fingerprint, Path: path, Quarantined: true}, false, true},
	} {
		g, current := guardedGateway(c.suspect)
		if err := g.rejectQuarantined(current); (err == nil) != c.allowed || current.fingerprinted != c.hashed {
			t.Errorf("%s: error %v, hashed %t", name, err, current.fingerprinted)
		}
		if failure := g.quarantinedBeforeSend(current); (failure == nil) != c.allowed {
			t.Errorf("%s: before the send: %v", name, failure)
		}
	}
}

func benchmarkQuarantine(b *testing.B, suspects ...directory.Suspect) {
	g, current := guardedGateway(suspects...)
	b.ReportAllocs()
	for b.Loop() {
		current.fingerprinted = false
		_ = g.rejectQuarantined(current)
		_ = g.quarantinedBeforeSend(current)
	}
}

// BenchmarkRequestWithoutSuspects is the path of nearly all requests.
func BenchmarkRequestWithoutSuspects(b *testing.B) { benchmarkQuarantine(b) }

// BenchmarkRequestBesideSuspects is that of a request for another path than that of a suspect.
func BenchmarkRequestBesideSuspects(b *testing.B) {
	benchmarkQuarantine(b, directory.Suspect{Fingerprint: 1, Path: 1})
}

// BenchmarkRequestForSuspectedPath is that of a request of 1 KB for the path of a suspect.
func BenchmarkRequestForSuspectedPath(b *testing.B) {
	_, current := guardedGateway()
	benchmarkQuarantine(b, directory.Suspect{Fingerprint: 1, Path: pathOf(current)})
}
