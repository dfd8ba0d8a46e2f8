package crashwatch

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
)

var identity = quarantine.Request{
	Method: []byte("GET"), Host: []byte("shop.example"), URI: []byte("/albums/some/long/path/of/a/gallery?page=7"),
	Caller: "address 10.0.0.1", Body: make([]byte, 1<<10),
}

// guarded returns a guard that knows of suspects, and a request.
func guarded(suspects ...directory.Suspect) (*Guard, *Request) {
	guard := NewGuard(clock.NewSystem(), "g", 3, make(chan struct{}, 1))
	guard.SetSecret("cluster")
	guard.SetSuspects(directory.Suspects{List: suspects, Revision: 1})
	return guard, &Request{Identify: func() quarantine.Request { return identity }}
}

func printOf(t testing.TB) (directory.Fingerprint, directory.PathHash) {
	t.Helper()
	guard, request := guarded()
	fingerprint, known := guard.compute(request)
	if !known {
		t.Fatal("no fingerprint")
	}
	return fingerprint, quarantine.PathOf(identity.Host, identity.URI)
}

// TestQuarantineIsChecked: by path first, and by the fingerprint of the whole request then.
func TestQuarantineIsChecked(t *testing.T) {
	fingerprint, path := printOf(t)
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
		guard, request := guarded(c.suspect)
		failure := guard.Check(request)
		if _, hashed := request.Fingerprint(); (failure == nil) != c.allowed || hashed != c.hashed {
			t.Errorf("%s: failure %v, hashed %t", name, failure, hashed)
		}
		if failure := guard.CheckBeforeSend(request); (failure == nil) != c.allowed {
			t.Errorf("%s: before the send: %v", name, failure)
		}
	}
}

// TestTrialThatReachedNothingIsGivenBack: and one that ran, or may have, is not.
func TestTrialThatReachedNothingIsGivenBack(t *testing.T) {
	fingerprint, path := printOf(t)
	for kind, again := range map[fault.Kind]bool{fault.ConnectFailed: true, fault.Shedding: true, fault.ConnectionLost: false, fault.DeadlineExceeded: false} {
		guard, request := guarded(directory.Suspect{Fingerprint: fingerprint, Path: path, Quarantined: true, Trials: 1, TrialBy: "g"})
		if failure := guard.CheckBeforeSend(request); failure != nil {
			t.Fatal(failure)
		}
		guard.EndTrial(request, fault.New(kind, ""))
		if failure := guard.CheckBeforeSend(request); (failure == nil) != again {
			t.Errorf("after %s: %v", kind, failure)
		}
	}
}

// TestLossesAreToldAtOnce: with the fingerprint that the same request has everywhere.
func TestLossesAreToldAtOnce(t *testing.T) {
	fingerprint, _ := printOf(t)
	guard, request := guarded()
	watch := NewWatch(guard.clock, nil, guard.Crashed)
	guard.Lost(watch, request, Attempt{Service: "s", Instance: "a", Took: time.Millisecond})
	if report := guard.Report(); report != nil {
		t.Fatalf("told before the instance was known to have ended: %+v", report)
	}
	guard.Crashed([]quarantine.Loss{{Fingerprint: fingerprint, Instance: "a"}})
	select {
	case <-guard.urgent:
	default:
		t.Error("the leader is not told at once")
	}
	if report := guard.Report(); report == nil || report.Crashes[0].Fingerprint != fingerprint {
		t.Errorf("report %+v", report)
	}
}

func benchmarkGuard(b *testing.B, suspects ...directory.Suspect) {
	guard, request := guarded(suspects...)
	b.ReportAllocs()
	for b.Loop() {
		fresh := Request{Identify: request.Identify}
		_ = guard.Check(&fresh)
		_ = guard.CheckBeforeSend(&fresh)
	}
}

// BenchmarkRequestWithoutSuspects is the path of nearly all requests.
func BenchmarkRequestWithoutSuspects(b *testing.B) { benchmarkGuard(b) }

// BenchmarkRequestBesideSuspects is that of a request for another path than that of a suspect.
func BenchmarkRequestBesideSuspects(b *testing.B) {
	benchmarkGuard(b, directory.Suspect{Fingerprint: 1, Path: 1})
}

// BenchmarkRequestForSuspectedPath is that of a request of 1 KB for the path of a suspect.
func BenchmarkRequestForSuspectedPath(b *testing.B) {
	_, path := printOf(b)
	benchmarkGuard(b, directory.Suspect{Fingerprint: 1, Path: path})
}
