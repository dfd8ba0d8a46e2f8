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
	// cutOffHold is how long a majority must not meet a router before its
	// partitions move.
	cutOffHold = 200 * time.Millisecond
	// verdictWait is how long a primary that reports several routers keeps a whole
	// backup that it reports, for the others to be heard.
	verdictWait = 500 * time.Millisecond
	// cutOffRest is how long a router that was cut off gets no new role, and how
	// long a partition that moved for this reason does not move for it again.
	cutOffRest = 10 * time.Second
)

// moved is the last move of a partition away from a router that was cut off.
type moved struct {
	// from is the epoch that the move ended.
	from state.Epoch
	at   time.Duration
}

// misses notes since when a router reports each of the routers that it does not
// reach.
func (c *contact) misses(now time.Duration, unreachable []state.RouterID) {
	missed := make(map[state.RouterID]time.Duration, len(unreachable))
	for _, silent := range unreachable[:min(len(unreachable), MaxProbed)] {
		missed[silent] = now
		if since, known := c.missed[silent]; known {
			missed[silent] = since
		}
	}
	c.missed = missed
}

// anyMissed reports whether a router that answers does not reach another one.
func (p *Placement) anyMissed(now time.Duration) bool {
	for _, known := range p.contacts {
		if len(known.missed) > 0 && p.answers(now, known) {
			return true
		}
	}
	return false
}

// weighReports decides which routers are cut off from the others. Two routers do
// not meet when either reports the other, and the controllers heard the other
// since: one that ended is not cut off, nor are those that miss it. A router is cut off when it does not
// meet more than half of the other live routers, and at least minReporters.
func (p *Placement) weighReports(now time.Duration, view *state.State) {
	voters := p.voters(now, view)
	apart := p.apart(voters)
	for _, id := range voters {
		known := p.contact(id)
		others := len(voters) - 1
		if missed := len(apart[id]); missed < minReporters || 2*missed <= others {
			known.cutOffSince = 0
			continue
		}
		known.cutOffSeen = now
		if known.cutOffSince == 0 {
			known.cutOffSince = now
		}
	}
}

// voters returns the live routers that accept connections of others.
func (p *Placement) voters(now time.Duration, view *state.State) []state.RouterID {
	var voters []state.RouterID
	for _, router := range view.Routers() {
		known := p.contact(router.ID)
		if router.PeerAddress != "" && !known.report.Stopped && p.holds(now, view, router.ID, router.Session.Number) {
			voters = append(voters, router.ID)
			continue
		}
		known.cutOffSince = 0
	}
	return voters
}

// apart returns, for each router, those of the others that it does not meet.
func (p *Placement) apart(voters []state.RouterID) map[state.RouterID]map[state.RouterID]bool {
	apart := make(map[state.RouterID]map[state.RouterID]bool)
	note := func(one, other state.RouterID) {
		if apart[one] == nil {
			apart[one] = make(map[state.RouterID]bool)
		}
		apart[one][other] = true
	}
	for _, reporter := range voters {
		for silent, since := range p.contact(reporter).missed {
			_, votes := slices.BinarySearch(voters, silent)
			if votes && silent != reporter && p.contact(silent).pinged > since {
				note(reporter, silent)
				note(silent, reporter)
			}
		}
	}
	return apart
}

// CutOff returns the routers that are cut off from the others, by identifier.
func (p *Placement) CutOff(now time.Duration, view *state.State) []state.RouterID {
	var routers []state.RouterID
	for _, router := range view.Routers() {
		if p.cutOff(now, router.ID) {
			routers = append(routers, router.ID)
		}
	}
	return routers
}

func (p *Placement) cutOff(now time.Duration, id state.RouterID) bool {
	since := p.contact(id).cutOffSince
	return since > 0 && now-since >= cutOffHold
}

// rests reports whether a router gets no new roles, since it is or was cut off.
func (p *Placement) rests(now time.Duration, id state.RouterID) bool {
	seen := p.contact(id).cutOffSeen
	return seen > 0 && now-seen < cutOffRest
}

// awaitsVerdict reports whether the primary may be cut off, in which case its
// whole backup is not given up for another one yet.
func (l *placing) awaitsVerdict(placed state.RecordPartition) bool {
	return placed.BackupSynced && !l.placement.cutOff(l.moment.Now, placed.Primary) && l.mayBeCutOff(placed.Primary, placed.Backup)
}

// mayBeCutOff reports whether a primary that does not reach another router may be the one that is cut
// off, as far as the others were heard.
func (l *placing) mayBeCutOff(primary, other state.RouterID) bool {
	known := l.placement.contact(primary)
	since, missed := known.missed[other]
	young := missed && l.moment.Now-since < verdictWait && len(known.missed) >= minReporters
	return known.cutOffSince > 0 || young
}

// leavesCutOff reports whether the holder of a partition's whole copy is to take over
// from a primary that is cut off. It must have been heard since, and must meet the
// others itself.
func (l *placing) leavesCutOff(placed state.RecordPartition, heir state.RouterID) bool {
	now := l.moment.Now
	if !l.placement.cutOff(now, placed.Primary) {
		return false
	}
	backup := l.placement.contact(heir)
	if backup.cutOffSince > 0 || backup.pinged <= l.placement.contact(placed.Primary).cutOffSince {
		return false
	}
	last, found := l.placement.moved[placed.Number]
	return !found || last.from == placed.Epoch || now-last.at >= cutOffRest
}

// replacesCutOff reports whether a partition gets another backup, since the
// present one is cut off and a router that is not could take its place.
func (l *placing) replacesCutOff(placed state.RecordPartition) bool {
	if !l.placement.cutOff(l.moment.Now, placed.Backup) || l.placement.contact(placed.Primary).cutOffSince > 0 {
		return false
	}
	best := l.bestBackup(placed.Primary)
	if best == nil || l.placement.rests(l.moment.Now, best.ID) {
		return false
	}
	return l.placement.contact(best.ID).pinged > l.placement.contact(placed.Backup).cutOffSince
}

// promoteFromCutOff is promote with a note that bounds further moves.
func (l *placing) promoteFromCutOff(placed state.RecordPartition, heir holder) state.RecordPartition {
	l.placement.moved[placed.Number] = moved{from: placed.Epoch, at: l.moment.Now}
	return l.promote(placed, heir)
}
