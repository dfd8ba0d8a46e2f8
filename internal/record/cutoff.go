package record

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// minReporters is how many routers must not meet a router for it to count as
	// cut off: the word of one says as much about its own links.
	minReporters = 2
	// cutOffDelay is how long a majority must not meet a router before its
	// partitions move.
	cutOffDelay = 200 * time.Millisecond
	// cutOffDecisionWait is how long a primary that reports several routers keeps a whole
	// backup that it reports, for the others to be heard.
	cutOffDecisionWait = 500 * time.Millisecond
	// cutOffCooldown is how long a router that was cut off gets no new role, and how
	// long a partition that moved for this reason does not move for it again.
	cutOffCooldown = 10 * time.Second
)

// cutOffMove is the last move of a partition away from a router that was cut off.
type cutOffMove struct {
	// fromEpoch is the epoch that the move ended.
	fromEpoch state.Epoch
	at        time.Duration
}

// noteUnreachable notes since when a router reports each of the routers that it does not
// reach.
func (c *routerStatus) noteUnreachable(now time.Duration, unreachable []state.RouterID) {
	noted := make(map[state.RouterID]time.Duration, len(unreachable))
	for _, peer := range unreachable[:min(len(unreachable), MaxProbed)] {
		noted[peer] = now
		if since, known := c.unreachableSince[peer]; known {
			noted[peer] = since
		}
	}
	c.unreachableSince = noted
}

// anyUnreachable reports whether a router that answers does not reach another one.
func (p *Placement) anyUnreachable(now time.Duration) bool {
	for _, status := range p.statuses {
		if len(status.unreachableSince) > 0 && p.pingedRecently(now, status) {
			return true
		}
	}
	return false
}

// updateCutOff decides which routers are cut off from the others. Two routers do
// not meet when either reports the other, and the controllers heard the other
// since: one that ended is not cut off, nor are those that miss it. A router is cut off when it does not
// meet more than half of the other live routers, and at least minReporters.
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

// voters returns the live routers that accept connections of others.
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

// disconnectedPeers returns, for each router, those of the others that it does not meet.
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

// CutOff returns the routers that are cut off from the others, by identifier.
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

// inCooldown reports whether a router gets no new roles, since it is or was cut off.
func (p *Placement) inCooldown(now time.Duration, id state.RouterID) bool {
	last := p.status(id).lastCutOff
	return last > 0 && now-last < cutOffCooldown
}

// awaitsCutOffDecision reports whether the primary may be cut off, in which case its
// whole backup is not given up for another one yet.
func (r *placementRound) awaitsCutOffDecision(placed state.RecordPartition) bool {
	return placed.BackupSynced && !r.placement.isCutOff(r.moment.Now, placed.Primary) && r.mayBeCutOff(placed.Primary, placed.Backup)
}

// mayBeCutOff reports whether a primary that does not reach another router may be the one that is cut
// off, as far as the others were heard.
func (r *placementRound) mayBeCutOff(primary, other state.RouterID) bool {
	status := r.placement.status(primary)
	since, unreachable := status.unreachableSince[other]
	recent := unreachable && r.moment.Now-since < cutOffDecisionWait && len(status.unreachableSince) >= minReporters
	return status.cutOffSince > 0 || recent
}

// shouldReplaceCutOffPrimary reports whether the holder of a partition's whole copy is to take over
// from a primary that is cut off. It must have been heard since, and must meet the
// others itself.
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

// shouldReplaceCutOffBackup reports whether a partition gets another backup, since the
// present one is cut off and a router that is not could take its place.
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

// replaceCutOffPrimary is promote with a note that bounds further moves.
func (r *placementRound) replaceCutOffPrimary(placed state.RecordPartition, successor holder) state.RecordPartition {
	r.placement.cutOffMoves[placed.Number] = cutOffMove{fromEpoch: placed.Epoch, at: r.moment.Now}
	return r.promote(placed, successor)
}
