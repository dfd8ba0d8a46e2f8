package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// requestGuard decides which requests are sent, by those under which instances crashed. It is safe
// for concurrent use.
type requestGuard struct {
	clock clock.Clock
	// idle is true while no request is suspected, which is nearly always: requests are not hashed
	// then.
	idle  atomic.Bool
	mutex sync.Mutex
	guard *quarantine.Guard
	// revision is that of the suspects that the guard has.
	revision directory.Revision
	// urgent gets an entry when the leader is to be told at once.
	urgent chan struct{}
}

func newRequestGuard(system clock.Clock, name string, crashes int, urgent chan struct{}) *requestGuard {
	guard := &requestGuard{clock: system, guard: quarantine.NewGuard(name, crashes), urgent: urgent}
	guard.idle.Store(true)
	return guard
}

// do calls a function with the guard, and tells the leader at once if it returns true.
func (g *requestGuard) do(call func(now time.Duration, guard *quarantine.Guard) (tell bool)) {
	if !g.locked(call) {
		return
	}
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

func (g *requestGuard) locked(call func(now time.Duration, guard *quarantine.Guard) bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	tell := call(g.clock.Now(), g.guard)
	g.idle.Store(g.guard.Idle())
	return tell
}

// note takes the suspects of a new table.
func (g *requestGuard) note(table *routing.Table) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		if table.Whole || table.Suspects.Revision != g.revision {
			g.revision = table.Suspects.Revision
			guard.Take(now, table.Suspects.List)
		}
		return false
	})
}

// crashed takes requests that were in flight at a crash.
func (g *requestGuard) crashed(losses []quarantine.Loss) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		guard.Crashed(now, losses)
		return true
	})
}

// report returns what the leader is to be told; nil for nothing.
func (g *requestGuard) report() (told *quarantine.Report) {
	g.do(func(now time.Duration, guard *quarantine.Guard) bool {
		if report, found := guard.Report(now); found {
			told = &report
		}
		return false
	})
	return told
}

func (g *requestGuard) heard(number uint64) {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Heard(number)
		return false
	})
}

// connected notes a new connection to a leader.
func (g *requestGuard) connected() {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Connected()
		return false
	})
}

// suspects returns how many requests are suspected and how many of them are in quarantine.
func (g *requestGuard) suspects() (suspected, quarantined int) {
	g.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		suspected, quarantined = guard.Suspects()
		return false
	})
	return suspected, quarantined
}

// suspectedPrint returns the fingerprint of a request that may be suspected; false for one that
// surely is not, which is told by its path.
func (g *Gateway) suspectedPrint(current *request) (directory.Fingerprint, bool) {
	if g.guard.idle.Load() {
		return 0, false
	}
	watched := false
	path := pathOf(current)
	g.guard.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		watched = guard.Watches(path)
		return false
	})
	if !watched {
		return 0, false
	}
	return g.fingerprintOf(current)
}

// rejectQuarantined returns an error for a request in quarantine.
func (g *Gateway) rejectQuarantined(current *request) error {
	failure := g.checkQuarantine(current, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		return guard.Check(now, fingerprint) != quarantine.Reject
	})
	if failure != nil {
		return failure
	}
	return nil
}

// quarantinedBeforeSend returns the failure of a request in quarantine that is about to be sent; nil
// if it is sent at once, which uses up its trial.
func (g *Gateway) quarantinedBeforeSend(current *request) *fault.Error {
	return g.checkQuarantine(current, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		if guard.Check(now, fingerprint) == quarantine.Send {
			return true
		}
		current.onTrial = guard.TakeTrial(now, fingerprint)
		return current.onTrial
	})
}

// endTrial gives back the trial of a request that surely did not run.
func (g *Gateway) endTrial(current *request, failure *fault.Error) {
	if !current.onTrial {
		return
	}
	current.onTrial = false
	if failure == nil || fault.AnswerFor(failure.Kind).Outcome != fault.NotRun {
		return
	}
	g.guard.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.ReturnTrial(current.fingerprint)
		return false
	})
}

func (g *Gateway) checkQuarantine(current *request, maySend func(time.Duration, *quarantine.Guard, directory.Fingerprint) bool) *fault.Error {
	fingerprint, suspected := g.suspectedPrint(current)
	if !suspected {
		return nil
	}
	allowed := true
	g.guard.do(func(now time.Duration, guard *quarantine.Guard) bool {
		allowed = maySend(now, guard, fingerprint)
		return !allowed && guard.Rejected(now, fingerprint)
	})
	if allowed {
		return nil
	}
	return fault.Newf(fault.RequestQuarantined,
		"servers crashed under request %s, so that it is sent to none; an operator can release it", fingerprint)
}

// suspected reports whether a request was in flight at a crash since it was answered last.
func (g *Gateway) suspected(current *request) bool {
	fingerprint, found := g.suspectedPrint(current)
	if !found {
		return false
	}
	g.guard.do(func(_ time.Duration, guard *quarantine.Guard) bool {
		found = guard.Suspected(fingerprint)
		return false
	})
	return found
}

// noteAnswered takes that an instance answered a request. Its own failure may be the end of the
// request's time, and says nothing.
func (g *Gateway) noteAnswered(current *request) {
	if current.answer.StatusCode() >= fasthttp.StatusInternalServerError {
		return
	}
	fingerprint, suspected := g.suspectedPrint(current)
	if !suspected {
		return
	}
	g.guard.do(func(now time.Duration, guard *quarantine.Guard) bool { return guard.Answered(now, fingerprint) })
}

// noteLoss takes an attempt that may have ended with its instance. An instance that leaves may end
// at any time, whatever it runs.
func (g *Gateway) noteLoss(current *request, instance directory.Instance, took time.Duration, failure *fault.Error) {
	connectionEnded := false
	switch failure.Kind {
	case fault.ConnectionLost, fault.AnswerTruncated:
		connectionEnded = !current.interrupt.Fired()
	case fault.DeadlineExceeded:
	default:
		return
	}
	if _, leaves := g.signals.leaving(g.clock.Now(), instance.ID); leaves || !instance.Serving() {
		return
	}
	fingerprint, known := g.fingerprintOf(current)
	if !known {
		return
	}
	now := g.clock.Now()
	g.crashes.lost(quarantine.Loss{
		Fingerprint: fingerprint, Path: pathOf(current), Service: current.service, Instance: instance.ID,
		RequestID: current.id, Began: now - took, Ended: now,
	}, instance.Address, connectionEnded)
}

// fingerprintOf returns the fingerprint of a request; false while the gateway does not know the key
// of its cluster.
func (g *Gateway) fingerprintOf(current *request) (directory.Fingerprint, bool) {
	if current.fingerprinted {
		return current.fingerprint, true
	}
	hasher := g.subscription.hasher.Load()
	if hasher == nil {
		return 0, false
	}
	header := &current.inbound.Header
	fingerprint, err := hasher.Fingerprint(quarantine.Request{
		Method: header.Method(), Host: header.Host(), URI: header.RequestURI(), Caller: callerOf(current),
		Key: header.Peek(g.dialect.Key), Body: current.inbound.Body(),
	})
	if err != nil {
		telemetry.WithError(g.log, telemetry.EventFailed, err).WithField(telemetry.FieldRequest, current.id).Error("request without a fingerprint")
		return 0, false
	}
	current.fingerprint, current.fingerprinted = fingerprint, true
	return fingerprint, true
}

func pathOf(current *request) directory.PathHash {
	return quarantine.PathOf(current.inbound.Header.Host(), current.inbound.Header.RequestURI())
}

// callerOf tells the caller of a request from others: by its tenant, by the credential that it
// shows, or by its IP address.
func callerOf(current *request) string {
	if current.tenant != nil {
		return "tenant " + current.tenant.Name
	}
	if credential := current.inbound.Header.Peek(fasthttp.HeaderAuthorization); len(credential) > 0 {
		return "credential " + string(credential)
	}
	if address, ok := current.remote.(*net.TCPAddr); ok {
		return "address " + address.IP.String()
	}
	return ""
}
