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
	// cancelTimeout is the maximum duration of a cancel. It is reserved from the time
	// that the request has left.
	cancelTimeout = 50 * time.Millisecond
	// cancelDivisor limits that reserve for short requests: at most 1/cancelDivisor of the
	// remaining time is kept for the cancel.
	cancelDivisor = 10
	// maxProvedResends is the maximum number of resends of one request that are not
	// charged to the budget because its owner has answered another request.
	maxProvedResends = 3
)

// Execution is the state of one request. It is not safe for concurrent use.
type Execution struct {
	core     *Core
	request  *dispatch.Request
	service  *state.Service
	history  dispatch.History
	decision dispatch.Decision
	// queue is the server queue in which the current attempt holds a place.
	queue        *admission.Queue
	attemptStart time.Duration
	// provedResends counts the resends that were allowed because the owner answered
	// another request.
	provedResends int
	// resendForbidden is true once the request must not be sent again.
	resendForbidden bool
	// failure is the failure of the attempt that is being cancelled.
	failure *fault.Error
}

// Attempts returns the number of attempts that have ended.
func (e *Execution) Attempts() int { return len(e.history.Attempts) }

// ForbidResend makes the current attempt the last one.
func (e *Execution) ForbidResend() { e.resendForbidden = true }

// End releases the request's place among those that wait for an owner. It may be called
// more than once.
func (e *Execution) End() {
	if e.history.Waiting {
		e.history.Waiting = false
		e.core.ownerWaits.leave(e.service)
	}
}

// Plan decides on the next step.
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
		if !e.admitResend(reading.Now) {
			return Action{Kind: Plan}
		}
		return Action{Kind: Acquire, Decision: &e.decision}
	default:
		return e.giveUp(fault.New(e.decision.Kind, e.decision.Detail))
	}
}

// Stale returns the error with which a router refuses requests while it cannot prove
// that its routing table is current.
func Stale() *fault.Error {
	return fault.New(fault.StaleRouter, "the router cannot prove that its configuration is current; send to another router")
}

// wait counts the request as waiting for an owner, once, if the decision is Buffered.
func (e *Execution) wait(now time.Duration) Action {
	if e.decision.Buffered && !e.history.Waiting {
		if !e.core.ownerWaits.enter(e.service) {
			return e.giveUp(fault.New(fault.NoOwner, "too many requests wait for an owner"))
		}
		e.history.Waiting = true
		e.history.WaitingSince = now
	}
	return Action{Kind: Wait, Until: e.decision.Until}
}

// takeProvedResend takes a resend that is free because the owner that refused has
// answered another request since: it had not learned of its shard at the time, and now
// it holds the lease. It reports false for a draining owner, which refuses on purpose,
// and after maxProvedResends, because the server's answers may be for other shards.
func (e *Execution) takeProvedResend(last *dispatch.Attempt) bool {
	if last.Kind == fault.Draining || e.provedResends >= maxProvedResends {
		return false
	}
	if !e.core.options.Fleet.AnsweredSince(e.decision.Server, last.EndedAt) {
		return false
	}
	e.provedResends++
	return true
}

// admitResend reports whether the planned attempt may be sent now. A resend to an owner
// that refused is charged to the budget, unless shard or epoch have changed since or
// takeProvedResend allows it. If the budget is empty, the resend is postponed by
// budgetRetryInterval; the planner limits the total wait.
func (e *Execution) admitResend(now time.Duration) bool {
	attempts := e.history.Attempts
	if len(attempts) == 0 {
		return true
	}
	last := &attempts[len(attempts)-1]
	ownerChanged := last.Shard != e.decision.Shard || last.Epoch != e.decision.Epoch
	if !retry.OwnershipChanged(last.Kind) || !e.request.Keyed || ownerChanged {
		return true
	}
	if e.takeProvedResend(last) || e.core.budget(e.service).TakeResend() {
		return true
	}
	last.NotBefore = min(now+budgetRetryInterval, e.request.Deadline)
	return false
}

// Stopped ends a waiting request because the router shuts down.
func (e *Execution) Stopped() Action {
	return e.giveUp(fault.New(fault.RouterStopping, "the router stopped before the request could be sent"))
}

// Acquired handles the end of the wait for a place in the server's queue. If err is nil,
// the request holds a place, which the execution releases.
func (e *Execution) Acquired(reading Reading, queue *admission.Queue, err error) Action {
	if eris.Is(err, ErrSessionEnded) {
		return Action{Kind: Plan}
	}
	if eris.Is(err, context.Canceled) {
		return e.Stopped()
	}
	if err != nil {
		return e.queueRefused(reading.Now, fault.From(err))
	}
	e.queue = queue
	if !e.decisionValid(reading) {
		queue.ReleaseUnused()
		return Action{Kind: Plan}
	}
	return e.startAttempt(reading.Now)
}

// queueRefused handles a server queue that did not admit the request. Requests without a
// key may try another server.
func (e *Execution) queueRefused(now time.Duration, failure *fault.Error) Action {
	if !e.request.Keyed && e.recordAttempt(now, failure) {
		return Action{Kind: Plan}
	}
	return e.giveUp(failure)
}

// decisionValid reports whether the decision still holds under the reading's table, for
// example after the wait in the queue.
func (e *Execution) decisionValid(reading Reading) bool {
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

// MaySend returns the reason why the current attempt must no longer be sent, or nil. It is
// called right before the first byte is written, because the wait for a connection may
// have been long and the machine may have been suspended since the decision.
func (e *Execution) MaySend(reading Reading) *fault.Error {
	switch {
	case reading.Now >= e.request.Deadline:
		return fault.New(fault.DeadlineBeforeStart, "the deadline passed before the request could be sent")
	case !reading.Fresh:
		return Stale()
	case !e.decisionValid(reading):
		return fault.New(fault.NoOwner, "the server was withdrawn before the request could be sent")
	default:
		return nil
	}
}

// Withdrawn handles an attempt that was not sent because MaySend returned the reason.
func (e *Execution) Withdrawn(reading Reading, reason *fault.Error) Action {
	e.queue.ReleaseUnused()
	e.core.options.Health.ProbeAbandoned(e.decision.Server.ID)
	if reason.Kind == fault.DeadlineBeforeStart {
		return e.giveUp(reason)
	}
	return e.Plan(reading)
}

// startAttempt returns the action that sends the request, if enough time remains for the
// attempt and a cancel after it.
func (e *Execution) startAttempt(now time.Duration) Action {
	remaining := e.request.Deadline - now
	timeout := remaining - min(cancelTimeout, remaining/cancelDivisor)
	if timeout <= 0 {
		e.queue.ReleaseUnused()
		return e.resendOrGiveUp(now, fault.New(fault.DeadlineBeforeStart, "the deadline passed in the router's queue"))
	}
	e.attemptStart = now
	e.core.options.Health.Begin(e.decision.Server.ID, now)
	return Action{Kind: Attempt, Decision: &e.decision, Timeout: timeout}
}
