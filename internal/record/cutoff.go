package record

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// minReporters is the minimum number of routers disconnected from a router for it
	// to count as cut off: a report from a single router may as well mean that the
	// reporter's own links are down.
	minReporters = 2
	// cutOffDelay is how long a majority must be disconnected from a router before its
	// partitions move.
	cutOffDelay = 200 * time.Millisecond
	// cutOffDecisionWait is how long a primary that reports several routers keeps a
	// synced backup that is among them, so that reports of the others can arrive.
	cutOffDecisionWait = 500 * time.Millisecond
	// cutOffCooldown is how long a router that was cut off gets no new roles, and how
	// long a partition that moved for this reason does not move for it again.
	cutOffCooldown = 10 * time.Second
)

// cutOffMove is the last move of a partition away from a cut-off router.
type cutOffMove struct {
	// fromEpoch is the last epoch before the move.
	fromEpoch state.Epoch
	at        time.Duration
}

// noteUnreachable records which routers this router reports as unreachable, and keeps
// the start times of those that it reported before.
func (s *routerStatus) noteUnreachable(now time.Duration, unreachable []state.RouterID) {
	noted := make(map[state.RouterID]time.Duration, len(unreachable))
	for _, peer := range unreachable[:min(len(unreachable), MaxProbed)] {
		noted[peer] = now
		if since, known := s.unreachableSince[peer]; known {
			noted[peer] = since
		}
	}
	s.unreachableSince = noted
}

// anyUnreachable reports whether any router that pings reports another one as unreachable.
func (p *Placement) anyUnreachable(now time.Duration) bool {
	for _, status := range p.statuses {
		if len(status.unreachableSince) > 0 && p.pingedRecently(now, status) {
			return true
		}
	}
	return false
}

// updateCutOff decides which routers are cut off from the others. Two routers are
// disconnected if either reports the other as unreachable and the controllers have
// heard from the reported one since: a router that ended is not cut off, nor are
// those that report it. A router is cut off if it is disconnected from more than half
// of the other live routers, and from at least minReporters.
func (p *Placement) updateCutOff(now time.Duration, view *state.State) {
	voters := p.voters(now, view)
	disconnected := p.disconnectedPeers(voters)
	for _, id := range voters {
		status := p.status(id)
		others := len(voters) - 1
		if count := len(disconnected[id]); count < minReporters || 2*count <= others {
			status.cutOffSince = 0
			continue
		}
		status.lastCutOff = now
		if status.cutOffSince == 0 {
			status.cutOffSince = now
		}
	}
}

// voters returns the live routers that accept connections from other routers.
func (p *Placement) voters(now time.Duration, view *state.State) []state.RouterID {
	var voters []state.RouterID
	for _, router := range view.Routers() {
		status := p.status(router.ID)
		if router.PeerAddress != "" && !status.report.Stopped && p.isLive(now, view, router.ID, router.Session.Number) {
			voters = append(voters, router.ID)
			continue
		}
		status.cutOffSince = 0
	}
	return voters
}

// disconnectedPeers returns, for each router, the other routers from which it is disconnected.
func (p *Placement) disconnectedPeers(voters []state.RouterID) map[state.RouterID]map[state.RouterID]bool {
	disconnected := make(map[state.RouterID]map[state.RouterID]bool)
	note := func(one, other state.RouterID) {
		if disconnected[one] == nil {
			disconnected[one] = make(map[state.RouterID]bool)
		}
		disconnected[one][other] = true
	}
	for _, reporter := range voters {
		for peer, since := range p.status(reporter).unreachableSince {
			_, isVoter := slices.BinarySearch(voters, peer)
			if isVoter && peer != reporter && p.status(peer).lastPing > since {
				note(reporter, peer)
				note(peer, reporter)
			}
		}
	}
	return disconnected
}

// CutOff returns the routers that are cut off from the others, sorted by identifier.
func (p *Placement) CutOff(now time.Duration, view *state.State) []state.RouterID {
	var routers []state.RouterID
	for _, router := range view.Routers() {
		if p.isCutOff(now, router.ID) {
			routers = append(routers, router.ID)
		}
	}
	return routers
}

func (p *Placement) isCutOff(now time.Duration, id state.RouterID) bool {
	since := p.status(id).cutOffSince
	return since > 0 && now-since >= cutOffDelay
}

// inCooldown reports whether a router gets no new roles because it is or recently was cut off.
func (p *Placement) inCooldown(now time.Duration, id state.RouterID) bool {
	lastCutOff := p.status(id).lastCutOff
	return lastCutOff > 0 && now-lastCutOff < cutOffCooldown
}

// awaitsCutOffDecision reports whether the primary may turn out to be cut off, in which
// case its synced backup is not replaced yet.
func (r *placementRound) awaitsCutOffDecision(placed state.RecordPartition) bool {
	return placed.BackupSynced && !r.placement.isCutOff(r.moment.Now, placed.Primary) && r.mayBeCutOff(placed.Primary, placed.Backup)
}

// mayBeCutOff reports whether a primary that cannot reach another router may itself be the one that is
// cut off, judging by the reports so far.
func (r *placementRound) mayBeCutOff(primary, other state.RouterID) bool {
	status := r.placement.status(primary)
	since, unreachable := status.unreachableSince[other]
	recent := unreachable && r.moment.Now-since < cutOffDecisionWait && len(status.unreachableSince) >= minReporters
	return status.cutOffSince > 0 || recent
}

// shouldReplaceCutOffPrimary reports whether the successor, which holds a complete copy of the partition,
// should take over from a primary that is cut off. The successor must have pinged since the primary was cut
// off, and must not be disconnected from a majority itself.
func (r *placementRound) shouldReplaceCutOffPrimary(placed state.RecordPartition, successor state.RouterID) bool {
	now := r.moment.Now
	if !r.placement.isCutOff(now, placed.Primary) {
		return false
	}
	status := r.placement.status(successor)
	if status.cutOffSince > 0 || status.lastPing <= r.placement.status(placed.Primary).cutOffSince {
		return false
	}
	last, found := r.placement.cutOffMoves[placed.Number]
	return !found || last.fromEpoch == placed.Epoch || now-last.at >= cutOffCooldown
}

// shouldReplaceCutOffBackup reports whether a partition gets another backup because the
// current one is cut off and a router that is not cut off can take its place.
func (r *placementRound) shouldReplaceCutOffBackup(placed state.RecordPartition) bool {
	if !r.placement.isCutOff(r.moment.Now, placed.Backup) || r.placement.status(placed.Primary).cutOffSince > 0 {
		return false
	}
	best := r.bestBackup(placed.Primary)
	if best == nil || r.placement.inCooldown(r.moment.Now, best.ID) {
		return false
	}
	return r.placement.status(best.ID).lastPing > r.placement.status(placed.Backup).cutOffSince
}

// replaceCutOffPrimary promotes the successor and records the move, which limits further moves.
func (r *placementRound) replaceCutOffPrimary(placed state.RecordPartition, successor holder) state.RecordPartition {
	r.placement.cutOffMoves[placed.Number] = cutOffMove{fromEpoch: placed.Epoch, at: r.moment.Now}
	return r.promote(placed, successor)
}
