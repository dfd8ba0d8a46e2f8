package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// imbalanceThreshold is the difference between two routers' numbers of primaries, or of
// backups, from which one role is moved.
const imbalanceThreshold = 2

// placementRound is one pass over all partitions.
type placementRound struct {
	placement *Placement
	moment    Moment
	routers   map[state.RouterID]state.Router
	// candidates holds the routers that may take new roles.
	candidates []state.Router
	primaries  map[state.RouterID]int
	backups    map[state.RouterID]int
	// settled is true if every backup holds every record, no backup failed recently, no router is
	// reported as unreachable, and no role was moved for balance in this round.
	settled bool
}

// place returns the new placements of the partitions that must change.
func (p *Placement) place(moment Moment, view *state.State) []state.RecordPartition {
	round := p.newRound(moment, view)
	partitions := view.Partitions()
	if len(partitions) == 0 {
		return round.placeAll(p.settings.Count)
	}
	p.dropOutdatedReports(partitions)
	// If a backup does not answer, other routers may be dead as well. If a router cannot reach another
	// one, a new backup might never receive its copy, and the old backup's copy would be gone: nobody
	// could serve the keys for as long as their primary is cut off.
	round.settled = len(p.avoidUntil) == 0 && !p.anyUnreachable(moment.Now)
	for _, placed := range partitions {
		round.settled = round.settled && placed.BackupSynced
		p.notePrimaryStart(placed)
		round.primaries[placed.Primary]++
		round.backups[placed.Backup]++
	}
	var changes []state.RecordPartition
	for _, placed := range partitions {
		if next, changed := round.nextPlacement(placed); changed {
			changes = append(changes, next)
		}
	}
	return changes
}

func (p *Placement) newRound(moment Moment, view *state.State) *placementRound {
	round := &placementRound{
		placement: p, moment: moment, routers: make(map[state.RouterID]state.Router),
		primaries: make(map[state.RouterID]int), backups: make(map[state.RouterID]int),
	}
	for _, router := range view.Routers() {
		round.routers[router.ID] = router
		if router.Session.Open && p.canTakeRoles(moment.Now, router) {
			round.candidates = append(round.candidates, router)
		}
	}
	preferred := slices.DeleteFunc(slices.Clone(round.candidates), func(router state.Router) bool {
		return p.inCooldown(moment.Now, router.ID)
	})
	if len(preferred) > 0 {
		round.candidates = preferred
	}
	return round
}

// canTakeRoles reports whether a router may take new roles. A router without a peer
// address only reads the table.
func (p *Placement) canTakeRoles(now time.Duration, router state.Router) bool {
	status := p.status(router.ID)
	return router.PeerAddress != "" && p.pingedRecently(now, status) && status.process.Session.Incarnation == router.Session.Incarnation &&
		status.closing != router.Session.Number && !status.report.Leaving && !status.report.Stopped
}

// dropOutdatedReports drops reports about earlier epochs.
func (p *Placement) dropOutdatedReports(partitions []state.RecordPartition) {
	current := make(map[PartitionEpoch]bool, len(partitions))
	for _, placed := range partitions {
		current[PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch}] = true
	}
	for _, reports := range []map[PartitionEpoch]bool{p.synced, p.failed, p.failedFormers} {
		for reported := range reports {
			if !current[reported] {
				delete(reports, reported)
			}
		}
	}
}

// placeAll places all partitions for the first time.
func (r *placementRound) placeAll(count int) []state.RecordPartition {
	if len(r.candidates) == 0 {
		return nil
	}
	if r.placement.firstUsableAt == 0 {
		r.placement.firstUsableAt = r.moment.Now
	}
	if len(r.candidates) == 1 && r.moment.Now-r.placement.firstUsableAt < initialPlacementWait {
		return nil
	}
	partitions := make([]state.RecordPartition, 0, count)
	for number := range count {
		placed := state.RecordPartition{Number: number, Epoch: 1}
		r.setPrimary(&placed)
		r.setBackup(&placed)
		partitions = append(partitions, placed)
	}
	return partitions
}

// nextPlacement returns the partition's new placement and whether it differs from the current one.
func (r *placementRound) nextPlacement(placed state.RecordPartition) (state.RecordPartition, bool) {
	if next, changed, decided := r.nextPrimary(placed); decided {
		return next, changed
	}
	key := PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch}
	backupUsable := r.sessionOpen(placed.Backup, placed.BackupSession) && !r.isLeaving(placed.Backup)
	switch {
	case r.shouldDropFormer(placed):
		placed.DropFormer()
		return placed, true
	case backupUsable && r.awaitsCutOffDecision(placed):
		return placed, false
	case placed.Backup != "" && (!backupUsable || r.placement.failed[key] || r.shouldReplaceCutOffBackup(placed)):
		return r.replaceUnusableBackup(placed), true
	case placed.Backup == "":
		next := r.replaceBackup(placed)
		return next, next.Backup != ""
	case !placed.BackupSynced && r.placement.synced[key]:
		placed.BackupSynced = true
		placed.DropFormer()
		return placed, true
	case placed.BackupSynced && r.isLeaving(placed.Primary):
		next := r.promote(placed, holder{placed.Backup, placed.BackupSession})
		if r.hasStopped(placed.Primary) {
			return next, true
		}
		return r.withFormer(next, holder{placed.Primary, placed.PrimarySession}, placed.Epoch), true
	case r.settled:
		next, changed := r.rebalance(placed)
		r.settled = !changed
		return next, changed
	default:
		return placed, false
	}
}

// nextPrimary decides about a primary whose session closed or that is cut off from the others. The result
// decided is false if neither calls for a change of the primary.
func (r *placementRound) nextPrimary(placed state.RecordPartition) (next state.RecordPartition, changed, decided bool) {
	successor, found := r.completeCopy(placed)
	switch {
	case r.sessionOpen(placed.Primary, placed.PrimarySession):
		if !found || r.cannotTakeOver(placed, successor) || !r.shouldReplaceCutOffPrimary(placed, successor.router) {
			return placed, false, false
		}
		return r.replaceCutOffPrimary(placed, successor), true, true
	case found:
		return r.takeOver(placed, successor), true, true
	default:
		next, changed = r.restartEmpty(placed)
		return next, changed, true
	}
}

// holder is a router process that holds a copy of a partition.
type holder struct {
	router  state.RouterID
	session state.SessionNumber
}

// completeCopy returns a router process other than the primary that holds every record and whose session
// is open, if there is one.
func (r *placementRound) completeCopy(placed state.RecordPartition) (holder, bool) {
	if placed.BackupSynced && r.sessionOpen(placed.Backup, placed.BackupSession) {
		return holder{placed.Backup, placed.BackupSession}, true
	}
	if placed.Former != "" && r.sessionOpen(placed.Former, placed.FormerSession) {
		return holder{placed.Former, placed.FormerSession}, true
	}
	return holder{}, false
}

// cannotTakeOver reports whether a successor must not take over from a primary that is cut off: its router
// has stopped, or is leaving and is the backup, which another router will replace. A former copy takes over
// even if its router is leaving, because no other reachable router has the records.
func (r *placementRound) cannotTakeOver(placed state.RecordPartition, successor holder) bool {
	if successor.router == placed.Former {
		return r.hasStopped(successor.router)
	}
	return r.isLeaving(successor.router)
}

// shouldDropFormer reports whether the former copy is given up: its session closed, it stopped or does not
// answer, or some router does not support former copies. The report of a primary that may itself be cut off
// does not count.
func (r *placementRound) shouldDropFormer(placed state.RecordPartition) bool {
	switch {
	case placed.Former == "":
		return false
	case !r.sessionOpen(placed.Former, placed.FormerSession), r.hasStopped(placed.Former), !r.placement.formersSupported(r.moment.Now):
		return true
	default:
		failed := r.placement.failedFormers[PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch}]
		return failed && !r.mayBeCutOff(placed.Primary, placed.Former)
	}
}

// rebalance evens out the roles among routers, one partition at a time. The copy on the router that loses
// a role is kept up to date until the new backup has every record.
func (r *placementRound) rebalance(placed state.RecordPartition) (state.RecordPartition, bool) {
	if r.primaries[placed.Primary]-r.primaries[placed.Backup] >= imbalanceThreshold && !r.placement.inCooldown(r.moment.Now, placed.Backup) {
		next := r.promote(placed, holder{placed.Backup, placed.BackupSession})
		return r.withFormer(next, holder{placed.Primary, placed.PrimarySession}, placed.Epoch), true
	}
	best := r.bestBackup(placed.Primary)
	if best == nil || best.ID == placed.Backup {
		return placed, false
	}
	zone := r.routers[placed.Primary].Zone
	improvesZone := best.Zone != zone && r.routers[placed.Backup].Zone == zone
	if improvesZone || r.backups[placed.Backup]-r.backups[best.ID] >= imbalanceThreshold {
		next := r.replaceBackup(placed)
		return r.withFormer(next, holder{placed.Backup, placed.BackupSession}, placed.Epoch), true
	}
	return placed, false
}

// withFormer keeps the copy of a router that held every record at the given epoch as the former copy, if
// all routers support former copies.
func (r *placementRound) withFormer(placed state.RecordPartition, former holder, epoch state.Epoch) state.RecordPartition {
	if r.placement.formersSupported(r.moment.Now) {
		placed.Former, placed.FormerSession, placed.FormerEpoch = former.router, former.session, epoch
	}
	return placed
}

func (r *placementRound) sessionOpen(router state.RouterID, session state.SessionNumber) bool {
	known, found := r.routers[router]
	return found && known.Session.Open && known.Session.Number == session
}

func (r *placementRound) isLeaving(router state.RouterID) bool {
	status := r.placement.status(router)
	return status.report.Leaving || status.report.Stopped
}

// hasStopped reports whether a router promised never to act as a primary again.
func (r *placementRound) hasStopped(router state.RouterID) bool {
	return r.placement.status(router).report.Stopped
}

// promote makes the successor, which holds every record, the primary.
func (r *placementRound) promote(placed state.RecordPartition, successor holder) state.RecordPartition {
	r.primaries[placed.Primary]--
	r.backups[placed.Backup]--
	next := placed
	next.Primary, next.PrimarySession = successor.router, successor.session
	next.Epoch++
	next.BackupSynced = false
	next.DropFormer()
	r.primaries[next.Primary]++
	r.setBackup(&next)
	return next
}

// takeOver makes the successor the primary in place of one whose session is closed, and
// records that earlier primaries can no longer grant claims.
func (r *placementRound) takeOver(placed state.RecordPartition, successor holder) state.RecordPartition {
	next := r.promote(placed, successor)
	r.placement.primaryStarts[placed.Number] = primaryStart{primary: next.Primary, session: next.PrimarySession}
	return next
}

// restartEmpty places the partition again after the loss of all its records.
func (r *placementRound) restartEmpty(placed state.RecordPartition) (state.RecordPartition, bool) {
	if len(r.candidates) == 0 {
		return placed, false
	}
	r.primaries[placed.Primary]--
	r.backups[placed.Backup]--
	next := state.RecordPartition{Number: placed.Number, Epoch: placed.Epoch + 1}
	next.LostBefore = r.lostBefore(placed)
	r.setPrimary(&next)
	r.setBackup(&next)
	return next, true
}

// replaceUnusableBackup replaces a backup that is gone, does not answer, is cut off or is leaving. The
// complete copy on a leaving router is kept until the new backup has every record.
func (r *placementRound) replaceUnusableBackup(placed state.RecordPartition) state.RecordPartition {
	next := r.replaceBackup(placed)
	backup := holder{placed.Backup, placed.BackupSession}
	if placed.BackupSynced && r.sessionOpen(backup.router, backup.session) && r.isLeaving(backup.router) && !r.hasStopped(backup.router) {
		return r.withFormer(next, backup, placed.Epoch)
	}
	return next
}

func (r *placementRound) replaceBackup(placed state.RecordPartition) state.RecordPartition {
	r.backups[placed.Backup]--
	next := placed
	next.Epoch++
	next.BackupSynced = false
	r.setBackup(&next)
	return next
}

func (r *placementRound) setPrimary(placed *state.RecordPartition) {
	chosen := slices.MinFunc(r.candidates, func(a, b state.Router) int {
		return cmp.Compare(r.primaries[a.ID], r.primaries[b.ID])
	})
	placed.Primary, placed.PrimarySession = chosen.ID, chosen.Session.Number
	r.primaries[chosen.ID]++
}

func (r *placementRound) setBackup(placed *state.RecordPartition) {
	placed.Backup, placed.BackupSession = "", 0
	best := r.bestBackup(placed.Primary)
	if best == nil {
		return
	}
	placed.Backup, placed.BackupSession = best.ID, best.Session.Number
	r.backups[best.ID]++
}

// bestBackup returns the candidate with the fewest backups, preferably in another zone
// than the primary. It skips routers that recently failed to answer the primary, and
// returns nil if none is left.
func (r *placementRound) bestBackup(primary state.RouterID) *state.Router {
	zone := r.routers[primary].Zone
	var best *state.Router
	for index := range r.candidates {
		candidate := &r.candidates[index]
		if candidate.ID == primary || r.recentlyFailed(primary, candidate) {
			continue
		}
		if best == nil || r.isBetterBackup(candidate, best, zone) {
			best = candidate
		}
	}
	return best
}

func (r *placementRound) recentlyFailed(primary state.RouterID, backup *state.Router) bool {
	_, failed := r.placement.avoidUntil[routerPair{primary: primary, backup: backup.ID, session: backup.Session.Number}]
	return failed
}

func (r *placementRound) isBetterBackup(candidate, best *state.Router, zone string) bool {
	if (candidate.Zone != zone) != (best.Zone != zone) {
		return candidate.Zone != zone
	}
	return r.backups[candidate.ID] < r.backups[best.ID]
}
