package controller

import (
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// minBackoff is how long a sender is rejected after its heartbeat caused a panic. The time doubles with
	// each further panic, up to maxBackoff.
	minBackoff = 10 * time.Second
	maxBackoff = 5 * time.Minute
	// maxBackoffSenders bounds the number of senders that are remembered.
	maxBackoffSenders = 1024
)

const (
	// noSender marks decisions that no sender asked for.
	noSender = directory.InstanceID("")
	// wholeBatch marks a panic while building the commands of a batch.
	wholeBatch = directory.InstanceID("batch")
)

// backoff is the time until which a sender is rejected, by the clock, and the duration of that backoff.
type backoff struct {
	until    time.Duration
	duration time.Duration
}

// backoffs remembers senders whose heartbeats caused a panic: their further heartbeats would cause it again.
// It is not safe for concurrent use.
type backoffs map[directory.InstanceID]backoff

// recordDefect starts or doubles the backoff of a sender after a panic.
func (b backoffs) recordDefect(now time.Duration, sender directory.InstanceID) {
	if len(b) >= maxBackoffSenders {
		clear(b)
	}
	next := min(max(minBackoff, 2*b[sender].duration), maxBackoff)
	b[sender] = backoff{until: now + next, duration: next}
}

// active reports whether a sender is currently rejected.
func (b backoffs) active(now time.Duration, sender directory.InstanceID) bool {
	return now < b[sender].until
}

func errDefect() error {
	return fault.New(fault.Internal, "the decision met a defect of this program and was given up; see the controller's log, event panicked")
}

// guarded runs a decision. A panic fails that decision only: it is logged and its sender backs off. The core
// is reset as for a new leader, which knows nothing of its predecessor, because the decision may have left it
// inconsistent. sender is read after the panic. The mutex must be held.
func (m *heartbeatManager) guarded(sender *directory.InstanceID, decide func()) error {
	recovered := panics.Try(decide)
	if recovered == nil {
		return nil
	}
	now := m.replica.clock.Now()
	m.backoffs.recordDefect(now, *sender)
	m.core.Lead(now)
	telemetry.Panicked(m.replica.log, recovered).WithField(telemetry.FieldServer, *sender).WithField("held_off_ms", m.backoffs[*sender].duration.Milliseconds()).
		Error("panic while deciding on heartbeats")
	return errDefect()
}

// guard runs a part of a decision of this replica. It logs a panic and reports false; the caller must then
// discard what the decision may have left inconsistent.
func (r *replica) guard(part string, decide func()) bool {
	recovered := panics.Try(decide)
	if recovered == nil {
		return true
	}
	telemetry.Panicked(r.log, recovered).WithField("part", part).WithField("held_off_ms", minBackoff.Milliseconds()).
		Error("panic while making a leader decision")
	return false
}

// checkBackoff returns an error if the sender is currently rejected, otherwise nil.
func (m *heartbeatManager) checkBackoff(sender directory.InstanceID) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.backoffs.active(m.replica.clock.Now(), sender) {
		return errDefect()
	}
	return nil
}
