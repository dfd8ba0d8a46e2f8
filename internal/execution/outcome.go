package execution

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
)

// Answered takes the end of an attempt: nil when the back end's whole answer
// came, else what went wrong, refusals of the back end included.
func (e *Execution) Answered(now time.Duration, failure *fault.Error) Action {
	took := now - e.began
	e.release(failure, took)
	events := e.learn(now, failure, took)
	next := e.afterAttempt(now, failure)
	next.Events = events
	return next
}

func (e *Execution) afterAttempt(now time.Duration, failure *fault.Error) Action {
	if failure == nil {
		return Action{Kind: Finish}
	}
	left := e.request.Deadline - now
	open := failure.Kind == fault.DeadlineExceeded || failure.Kind == fault.ConnectionLost
	if !open || left <= 0 {
		return e.resendOrGiveUp(now, failure)
	}
	e.failure = failure
	return Action{Kind: Cancel, Timeout: min(left, cancelTime)}
}

// Cancelled takes the end of a cancel. Proved means that the back end promised
// that the attempt never started and never will, so that the request did not
// run.
func (e *Execution) Cancelled(now time.Duration, proved bool) Action {
	failure := e.failure
	if proved {
		failure = fault.New(fault.CancelledBeforeStart, "the back end cancelled the request before it started")
	}
	return e.resendOrGiveUp(now, failure)
}

// release gives back the queue's place. Only attempts that ran, or ran out of
// time, say something of the service time.
func (e *Execution) release(failure *fault.Error, took time.Duration) {
	if failure == nil || failure.Kind == fault.DeadlineExceeded {
		e.queue.Release(took)
		return
	}
	e.queue.ReleaseUnused()
}

// learn tells the health tracker how the attempt went.
func (e *Execution) learn(now time.Duration, failure *fault.Error, took time.Duration) []Event {
	server := e.decision.Server
	health := e.core.options.Health
	if failure == nil {
		e.core.options.Fleet.Answered(server, now)
		return e.alive()
	}
	switch failure.Kind {
	case fault.Draining:
		events := e.alive()
		if health.Drained(server) {
			events = append(events, ServerDraining)
		}
		return events
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched:
		return e.failed(now)
	case fault.DeadlineExceeded:
		// A caller in a hurry proves nothing about the server.
		const half = 2
		if took >= e.service.DefaultTimeout/half {
			return e.failed(now)
		}
		health.ProbeAbandoned(server.ID)
	case fault.QueueFull:
		health.ProbeAbandoned(server.ID)
	default:
		return e.alive()
	}
	return nil
}

func (e *Execution) alive() []Event {
	if e.core.options.Health.Succeeded(e.decision.Server.ID) {
		return []Event{ServerReadmitted}
	}
	return nil
}

func (e *Execution) failed(now time.Duration) []Event {
	if e.core.options.Health.Failed(e.decision.Server.ID, now) {
		return []Event{ServerEjected}
	}
	return nil
}

func (e *Execution) resendOrGiveUp(now time.Duration, failure *fault.Error) Action {
	if e.again(now, failure) {
		return Action{Kind: Plan, Failure: failure}
	}
	return e.giveUp(failure)
}

// again records the failed attempt and decides whether to make another one.
func (e *Execution) again(now time.Duration, failure *fault.Error) bool {
	policy := e.core.options.Policy
	delay := policy.Delay(len(e.history.Attempts)+1, e.core.options.Jitter())
	e.history.Attempts = append(e.history.Attempts, dispatch.Attempt{
		Server: e.decision.Server.ID, Shard: e.decision.Shard, Epoch: e.decision.Epoch,
		Kind: failure.Kind, EndedAt: now, NotBefore: now + delay,
	})
	if e.final || !retry.Allowed(failure.Kind, e.request.Repeatable) || now+delay >= e.request.Deadline {
		return false
	}
	if e.request.Keyed && retry.OwnershipChanged(failure.Kind) {
		// The planner bounds the wait for another owner; see payForResend.
		return true
	}
	if len(e.history.Attempts) >= policy.MaxAttempts {
		return false
	}
	return e.core.budget(e.service).TakeResend()
}

// giveUp ends the request. The answer goes out at once.
func (e *Execution) giveUp(failure *fault.Error) Action {
	kind := dispatch.FinalKind(&e.history, failure.Kind)
	return Action{Kind: Finish, Failure: fault.New(kind, failure.Detail)}
}
