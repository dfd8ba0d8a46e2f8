package retry

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Policy limits the resends of one request.
type Policy struct {
	// MaxAttempts limits the attempts, including the first one.
	MaxAttempts int
	// BaseDelay is the back-off before the first resend; it doubles with each further one.
	BaseDelay time.Duration
	// MaxDelay limits the back-off.
	MaxDelay time.Duration
}

// DefaultPolicy suits services that answer within tens of milliseconds.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 5, BaseDelay: 10 * time.Millisecond, MaxDelay: 400 * time.Millisecond}
}

// Allowed reports whether a request whose attempt ended with a failure of this kind may be sent again. If
// the attempt may have run, only a request that the caller marked as repeatable may be sent again, and only
// after a failure of the back end or of the connection to it.
func Allowed(kind fault.Kind, repeatable bool) bool {
	answer := fault.AnswerFor(kind)
	if answer.Resend {
		return true
	}
	return repeatable && retryableWithUnknownOutcome(kind)
}

// retryableWithUnknownOutcome reports whether an attempt that failed with this kind may have run, while
// another attempt can still succeed in time.
func retryableWithUnknownOutcome(kind fault.Kind) bool {
	switch kind {
	case fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched:
		return true
	default:
		return false
	}
}

// OwnershipChanged reports whether the failure says that the back end no longer owns the shard, or does not
// own it yet, so that a newer routing table is to be expected.
func OwnershipChanged(kind fault.Kind) bool {
	switch kind {
	case fault.WrongEpoch, fault.LeaseExpired, fault.Draining:
		return true
	default:
		return false
	}
}

// Delay returns the back-off after the given number of attempts. Jitter is a random number in [0, 1) and
// spreads the delay over its upper half.
func (p Policy) Delay(attempts int, jitter float64) time.Duration {
	delay := p.BaseDelay
	for i := 1; i < attempts && delay < p.MaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, p.MaxDelay)
	half := delay / 2
	return half + time.Duration(jitter*float64(half))
}
