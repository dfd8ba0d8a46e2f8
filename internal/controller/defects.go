package controller

import (
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// shortestHoldOff is how long a sender is held off whose heartbeat met a defect of this
	// program. It doubles with each further one up to longestHoldOff.
	shortestHoldOff = 10 * time.Second
	longestHoldOff  = 5 * time.Minute
	// mostHeldOff bounds the senders that are remembered.
	mostHeldOff = 1024
)

const (
	// noSender stands for decisions that no sender asked for.
	noSender = directory.InstanceID("")
	// wholeBatch stands for the commands of a batch.
	wholeBatch = directory.InstanceID("batch")
)

// heldOff says until when a sender is held off, by the clock, and for how long that was.
type heldOff struct {
	until time.Duration
	last  time.Duration
}

// holdOffs remembers senders whose heartbeats met a defect: each further one would meet it, too. It
// is not safe for concurrent use.
type holdOffs map[directory.InstanceID]heldOff

// note takes that a sender met a defect.
func (h holdOffs) note(now time.Duration, sender directory.InstanceID) {
	if len(h) >= mostHeldOff {
		clear(h)
	}
	next := min(max(shortestHoldOff, 2*h[sender].last), longestHoldOff)
	h[sender] = heldOff{until: now + next, last: next}
}

// holds reports whether a sender is held off.
func (h holdOffs) holds(now time.Duration, sender directory.InstanceID) bool {
	return now < h[sender].until
}

func errDefect() error {
	return fault.New(fault.Internal, "the decision met a defect of this program and was given up; see the controller's log, event panicked")
}

// guarded runs a decision. One that panics ends alone: it is logged, and its sender held off. What it
// may have changed halfway in the core is forgotten, by beginning as a new leader does, which knows
// nothing of its predecessor. The sender is read after the panic. The mutex must be held.
func (k *heartbeatKeeper) guarded(sender *directory.InstanceID, decide func()) error {
	recovered := panics.Try(decide)
	if recovered == nil {
		return nil
	}
	now := k.replica.clock.Now()
	k.heldOff.note(now, *sender)
	k.core.Lead(now)
	telemetry.Panicked(k.replica.log, recovered).WithField(telemetry.FieldServer, *sender).WithField("held_off_ms", k.heldOff[*sender].last.Milliseconds()).
		Error("a decision on heartbeats met a defect of this program")
	return errDefect()
}

// guard runs a part of a decision of this replica, and reports false if it panicked, which is logged. The
// caller must forget what it may have changed halfway.
func (r *replica) guard(part string, decide func()) bool {
	recovered := panics.Try(decide)
	if recovered == nil {
		return true
	}
	telemetry.Panicked(r.log, recovered).WithField("part", part).WithField("held_off_ms", shortestHoldOff.Milliseconds()).
		Error("a decision met a defect of this program")
	return false
}

// mayDecide returns why nothing is decided for a sender now; nil if it is.
func (k *heartbeatKeeper) mayDecide(sender directory.InstanceID) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.heldOff.holds(k.replica.clock.Now(), sender) {
		return errDefect()
	}
	return nil
}
