package execution

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// cancelTime bounds a cancel, and is taken out of the request's time.
	cancelTime = 50 * time.Millisecond
	// cancelShare is the part of a short request's time kept for the cancel.
	cancelShare = 10
	// maxProvedResends bounds what one request may send again without the budget
	// because its owner answered another one.
	maxProvedResends = 3
)

// Execution is one request on its way. It is not safe for concurrent use.
type Execution struct {
	core     *Core
	request  *dispatch.Request
	service  *state.Service
	history  dispatch.History
	decision dispatch.Decision
	// queue is where the present attempt holds a place.
	queue *admission.Queue
	began time.Duration
	// proved counts the resends that another request's answer allowed.
	proved int
	// final is true once the request must not be sent again.
	final bool
	// failure is how the attempt under cancellation ended.
	failure *fault.Error
}

// Attempts returns how many attempts have ended so far.
func (e *Execution) Attempts() int { return len(e.history.Attempts) }

// ForbidResend lets the present attempt be the last one.
func (e *Execution) ForbidResend() { e.final = true }

// End counts the request out. More calls than one do no harm.
func (e *Execution) End() {
	if e.history.Waiting {
		e.history.Waiting = false
		e.core.waiting.leave(e.service)
	}
}

// Plan decides on the next step by the router's view.
func (e *Execution) Plan(reading Reading) Action {
	if !reading.Fresh {
		return e.giveUp(Stale())
	}
	options := &e.core.options
	e.decision = options.Planner.Plan(reading.Now, reading.Table, options.Fleet, e.request, &e.history)
	switch e.decision.Action {
	case dispatch.Wait:
		return e.wait(reading.Now)
	case dispatch.Send:
		if !e.payForResend(reading.Now) {
			return Action{Kind: Plan}
		}
		return Action{Kind: Acquire, Decision: &e.decision}
	default:
		return e.giveUp(fault.New(e.decision.Kind, e.decision.Detail))
	}
}

// Stale returns the refusal of a router whose table is not proved current.
func Stale() *fault.Error {
	return fault.New(fault.StaleRouter, "the router cannot prove that its configuration is current; send to another router")
}

// wait counts the request in once if it waits for an owner.
func (e *Execution) wait(now time.Duration) Action {
	if e.decision.Buffered && !e.history.Waiting {
		if !e.core.waiting.enter(e.service) {
			return e.giveUp(fault.New(fault.NoOwner, "too many requests wait for an owner"))
		}
		e.history.Waiting = true
		e.history.WaitingSince = now
	}
	return Action{Kind: Wait, Until: e.decision.Until}
}

// provedResend reports whether the owner that refused has answered another request
// since: it had not heard of its shard yet, and now it has its lease. An owner that
// drains refuses on purpose. A server's answers may be for other shards, so that
// these resends are bounded too.
func (e *Execution) provedResend(last *dispatch.Attempt) bool {
	if last.Kind == fault.Draining || e.proved >= maxProvedResends {
		return false
	}
	if !e.core.options.Fleet.AnsweredSince(e.decision.Server, last.EndedAt) {
		return false
	}
	e.proved++
	return true
}

// payForResend takes a resend out of the budget, unless the request goes to a
// new owner or epoch since the last refusal, or the owner has answered another
// request since: it had not heard of its shard yet, and now it has. When the
// budget is empty, it puts the resend off; the planner bounds the whole wait.
func (e *Execution) payForResend(now time.Duration) bool {
	attempts := e.history.Attempts
	if len(attempts) == 0 {
		return true
	}
	last := &attempts[len(attempts)-1]
	moved := last.Shard != e.decision.Shard || last.Epoch != e.decision.Epoch
	if !retry.OwnershipChanged(last.Kind) || !e.request.Keyed || moved {
		return true
	}
	if e.provedResend(last) || e.core.budget(e.service).TakeResend() {
		return true
	}
	last.NotBefore = min(now+resendLook, e.request.Deadline)
	return false
}

// Stopped ends a request that waits when the router's life ends.
func (e *Execution) Stopped() Action {
	return e.giveUp(fault.New(fault.RouterStopping, "the router stopped before the request could be sent"))
}

// Acquired takes the end of the wait for a place in the server's queue. Without
// an error the request holds a place there, which the execution gives back.
func (e *Execution) Acquired(reading Reading, queue *admission.Queue, err error) Action {
	if eris.Is(err, ErrSessionEnded) {
		return Action{Kind: Plan}
	}
	if eris.Is(err, context.Canceled) {
		return e.Stopped()
	}
	if err != nil {
		return e.notAdmitted(reading.Now, fault.From(err))
	}
	e.queue = queue
	if !e.valid(reading) {
		queue.ReleaseUnused()
		return Action{Kind: Plan}
	}
	return e.attempt(reading.Now)
}

// notAdmitted tries another server when any will do.
func (e *Execution) notAdmitted(now time.Duration, failure *fault.Error) Action {
	if !e.request.Keyed && e.again(now, failure) {
		return Action{Kind: Plan}
	}
	return e.giveUp(failure)
}

// valid reports whether the decision still holds after the wait in the queue.
func (e *Execution) valid(reading Reading) bool {
	if !reading.Fresh {
		return false
	}
	if e.request.Keyed {
		shard, found := reading.Table.Lookup(e.request.Service, e.request.KeyHash)
		return found && shard.ID == e.decision.Shard && shard.Epoch == e.decision.Epoch && shard.Phase == state.ShardOwned
	}
	server, found := reading.Table.Server(e.decision.Server.ID)
	return found && server.Session == e.decision.Server.Session && !server.Withdrawn() &&
		server.Intent == state.ServerActive && !e.core.options.Health.Draining(server)
}

// MaySend returns why the present attempt must not be sent any more, right before its
// first byte goes out; nil if it may. The wait for a connection may have been long, and
// the machine may have been suspended since the decision.
func (e *Execution) MaySend(reading Reading) *fault.Error {
	switch {
	case reading.Now >= e.request.Deadline:
		return fault.New(fault.DeadlineBeforeStart, "the deadline passed before the request could be sent")
	case !reading.Fresh:
		return Stale()
	case !e.valid(reading):
		return fault.New(fault.NoOwner, "the server was withdrawn before the request could be sent")
	default:
		return nil
	}
}

// Withdrawn takes that the present attempt was not sent, since MaySend forbade it.
func (e *Execution) Withdrawn(reading Reading, reason *fault.Error) Action {
	e.queue.ReleaseUnused()
	e.core.options.Health.ProbeAbandoned(e.decision.Server.ID)
	if reason.Kind == fault.DeadlineBeforeStart {
		return e.giveUp(reason)
	}
	return e.Plan(reading)
}

// attempt sends the request, if its time allows that and a cancel after it.
func (e *Execution) attempt(now time.Duration) Action {
	left := e.request.Deadline - now
	timeout := left - min(cancelTime, left/cancelShare)
	if timeout <= 0 {
		e.queue.ReleaseUnused()
		return e.resendOrGiveUp(now, fault.New(fault.DeadlineBeforeStart, "the deadline passed in the router's queue"))
	}
	e.began = now
	e.core.options.Health.Begin(e.decision.Server.ID, now)
	return Action{Kind: Attempt, Decision: &e.decision, Timeout: timeout}
}
