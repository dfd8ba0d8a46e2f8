package crashwatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Guard decides which requests are sent, by those under which instances crashed. It is safe for
// concurrent use.
type Guard struct {
	clock clock.Clock
	// idle is true while no request is suspected, which is nearly always: requests are not hashed
	// then.
	idle   atomic.Bool
	hasher atomic.Pointer[quarantine.Hasher]
	mutex  sync.Mutex
	guard  *quarantine.Guard
	// revision is that of the suspects that the guard has.
	revision directory.Revision
	// urgent gets an entry when the leader is to be told at once.
	urgent chan struct{}
}

// NewGuard returns a guard of a process, which puts a request in quarantine by itself after a number of
// crashes that no leader heard of. Urgent gets an entry when the leader is to be told at once.
func NewGuard(system clock.Clock, process string, crashes int, urgent chan struct{}) *Guard {
	guard := &Guard{clock: system, guard: quarantine.NewGuard(process, crashes), urgent: urgent}
	guard.idle.Store(true)
	return guard
}

// SetSecret takes the secret by which all processes of a cluster compute the same fingerprints.
func (g *Guard) SetSecret(secret string) { g.hasher.Store(quarantine.NewHasher(secret)) }

// do calls a function with the guard, and tells the leader at once if it returns true.
func (g *Guard) do(call func(now time.Duration, guard *quarantine.Guard) (tell bool)) {
	if !g.locked(call) {
		return
	}
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

func (g *Guard) locked(call func(now time.Duration, guard *quarantine.Guard) bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	tell := call(g.clock.Now(), g.guard)
	g.idle.Store(g.guard.Idle())
	return tell
}

// SetSuspects takes the suspects of the directory.
func (g *Guard) SetSuspects(suspects directory.Suspects) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		if suspects.Revision != g.revision {
			g.revision = suspects.Revision
			guard.SetSuspects(now, suspects.List)
		}
		return false
	})
}

// Revision returns that of the suspects that were taken last.
func (g *Guard) Revision() directory.Revision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.revision
}

// Crashed takes requests that were in flight at a crash.
func (g *Guard) Crashed(losses []quarantine.Loss) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		guard.Crashed(now, losses)
		return true
	})
}

// Report returns what the leader is to be told; nil for nothing.
func (g *Guard) Report() (told *quarantine.Report) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		if report, found := guard.Report(now); found {
			told = &report
		}
		return false
	})
	return told
}

// Acknowledge takes the number of a report that the leader heard.
func (g *Guard) Acknowledge(number uint64) {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Acknowledge(number)
		return false
	})
}

// Connected notes a new connection to a leader.
func (g *Guard) Connected() {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Connected()
		return false
	})
}

// RegisterMetrics shows how many requests are suspected and in quarantine.
func (g *Guard) RegisterMetrics(registry *telemetry.Metrics) {
	registry.GaugeFunction("suspected_requests", "Requests that were in flight at a crash of an instance, those in quarantine included.", func() float64 {
		suspected, _ := g.suspects()
		return float64(suspected)
	})
	registry.GaugeFunction("quarantined_requests", "Requests that are sent to no instance, since instances crashed under them.", func() float64 {
		_, quarantined := g.suspects()
		return float64(quarantined)
	})
}

func (g *Guard) suspects() (suspected, quarantined int) {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		suspected, quarantined = guard.Suspects()
		return false
	})
	return suspected, quarantined
}

// Request is one request that is to be sent, with what was found out about it. It is not safe for
// concurrent use.
type Request struct {
	// Identify returns what makes the request the same as another one.
	Identify func() quarantine.Request

	known       bool
	fingerprint directory.Fingerprint
	pathKnown   bool
	path        directory.PathHash
	// suspected is true if the request was in flight at a crash before it was sent last.
	suspected bool
	// onTrial is true for a request in quarantine that is sent to find out whether it is to blame.
	onTrial bool
}

// Fingerprint returns the request's fingerprint, and false if it was not computed.
func (r *Request) Fingerprint() (directory.Fingerprint, bool) { return r.fingerprint, r.known }

// Suspected reports whether the request was in flight at a crash before it was sent last, and was not
// answered since.
func (r *Request) Suspected() bool { return r.suspected }

// pathHash returns the hash of the request's host and path.
func (r *Request) pathHash() directory.PathHash {
	if !r.pathKnown {
		identity := r.Identify()
		r.path, r.pathKnown = quarantine.PathOf(identity.Host, identity.URI), true
	}
	return r.path
}

// compute returns the fingerprint of a request; false while the key of the cluster is not known.
func (g *Guard) compute(request *Request) (directory.Fingerprint, bool) {
	if request.known {
		return request.fingerprint, true
	}
	hasher := g.hasher.Load()
	if hasher == nil {
		return 0, false
	}
	request.fingerprint = hasher.Fingerprint(request.Identify())
	request.known = true
	return request.fingerprint, true
}

// suspectedPrint returns the fingerprint of a request that may be suspected; false for one that
// surely is not, which is told by its path.
func (g *Guard) suspectedPrint(request *Request) (directory.Fingerprint, bool) {
	if g.idle.Load() {
		return 0, false
	}
	watched := false
	path := request.pathHash()
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		watched = guard.Watches(path)
		return false
	})
	if !watched {
		return 0, false
	}
	return g.compute(request)
}

// Check returns the failure of a request in quarantine; nil for others.
func (g *Guard) Check(request *Request) *fault.Error {
	return g.check(request, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		return guard.Check(now, fingerprint) != quarantine.Reject
	})
}

// CheckBeforeSend returns the failure of a request in quarantine that is about to be sent; nil if it is
// sent at once, which uses up its trial.
func (g *Guard) CheckBeforeSend(request *Request) *fault.Error {
	return g.check(request, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		request.suspected = guard.Suspected(fingerprint)
		if guard.Check(now, fingerprint) == quarantine.Send {
			return true
		}
		request.onTrial = guard.TakeTrial(now, fingerprint)
		return request.onTrial
	})
}

func (g *Guard) check(request *Request, maySend func(time.Duration, *quarantine.Guard, directory.Fingerprint) bool) *fault.Error {
	fingerprint, suspected := g.suspectedPrint(request)
	if !suspected {
		return nil
	}
	allowed := true
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		allowed = maySend(now, guard, fingerprint)
		return !allowed && guard.Rejected(now, fingerprint)
	})
	if allowed {
		return nil
	}
	return fault.Newf(fault.RequestQuarantined,
		"servers crashed under request %s, so that it is sent to none; an operator can release it", fingerprint)
}

// EndTrial gives back the trial of a request that surely did not run. Failure is nil for one that was
// answered.
func (g *Guard) EndTrial(request *Request, failure *fault.Error) {
	if !request.onTrial {
		return
	}
	request.onTrial = false
	if failure == nil || fault.AnswerFor(failure.Kind).Outcome != fault.NotRun {
		return
	}
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.ReturnTrial(request.fingerprint)
		return false
	})
}

// Answered takes that an instance ran a request and answered it.
func (g *Guard) Answered(request *Request) {
	fingerprint, suspected := g.suspectedPrint(request)
	if !suspected {
		return
	}
	g.do(func(now time.Duration, guard *quarantine.Guard) bool { return guard.Answered(now, fingerprint) })
}

// Attempt is an attempt that ended without an answer of its instance.
type Attempt struct {
	Service   string
	Instance  directory.InstanceID
	Address   string
	RequestID string
	// Took is how long it was in flight until now.
	Took time.Duration
	// ConnectionEnded is true if the instance ended the connection.
	ConnectionEnded bool
}

// Lost tells a watch of a request whose attempt may have ended with its instance.
func (g *Guard) Lost(watch *Watch, request *Request, attempt Attempt) {
	fingerprint, known := g.compute(request)
	if !known {
		return
	}
	now := g.clock.Now()
	watch.Lost(quarantine.Loss{
		Fingerprint: fingerprint, Path: request.pathHash(), Service: attempt.Service,
		Instance: attempt.Instance, RequestID: attempt.RequestID, Began: now - attempt.Took, Ended: now,
	}, attempt.Address, attempt.ConnectionEnded)
}
