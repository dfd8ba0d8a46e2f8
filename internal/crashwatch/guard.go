package crashwatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Guard decides which requests may be sent, and rejects those under which instances crashed. It is safe for
// concurrent use.
type Guard struct {
	clock clock.Clock
	// idle is true while no request is suspected, which is nearly always the case. Requests are then not
	// hashed.
	idle   atomic.Bool
	hasher atomic.Pointer[quarantine.Hasher]
	mutex  sync.Mutex
	guard  *quarantine.Guard
	// revision is that of the suspects last set.
	revision directory.Revision
	// urgent receives a value when a report should be sent to the leader at once.
	urgent chan struct{}
	// waiting is the number of requests that wait for a trial.
	waiting atomic.Int32
	// wokenAt is the clock reading at which the reporter was last woken for waiting requests, in nanoseconds.
	wokenAt atomic.Int64
	// changes is raised when requests that wait for a trial should check again.
	changes *broadcast.Broadcast
}

// NewGuard returns the guard of a process. It puts a request in quarantine without the leader after
// crashThreshold crashes that no leader has acknowledged. Urgent receives a value when a report should be sent to the
// leader at once.
func NewGuard(system clock.Clock, process string, crashThreshold int, urgent chan struct{}) *Guard {
	guard := &Guard{
		clock: system, guard: quarantine.NewGuard(process, crashThreshold), urgent: urgent, changes: broadcast.New(),
	}
	guard.idle.Store(true)
	guard.guard.StartAsksAfter(quarantine.AskNumber(clock.BootTime()))
	return guard
}

// SetSecret sets the secret that makes all processes of a cluster compute the same fingerprints.
func (g *Guard) SetSecret(secret string) { g.hasher.Store(quarantine.NewHasher(secret)) }

// withGuard calls a function with the locked guard, and signals urgent if it returns true.
func (g *Guard) withGuard(call func(now time.Duration, guard *quarantine.Guard) (notifyLeader bool)) {
	if !g.callLocked(call) {
		return
	}
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

func (g *Guard) callLocked(call func(now time.Duration, guard *quarantine.Guard) bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	notifyLeader := call(g.clock.Now(), g.guard)
	g.idle.Store(g.guard.Idle())
	return notifyLeader
}

// SetSuspects replaces the suspects by those of the directory.
func (g *Guard) SetSuspects(suspects directory.Suspects) {
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		if suspects.Revision != g.revision {
			g.revision = suspects.Revision
			guard.SetSuspects(now, suspects.List)
		}
		return false
	})
	g.changes.Raise()
}

// Revision returns the revision of the suspects last set.
func (g *Guard) Revision() directory.Revision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.revision
}

// Crashed records requests that were in flight at a crash.
func (g *Guard) Crashed(losses []quarantine.Loss) {
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		guard.Crashed(now, losses)
		return true
	})
}

// Report returns the next report to the leader, or nil if there is nothing to report.
func (g *Guard) Report() (toSend *quarantine.Report) {
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		if report, found := guard.Report(now); found {
			toSend = &report
		}
		return false
	})
	return toSend
}

// Acknowledge handles the leader's confirmation of the report with this number and of all earlier ones.
func (g *Guard) Acknowledge(number uint64) {
	g.withGuard(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Acknowledge(number)
		return false
	})
}

// Connected handles a new connection to a leader.
func (g *Guard) Connected() {
	g.withGuard(func(_ time.Duration, guard *quarantine.Guard) bool {
		guard.Connected()
		return false
	})
}

// RegisterMetrics registers the numbers of suspected and quarantined requests.
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
	g.withGuard(func(_ time.Duration, guard *quarantine.Guard) bool {
		suspected, quarantined = guard.Suspects()
		return false
	})
	return suspected, quarantined
}

// Request is the state of one request with respect to quarantine. It is not safe for concurrent use.
type Request struct {
	// Identify returns the parts of the request that identify it.
	Identify func() quarantine.Request

	identityKnown bool
	identity      quarantine.Identity
	pathKnown     bool
	path          directory.PathHash
	// suspected is true if the request was suspected when it was last about to be sent.
	suspected bool
	// onTrial is true while the request is sent to find out whether it causes the crashes.
	onTrial bool
	// triedFor is the fingerprint of the suspect that is tried.
	triedFor directory.Fingerprint
	// ask is the number of the request's ask for a trial; zero for none.
	ask quarantine.AskNumber
	// askedFor is the fingerprint for which the trial was asked.
	askedFor directory.Fingerprint
	// waitUntil is until when the request waits for a trial; zero before it first did.
	waitUntil time.Duration
}

// Fingerprint returns the fingerprint of the caller's request, or false if it was not computed.
func (r *Request) Fingerprint() (directory.Fingerprint, bool) {
	return r.identity.OfCaller, r.identityKnown
}

// Suspected reports whether the request was suspected when it was last about to be sent: it had been in
// flight at a crash and not been answered since.
func (r *Request) Suspected() bool { return r.suspected }

// pathHash returns the hash of the request's host and URI.
func (r *Request) pathHash() directory.PathHash {
	if !r.pathKnown {
		identity := r.Identify()
		r.path, r.pathKnown = quarantine.PathOf(identity.Host, identity.URI), true
	}
	return r.path
}

// computeIdentity returns the fingerprints of a request, or false before SetSecret.
func (g *Guard) computeIdentity(request *Request) (quarantine.Identity, bool) {
	if request.identityKnown {
		return request.identity, true
	}
	hasher := g.hasher.Load()
	if hasher == nil {
		return quarantine.Identity{}, false
	}
	request.identity = hasher.Identify(request.Identify())
	request.identityKnown = true
	return request.identity, true
}

// suspectIdentity returns the fingerprints of a request that may be suspected. It returns false, without
// hashing the whole request, if no suspect has the request's path.
func (g *Guard) suspectIdentity(request *Request) (quarantine.Identity, bool) {
	if g.idle.Load() {
		return quarantine.Identity{}, false
	}
	pathSuspected := false
	path := request.pathHash()
	g.withGuard(func(_ time.Duration, guard *quarantine.Guard) bool {
		pathSuspected = guard.Watches(path)
		return false
	})
	if !pathSuspected {
		return quarantine.Identity{}, false
	}
	return g.computeIdentity(request)
}

// Check returns an error if the request is in quarantine, or on probation without any prospect of a trial, else nil.
func (g *Guard) Check(request *Request) *fault.Error {
	return g.check(request, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		verdict := guard.Check(now, fingerprint, request.ask)
		return verdict != quarantine.Reject && verdict != quarantine.Hold
	})
}

// CheckBeforeSend is Check for a request that is sent at once if the result is nil; it uses up the
// request's trial.
func (g *Guard) CheckBeforeSend(request *Request) *fault.Error {
	return g.check(request, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		request.suspected = guard.Suspected(fingerprint) || guard.Suspected(request.identity.OfCaller)
		if guard.Check(now, fingerprint, request.ask) == quarantine.Send {
			return true
		}
		request.onTrial = guard.TakeTrial(now, fingerprint, request.ask)
		request.triedFor = fingerprint
		return request.onTrial
	})
}

// CheckBeforeWrite returns an error if the request was put on probation or in quarantine since CheckBeforeSend
// allowed it, for example while its connection was made.
func (g *Guard) CheckBeforeWrite(request *Request) *fault.Error {
	if request.onTrial {
		return nil
	}
	return g.check(request, func(now time.Duration, guard *quarantine.Guard, fingerprint directory.Fingerprint) bool {
		return guard.Check(now, fingerprint, request.ask) == quarantine.Send
	})
}

func (g *Guard) check(request *Request, maySend func(time.Duration, *quarantine.Guard, directory.Fingerprint) bool) *fault.Error {
	identity, suspected := g.suspectIdentity(request)
	if !suspected {
		return nil
	}
	allowed, quarantined := true, false
	var fingerprint directory.Fingerprint
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		fingerprint = guard.Decisive(identity)
		allowed = maySend(now, guard, fingerprint)
		quarantined = !allowed && guard.Check(now, fingerprint, request.ask) == quarantine.Reject
		return quarantined && guard.Rejected(now, fingerprint)
	})
	switch {
	case allowed:
		return nil
	case quarantined:
		return fault.Newf(fault.RequestQuarantined,
			"servers crashed under request %s, so that it is sent to none; an operator can release it", fingerprint)
	default:
		return onProbation(fingerprint)
	}
}

// EndTrial ends the trial of a request that was answered.
func (g *Guard) EndTrial(request *Request) { request.onTrial = false }

// FailTrial ends the trial of a request that was not answered. It makes the trial available again if the failure
// proves that the request did not run. If it may have run, the leader is to find out whether the instance crashed,
// unless that is leaving.
func (g *Guard) FailTrial(request *Request, attempt Attempt, failure *fault.Error) {
	if !request.onTrial {
		return
	}
	request.onTrial = false
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		if fault.AnswerFor(failure.Kind).Outcome == fault.NotRun {
			guard.ReturnTrial(request.triedFor)
			return false
		}
		if request.ask == 0 || attempt.Leaving {
			return false
		}
		guard.TrialLost(request.triedFor, request.ask, request.loss(now, attempt))
		return true
	})
}

// Answered records that an instance ran and answered a request.
func (g *Guard) Answered(request *Request) {
	identity, suspected := g.suspectIdentity(request)
	if !suspected {
		return
	}
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		notify := guard.Answered(now, identity.OfCaller)
		if identity.OfAnyCaller != identity.OfCaller {
			notify = guard.Answered(now, identity.OfAnyCaller) || notify
		}
		return notify
	})
}

// Attempt is an attempt that ended without an answer from its instance.
type Attempt struct {
	Service   string
	Instance  directory.InstanceID
	Address   string
	RequestID string
	// Took is how long the attempt was in flight until now.
	Took time.Duration
	// ConnectionEnded is true if the instance closed the connection.
	ConnectionEnded bool
	// Leaving is true if the instance leaves, so that it may end at any time, whatever it runs.
	Leaving bool
}

// loss returns an attempt of the request that ended now without an answer. The identity must be known.
func (r *Request) loss(now time.Duration, attempt Attempt) quarantine.Loss {
	loss := quarantine.Loss{
		Fingerprint: r.identity.OfCaller, Path: r.pathHash(), Service: attempt.Service,
		Instance: attempt.Instance, RequestID: attempt.RequestID, Began: now - attempt.Took, Ended: now,
		TrialAsk: r.ask,
	}
	if r.identity.OfAnyCaller != r.identity.OfCaller {
		loss.OfAnyCaller = r.identity.OfAnyCaller
	}
	return loss
}

// Lost reports to the watch an attempt that may have ended because its instance did. Instances that are leaving are
// ignored.
func (g *Guard) Lost(watch *Watch, request *Request, attempt Attempt) {
	if attempt.Leaving {
		return
	}
	if _, known := g.computeIdentity(request); !known {
		return
	}
	watch.Lost(request.loss(g.clock.Now(), attempt), attempt.Address, attempt.ConnectionEnded)
}
