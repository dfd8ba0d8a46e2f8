package record

import (
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Final reports whether resending the same claim would get the same verdict.
func (v Verdict) Final() bool {
	switch v {
	case NotPrimary, NotStored, InProgress:
		return false
	default:
		return true
	}
}

// Refusal returns the error for a request whose claim got a verdict other than
// Granted or AnswerKept. The key is the value of the Idempotency-Key header.
func (v Verdict) Refusal(key string) *fault.Error {
	switch v {
	case InProgress:
		return fault.New(fault.DuplicateInProgress, "an earlier request with this Idempotency-Key still runs; ask again later")
	case OutcomeUnknown:
		return fault.New(fault.OutcomeUnknown, "an earlier request with this Idempotency-Key may have run; look its effect up")
	case ContentDiffers:
		return fault.New(fault.KeyReused, "this Idempotency-Key came with another request before; draw a new one for each request")
	case TooOld:
		return fault.New(fault.KeyExpired, "this Idempotency-Key is older than records are kept; look the request's effect up")
	case FromFuture:
		return fault.Newf(fault.InvalidRequest,
			"header Idempotency-Key is %.64q, drawn more than %s in the future; set the caller's clock", key, ClockSkew)
	case RecordsLost:
		return fault.New(fault.RecordLost, "records of the time when this Idempotency-Key was drawn were lost; look the request's effect up")
	case Full:
		return fault.New(fault.QueueFull, "the record partition of this Idempotency-Key is full; send again later")
	default:
		return fault.New(fault.RecordUnavailable, "the idempotency record could not be stored; the request was not sent; send again")
	}
}

// StatusAfter returns the final status of an attempt with the given failure, which
// is nil if the back end answered.
func StatusAfter(failure *fault.Error) Status {
	switch {
	case failure == nil:
		return Completed
	case fault.AnswerFor(failure.Kind).Outcome == fault.NotRun:
		return Released
	default:
		return Unknown
	}
}
