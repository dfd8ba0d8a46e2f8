package execution

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
)

// Answered handles the end of an attempt. Failure is nil if the back end's complete
// answer was received, else the error or the back end's refusal.
func (e *Execution) Answered(now time.Duration, failure *fault.Error) Action {
	elapsed := now - e.attemptStart
	e.releaseQueue(failure, elapsed)
	events := e.recordHealth(now, failure, elapsed)
	next := e.afterAttempt(now, failure)
	next.Events = events
	return next
}

func (e *Execution) afterAttempt(now time.Duration, failure *fault.Error) Action {
	if failure == nil {
		return Action{Kind: Finish}
	}
	remaining := e.request.Deadline - now
	mayBeRunning := failure.Kind == fault.DeadlineExceeded || failure.Kind == fault.ConnectionLost
	if !mayBeRunning || remaining <= 0 {
		return e.resendOrGiveUp(now, failure)
	}
	e.failure = failure
	return Action{Kind: Cancel, Timeout: min(remaining, cancelTimeout)}
}

// Cancelled handles the end of a cancel. Proved is true if the back end has guaranteed
// that the attempt never started and never will, so that the request did not run.
func (e *Execution) Cancelled(now time.Duration, proved bool) Action {
	failure := e.failure
	if proved {
		failure = fault.New(fault.CancelledBeforeStart, "the back end cancelled the request before it started")
	}
	return e.resendOrGiveUp(now, failure)
}

// releaseQueue releases the place in the server's queue. Only attempts that were answered
// or timed out count as measurements of the service time.
func (e *Execution) releaseQueue(failure *fault.Error, elapsed time.Duration) {
	if failure == nil || failure.Kind == fault.DeadlineExceeded {
		e.queue.Release(elapsed)
		return
	}
	e.queue.ReleaseUnused()
}

// recordHealth reports the attempt's result to the health tracker.
func (e *Execution) recordHealth(now time.Duration, failure *fault.Error, elapsed time.Duration) []Event {
	server := e.decision.Server
	health := e.core.options.Health
	if failure == nil {
		e.core.options.Fleet.Answered(server, now)
		return e.recordSuccess()
	}
	switch failure.Kind {
	case fault.Draining:
		events := e.recordSuccess()
		if health.MarkDraining(server) {
			events = append(events, ServerDraining)
		}
		return events
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched:
		return e.recordFailure(now)
	case fault.DeadlineExceeded:
		// A timeout after less than half of the service's default time is due to a short
		// deadline of the caller and does not show that the server is faulty.
		const half = 2
		if elapsed >= e.service.DefaultTimeout/half {
			return e.recordFailure(now)
		}
		health.ProbeAbandoned(server.ID)
	case fault.QueueFull, fault.SocketUnavailable, fault.AnswerDropped:
		health.ProbeAbandoned(server.ID)
	default:
		return e.recordSuccess()
	}
	return nil
}

func (e *Execution) recordSuccess() []Event {
	if e.core.options.Health.Succeeded(e.decision.Server.ID) {
		return []Event{ServerReadmitted}
	}
	return nil
}

func (e *Execution) recordFailure(now time.Duration) []Event {
	if e.core.options.Health.Failed(e.decision.Server.ID, now) {
		return []Event{ServerEjected}
	}
	return nil
}

func (e *Execution) resendOrGiveUp(now time.Duration, failure *fault.Error) Action {
	if e.recordAttempt(now, failure) {
		return Action{Kind: Plan, Failure: failure}
	}
	return e.giveUp(failure)
}

// recordAttempt adds the failed attempt to the history and reports whether another
// attempt is to be made.
func (e *Execution) recordAttempt(now time.Duration, failure *fault.Error) bool {
	policy := e.core.options.Policy
	delay := policy.Delay(len(e.history.Attempts)+1, e.core.options.Jitter())
	e.history.Attempts = append(e.history.Attempts, dispatch.Attempt{
		Server: e.decision.Server.ID, Shard: e.decision.Shard, Epoch: e.decision.Epoch,
		Kind: failure.Kind, EndedAt: now, NotBefore: now + delay,
	})
	if e.resendForbidden || !retry.Allowed(failure.Kind, e.request.Repeatable) || now+delay >= e.request.Deadline {
		return false
	}
	if e.request.Keyed && retry.OwnershipChanged(failure.Kind) {
		// The planner limits the wait for another owner, and admitResend charges the budget.
		return true
	}
	if len(e.history.Attempts) >= policy.MaxAttempts {
		return false
	}
	return e.core.budget(e.service).TakeResend()
}

// giveUp ends the request with the failure, which is sent to the caller at once.
func (e *Execution) giveUp(failure *fault.Error) Action {
	kind := dispatch.FinalKind(&e.history, failure.Kind)
	return Action{Kind: Finish, Failure: fault.New(kind, failure.Detail)}
}
