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
	Caller: "address 10.0.0.1", Body: [][]byte{make([]byte, 1<<10)},
}

// newTestGuard returns a guard with the given suspects, and a request.
func newTestGuard(suspects ...directory.Suspect) (*Guard, *Request) {
	guard := NewGuard(clock.NewSystem(), "g", 3, make(chan struct{}, 1))
	guard.SetSecret("cluster")
	guard.SetSuspects(directory.Suspects{List: suspects, Revision: 1})
	return guard, &Request{Identify: func() quarantine.Request { return identity }}
}

func identityHashes(t testing.TB) (directory.Fingerprint, directory.PathHash) {
	t.Helper()
	guard, request := newTestGuard()
	identified, known := guard.computeIdentity(request)
	if !known {
		t.Fatal("no fingerprint")
	}
	return identified.OfCaller, quarantine.PathOf(identity.Host, identity.URI)
}

// TestQuarantineIsChecked: only a request for the path of a suspect is hashed, and only one with the
// fingerprint of a quarantined suspect is rejected.
func TestQuarantineIsChecked(t *testing.T) {
	fingerprint, path := identityHashes(t)
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
		guard, request := newTestGuard(c.suspect)
		failure := guard.Check(request)
		if _, hashed := request.Fingerprint(); (failure == nil) != c.allowed || hashed != c.hashed {
			t.Errorf("%s: failure %v, hashed %t", name, failure, hashed)
		}
		if failure := guard.CheckBeforeSend(request); (failure == nil) != c.allowed {
			t.Errorf("%s: CheckBeforeSend: %v", name, failure)
		}
	}
}

// TestTrialThatReachedNothingIsGivenBack: a trial can be used again if the request certainly did not run, but
// not if it ran or may have run.
func TestTrialThatReachedNothingIsGivenBack(t *testing.T) {
	fingerprint, path := identityHashes(t)
	for kind, returned := range map[fault.Kind]bool{fault.ConnectFailed: true, fault.Shedding: true, fault.ConnectionLost: false, fault.DeadlineExceeded: false} {
		guard, request := newTestGuard(directory.Suspect{Fingerprint: fingerprint, Path: path, Quarantined: true, Trials: 1, TrialBy: "g"})
		if failure := guard.CheckBeforeSend(request); failure != nil {
			t.Fatal(failure)
		}
		guard.FailTrial(request, Attempt{}, fault.New(kind, ""))
		if failure := guard.CheckBeforeSend(request); (failure == nil) != returned {
			t.Errorf("after %s: %v", kind, failure)
		}
	}
}

// TestLossesAreToldAtOnce: a crash is reported to the leader at once, with the same fingerprint that other
// processes compute; a loss without a proof of a crash is not reported.
func TestLossesAreToldAtOnce(t *testing.T) {
	fingerprint, _ := identityHashes(t)
	guard, request := newTestGuard()
	watch := NewWatch(guard.clock, nil, Options{OnCrash: guard.Crashed})
	guard.Lost(watch, request, Attempt{Service: "s", Instance: "a", Took: time.Millisecond})
	if report := guard.Report(); report != nil {
		t.Fatalf("reported before the instance was known to have ended: %+v", report)
	}
	guard.Crashed([]quarantine.Loss{{Fingerprint: fingerprint, Instance: "a"}})
	select {
	case <-guard.urgent:
	default:
		t.Error("the crash is not signalled as urgent")
	}
	if report := guard.Report(); report == nil || report.Crashes[0].Fingerprint != fingerprint {
		t.Errorf("report %+v", report)
	}
}

func benchmarkGuard(b *testing.B, suspects ...directory.Suspect) {
	guard, request := newTestGuard(suspects...)
	b.ReportAllocs()
	for b.Loop() {
		fresh := Request{Identify: request.Identify}
		_ = guard.Check(&fresh)
		_ = guard.CheckBeforeSend(&fresh)
	}
}

// BenchmarkRequestWithoutSuspects measures the path of nearly all requests.
func BenchmarkRequestWithoutSuspects(b *testing.B) { benchmarkGuard(b) }

// BenchmarkRequestBesideSuspects measures a request whose path no suspect has.
func BenchmarkRequestBesideSuspects(b *testing.B) {
	benchmarkGuard(b, directory.Suspect{Fingerprint: 1, Path: 1})
}

// BenchmarkRequestForSuspectedPath measures a request of 1 KB for the path of a suspect.
func BenchmarkRequestForSuspectedPath(b *testing.B) {
	_, path := identityHashes(b)
	benchmarkGuard(b, directory.Suspect{Fingerprint: 1, Path: path})
}
