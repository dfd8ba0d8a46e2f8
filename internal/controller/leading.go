package controller

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// StartedLeading implements driver.Observer.
func (h *host) StartedLeading(status consensus.Status) {
	h.leadershipLock.Lock()
	h.leadership, h.endLeadership = context.WithCancel(context.Background())
	h.leadingStartedAt = h.clock.Now()
	h.leadershipLock.Unlock()
	telemetry.With(h.log, telemetry.EventLeaderElected).WithField("term", status.Term).Info("leadership acquired")
}

// StoppedLeading implements driver.Observer.
func (h *host) StoppedLeading() {
	h.fullTable.drop()
	h.leadershipLock.Lock()
	h.endLeadership()
	h.leadershipLock.Unlock()
	telemetry.With(h.log, telemetry.EventLeaderLost).Warn("leadership lost")
}

// leadershipContext returns a context that is cancelled when this replica stops leading, or false if it does
// not lead.
func (r *replica) leadershipContext() (context.Context, bool) {
	if !r.published.Load().leading {
		return nil, false
	}
	r.leadershipLock.Lock()
	defer r.leadershipLock.Unlock()
	return r.leadership, r.leadership != nil && r.leadership.Err() == nil
}

// leadingSince returns when this replica began to lead, by its clock.
func (r *replica) leadingSince() time.Duration {
	r.leadershipLock.Lock()
	defer r.leadershipLock.Unlock()
	return r.leadingStartedAt
}

// leader returns the current leader as far as this replica knows. It does not name itself while its own loop
// is stalled.
func (r *replica) leader() (consensus.Member, bool) {
	status := r.published.Load().status
	if status.Leader == r.self.ID && r.watchdog.stallContext().Err() != nil {
		return consensus.Member{}, false
	}
	return memberByID(status.Membership, status.Leader)
}

// reachable finds a member that the core may send messages to: a member of the current membership, or of the
// applied one if its removal is not committed yet.
func reachable(status consensus.Status, id consensus.ReplicaID) (consensus.Member, bool) {
	if member, found := memberByID(status.Membership, id); found {
		return member, true
	}
	return memberByID(status.AppliedMembership, id)
}

func memberByID(membership consensus.Membership, id consensus.ReplicaID) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// transferLeadership asks the active voter with the longest replicated log to take over.
func (r *replica) transferLeadership() error {
	status := r.core.Status()
	var best consensus.Progress
	for _, progress := range status.Progress {
		if progress.ID == r.self.ID || progress.Learner || !progress.RecentActive {
			continue
		}
		if best.ID == 0 || progress.Match > best.Match {
			best = progress
		}
	}
	if best.ID == 0 {
		return errNoSuccessor
	}
	return r.core.TransferLeadership(best.ID)
}
