package sim

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/wire"
)

var _ driver.Host = (*host)(nil)

// host is the replica as its driver sees it.
type host struct{ *replica }

// Now implements driver.Host.
func (h *host) Now() time.Duration { return h.owner.now() }

// Send implements driver.Transport.
func (h *host) Send(messages []consensus.Message) {
	for _, outgoing := range messages {
		if outgoing.Kind == consensus.MessageAppendAnswer && !outgoing.Reject {
			h.owner.promise.Index = max(h.owner.promise.Index, outgoing.Index)
		}
		target, found := h.sim.hosts[outgoing.To]
		if !found {
			continue
		}
		// Receivers must not share the sender's memory.
		outgoing.Entries = slices.Clone(outgoing.Entries)
		h.owner.sendOn(h.connection(outgoing), target.process, func() { target.consensusMessage(outgoing) })
	}
}

// connection returns the number of the connection that a message goes by.
func (h *host) connection(outgoing consensus.Message) int {
	if h.sim.planted.oneConnection {
		return 0
	}
	turns, found := h.turns[outgoing.To]
	if !found {
		turns = &wire.Turns{}
		h.turns[outgoing.To] = turns
	}
	return turns.Connection(outgoing)
}

// SendLease implements driver.Transport. It carries a lease message to a server
// and its answer back, unless the exchange takes longer than the timeout of the
// HTTP call.
func (h *host) SendLease(send coordinator.Send) {
	target, found := h.sim.server(send.Server)
	if !found {
		return
	}
	open := true
	finish := func(end func()) {
		if open {
			open = false
			h.owner.step(end)
		}
	}
	sequence := send.Request.Fence.Sequence
	h.owner.sendOnce(target.process, func() {
		answer := target.leaseMessage(send.Request)
		target.sendOnce(h.owner.process, func() {
			finish(func() { h.coordinator.Answered(h.Now(), send.Server, sequence, answer) })
		})
	})
	h.owner.after(h.sim.settings.Lease.RequestTimeout, func() {
		finish(func() { h.coordinator.Failed(send.Server, sequence) })
	})
}

// State implements driver.StateMachine.
func (h *host) State() *state.State { return h.state }

// Apply implements driver.StateMachine.
func (h *host) Apply(index uint64, command state.Command) state.Result {
	result := h.history.Apply(h.state, index, command)
	if len(result.Changed) > 0 {
		h.feedStreams()
	}
	return result
}

// Restore implements driver.StateMachine.
func (h *host) Restore(index uint64, restored *state.State) {
	h.state = restored
	h.history.Reset(restored.Revision())
	h.sim.counts.Snapshots++
	h.sim.trace("%s takes the leader's snapshot at index %d", h.owner.node, index)
	h.sim.checker.Restored(h.owner.name(), index, restored.Revision(), restored.Digest())
}

// WriteSnapshot implements driver.SnapshotWriter. It writes at once; the step
// that it belongs to takes the snapshot into use.
func (h *host) WriteSnapshot(write func() driver.SavedSnapshot) {
	saved := write()
	h.saved = &saved
}

// AwaitSnapshot implements driver.SnapshotWriter.
func (h *host) AwaitSnapshot() driver.SavedSnapshot {
	saved := *h.saved
	h.saved = nil
	return saved
}

// Applied implements driver.Observer.
func (h *host) Applied(entry consensus.Entry, command state.Command, result state.Result) {
	digest := xxhash.Sum64(entry.Data) + uint64(entry.Kind)
	h.sim.digest = bits.RotateLeft64(h.sim.digest, 1) ^ digest
	h.sim.checker.Applied(checker.AppliedEntry{
		Replica: h.owner.name(), Index: entry.Index, Term: entry.Term, Content: digest,
		Table: h.state.Revision(), Digest: h.state.Digest(), Changed: result.Changed,
		Confirmed: confirmedBy(command, result),
	})
	h.sim.applied(entry.Index, command, result)
}

// confirmedBy returns the plan that a command confirmed.
func confirmedBy(command state.Command, result state.Result) *state.Plan {
	if command.ConfirmPlan == nil {
		return nil
	}
	return result.Plan
}

// StartedLeading implements driver.Observer.
func (h *host) StartedLeading(status consensus.Status) {
	h.leadsSince = h.sim.queue.Now()
	h.sim.counts.Elections++
	h.sim.trace("%s leads term %d at index %d", h.owner.node, status.Term, status.Applied)
	h.sim.checker.MustHold(h.owner.name(), status.Term, status.Applied)
	h.noteQuiet(status)
	if h.leases != nil {
		h.leases.changeLeadership()
	}
}

// noteQuiet tells the checker in true time since when no earlier leader began a
// quorum round.
func (h *host) noteQuiet(status consensus.Status) {
	h.term = status.Term
	counted := time.Duration(float64(status.QuietBeforeElection) * (1 - h.sim.coordination.ClockRateBound))
	h.sim.checker.LeadsAfterQuiet(h.term, h.sim.queue.Now()-h.owner.trueDuration(counted))
}

// StoppedLeading implements driver.Observer.
func (h *host) StoppedLeading() {
	h.sim.trace("%s leads no longer", h.owner.node)
	h.closeStreams()
	if h.leases != nil {
		h.leases.changeLeadership()
	}
}

// MembershipProposed implements driver.Observer.
func (h *host) MembershipProposed(change consensus.MembershipChange) {
	h.sim.trace("%s proposes membership change %d of %s, replica %s", h.owner.node, change.Kind, change.Member.Name, shortID(change.Member.ID))
}

// Refused implements driver.Observer.
func (h *host) Refused(string, error) {}
