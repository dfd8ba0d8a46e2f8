package controller

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

var _ driver.Host = (*host)(nil)

// host implements driver.Host, the interface through which the driver uses the replica.
type host struct {
	*replica
	// membersChanged is set when a committed membership change is applied, until the senders to removed
	// members are stopped.
	membersChanged bool
}

// Now implements driver.Host.
func (h *host) Now() time.Duration { return h.clock.Now() }

// Send implements driver.Transport.
func (h *host) Send(messages []consensus.Message) { h.peers.send(messages) }

// SendLease implements driver.Transport.
func (h *host) SendLease(message coordinator.Send) { h.leases.send(message) }

// State implements driver.StateMachine.
func (h *host) State() *state.State { return h.state }

// Apply implements driver.StateMachine.
func (h *host) Apply(index uint64, command state.Command) state.Result {
	h.stateLock.Lock()
	defer h.stateLock.Unlock()
	return h.history.Apply(h.state, index, command)
}

// Restore implements driver.StateMachine.
func (h *host) Restore(index uint64, restored *state.State) {
	h.stateLock.Lock()
	h.state = restored
	h.stateLock.Unlock()
	h.history.Reset(restored.Revision())
	h.instanceChanged.NotifyAll()
	h.feed.urgent.Raise()
	h.directoryChanged.Raise()
	telemetry.With(h.log, telemetry.EventSnapshotReceived).WithField("index", index).Info("snapshot received")
}

// WriteSnapshot implements driver.SnapshotWriter.
func (h *host) WriteSnapshot(write func() driver.SavedSnapshot) {
	h.background.Go(func() {
		var saved driver.SavedSnapshot
		if background.Try(h.log, "snapshot", func() { saved = write() }) {
			saved = driver.SavedSnapshot{Abandoned: true}
		}
		logSnapshot(h.log, saved)
		h.snapshots <- saved
	})
}

func logSnapshot(log *logrus.Entry, saved driver.SavedSnapshot) {
	if saved.Err != nil || saved.Abandoned {
		return
	}
	telemetry.With(log, telemetry.EventSnapshotTaken).WithField("index", saved.Snapshot.Metadata.Index).
		WithField("bytes", len(saved.Snapshot.Data)).Info("snapshot taken")
}

// AwaitSnapshot implements driver.SnapshotWriter.
func (h *host) AwaitSnapshot() driver.SavedSnapshot { return <-h.snapshots }

// Applied implements driver.Observer.
func (h *host) Applied(entry consensus.Entry, command state.Command, result state.Result) {
	if entry.Kind == consensus.EntryMembership {
		h.membersChanged = true
	}
	if command.Directory != nil {
		h.directoryApplied(entry.Index, *command.Directory, result)
		return
	}
	if command.ConfirmPlan != nil && result.Err == nil && result.Plan != nil && result.Plan.ChangesDirectory() {
		h.feed.urgent.Raise()
		h.directoryChanged.Raise()
	}
	logResult(h.log, entry.Index, command, result)
}

// MembershipProposed implements driver.Observer.
func (h *host) MembershipProposed(change consensus.MembershipChange) {
	telemetry.With(h.log, telemetry.EventMemberChanged).WithField("member", change.Member.Name).
		WithField("replica", change.Member.ID).WithField("change", changeNames[change.Kind]).Info("membership change proposed")
}

// Refused implements driver.Observer.
func (h *host) Refused(what string, err error) { h.log.WithError(err).Debug(what) }

// stopFormerPeers stops the senders to replicas that a committed change removed.
func (h *host) stopFormerPeers() {
	if h.membersChanged {
		h.membersChanged = false
		h.peers.stopFormer(h.core.Status())
	}
}
