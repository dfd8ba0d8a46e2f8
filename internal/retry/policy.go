package retry

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Policy holds the bounds on resends of one request.
type Policy struct {
	// MaxAttempts bounds attempts, the first one included.
	MaxAttempts int
	// BaseDelay is the back-off before the first resend; it doubles each time.
	BaseDelay time.Duration
	// MaxDelay bounds the back-off.
	MaxDelay time.Duration
}

// DefaultPolicy suits services that answer within tens of milliseconds.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 5, BaseDelay: 10 * time.Millisecond, MaxDelay: 400 * time.Millisecond}
}

// Allowed reports whether a request whose attempt ended with the kind may be
// sent again. Without a proof that it did not run, only a request that the
// caller marked as repeatable may, and only where a back end was at fault.
func Allowed(kind fault.Kind, repeatable bool) bool {
	answer := fault.AnswerFor(kind)
	if answer.Resend {
		return true
	}
	return repeatable && brokenAttempt(kind)
}

// brokenAttempt lists the failures of one attempt whose outcome is unknown and
// after which another attempt can still succeed in time.
func brokenAttempt(kind fault.Kind) bool {
	switch kind {
	case fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched:
		return true
	default:
		return false
	}
}

// OwnershipChanged reports whether the kind says that the back end no longer,
// or not yet, owns the shard, so that a change of the routing table is due.
func OwnershipChanged(kind fault.Kind) bool {
	switch kind {
	case fault.WrongEpoch, fault.LeaseExpired, fault.Draining:
		return true
	default:
		return false
	}
}

// Delay returns the back-off after the given number of attempts. Jitter is a
// random number in [0, 1) and spreads the delay over its upper half.
func (p Policy) Delay(attempts int, jitter float64) time.Duration {
	delay := p.BaseDelay
	for i := 1; i < attempts && delay < p.MaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, p.MaxDelay)
	half := delay / 2
	return half + time.Duration(jitter*float64(half))
}
