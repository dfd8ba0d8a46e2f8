package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// uneven is the difference in the numbers of primaries, or of backups, of two
// routers from which one is moved.
const uneven = 2

// placing is one look at all partitions.
type placing struct {
	placement *Placement
	moment    Moment
	routers   map[state.RouterID]state.Router
	// candidates may take new roles.
	candidates []state.Router
	primaries  map[state.RouterID]int
	backups    map[state.RouterID]int
	// settled is true while every backup holds every record and none failed lately.
	settled bool
}

// place returns the partitions that must change.
func (p *Placement) place(moment Moment, view *state.State) []state.RecordPartition {
	look := p.look(moment, view)
	partitions := view.Partitions()
	if len(partitions) == 0 {
		return look.found(p.settings.Count)
	}
	p.forget(partitions)
	// While a backup does not answer, others may be dead as well. While a router does not reach
	// another one, a new backup might never get its copy, and the old one's would be gone: the keys
	// would be served by nobody for as long as their primary is cut off.
	look.settled = len(p.unreachable) == 0 && !p.anyMissed(moment.Now)
	for _, placed := range partitions {
		look.settled = look.settled && placed.BackupSynced
		p.noteBegun(placed)
		look.primaries[placed.Primary]++
		look.backups[placed.Backup]++
	}
	var changes []state.RecordPartition
	for _, placed := range partitions {
		if next, changed := look.next(placed); changed {
			changes = append(changes, next)
		}
	}
	return changes
}

func (p *Placement) look(moment Moment, view *state.State) *placing {
	look := &placing{
		placement: p, moment: moment, routers: make(map[state.RouterID]state.Router),
		primaries: make(map[state.RouterID]int), backups: make(map[state.RouterID]int),
	}
	for _, router := range view.Routers() {
		look.routers[router.ID] = router
		if router.Session.Open && p.usable(moment.Now, router) {
			look.candidates = append(look.candidates, router)
		}
	}
	rested := slices.DeleteFunc(slices.Clone(look.candidates), func(router state.Router) bool {
		return p.rests(moment.Now, router.ID)
	})
	if len(rested) > 0 {
		look.candidates = rested
	}
	return look
}

// usable reports whether a router may take new roles. One without an address for
// other routers only reads the table.
func (p *Placement) usable(now time.Duration, router state.Router) bool {
	known := p.contact(router.ID)
	return router.PeerAddress != "" && p.answers(now, known) && known.wanted.Session.Incarnation == router.Session.Incarnation &&
		known.closing != router.Session.Number && !known.report.Leaving && !known.report.Stopped
}

// forget drops reports about epochs that are over.
func (p *Placement) forget(partitions []state.RecordPartition) {
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

// found places all partitions for the first time.
func (l *placing) found(count int) []state.RecordPartition {
	if len(l.candidates) == 0 {
		return nil
	}
	if l.placement.firstUsable == 0 {
		l.placement.firstUsable = l.moment.Now
	}
	if len(l.candidates) == 1 && l.moment.Now-l.placement.firstUsable < foundingWait {
		return nil
	}
	partitions := make([]state.RecordPartition, 0, count)
	for number := range count {
		placed := state.RecordPartition{Number: number, Epoch: 1}
		l.setPrimary(&placed)
		l.setBackup(&placed)
		partitions = append(partitions, placed)
	}
	return partitions
}

// next returns the partition as it should be, and whether that differs.
func (l *placing) next(placed state.RecordPartition) (state.RecordPartition, bool) {
	if next, changed, decided := l.nextPrimary(placed); decided {
		return next, changed
	}
	at := PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch}
	backupUsable := l.open(placed.Backup, placed.BackupSession) && !l.leaves(placed.Backup)
	switch {
	case l.dropsFormer(placed):
		placed.DropFormer()
		return placed, true
	case backupUsable && l.awaitsVerdict(placed):
		return placed, false
	case placed.Backup != "" && (!backupUsable || l.placement.failed[at] || l.replacesCutOff(placed)):
		return l.replaceUnusable(placed), true
	case placed.Backup == "":
		next := l.replaceBackup(placed)
		return next, next.Backup != ""
	case !placed.BackupSynced && l.placement.synced[at]:
		placed.BackupSynced = true
		placed.DropFormer()
		return placed, true
	case placed.BackupSynced && l.leaves(placed.Primary):
		next := l.promote(placed, holder{placed.Backup, placed.BackupSession})
		if l.stopped(placed.Primary) {
			return next, true
		}
		return l.withFormer(next, holder{placed.Primary, placed.PrimarySession}, placed.Epoch), true
	case l.settled:
		next, changed := l.rebalance(placed)
		l.settled = !changed
		return next, changed
	default:
		return placed, false
	}
}

// nextPrimary decides about a primary that ended or is cut off from the others. It reports false for
// one that stays as far as that goes.
func (l *placing) nextPrimary(placed state.RecordPartition) (next state.RecordPartition, changed, decided bool) {
	heir, whole := l.wholeCopy(placed)
	switch {
	case l.open(placed.Primary, placed.PrimarySession):
		if !whole || l.refuses(placed, heir) || !l.leavesCutOff(placed, heir.router) {
			return placed, false, false
		}
		return l.promoteFromCutOff(placed, heir), true, true
	case whole:
		return l.takeOver(placed, heir), true, true
	default:
		next, changed = l.restart(placed)
		return next, changed, true
	}
}

// holder is one process of a router.
type holder struct {
	router  state.RouterID
	session state.SessionNumber
}

// wholeCopy returns the holder of every record beside the primary, if there is one that may still run.
func (l *placing) wholeCopy(placed state.RecordPartition) (holder, bool) {
	if placed.BackupSynced && l.open(placed.Backup, placed.BackupSession) {
		return holder{placed.Backup, placed.BackupSession}, true
	}
	if placed.Former != "" && l.open(placed.Former, placed.FormerSession) {
		return holder{placed.Former, placed.FormerSession}, true
	}
	return holder{}, false
}

// refuses reports whether an heir does not take over from a primary that is cut off: its router has
// stopped, or leaves and is the backup, in whose place another one comes. A former copy takes over though
// its router leaves, since nobody else in reach has the records.
func (l *placing) refuses(placed state.RecordPartition, heir holder) bool {
	if heir.router == placed.Former {
		return l.stopped(heir.router)
	}
	return l.leaves(heir.router)
}

// dropsFormer reports whether the former copy is given up: its router stopped or does not answer. A
// primary that may be cut off itself does not decide that.
func (l *placing) dropsFormer(placed state.RecordPartition) bool {
	switch {
	case placed.Former == "":
		return false
	case !l.open(placed.Former, placed.FormerSession), l.stopped(placed.Former), !l.placement.keepsFormers(l.moment.Now):
		return true
	default:
		failed := l.placement.failedFormers[PartitionEpoch{Number: placed.Number, Epoch: placed.Epoch}]
		return failed && !l.mayBeCutOff(placed.Primary, placed.Former)
	}
}

// rebalance evens out the roles that routers have, one partition at a time. The copy of the router that
// loses a role is kept up to date until the new backup has every record.
func (l *placing) rebalance(placed state.RecordPartition) (state.RecordPartition, bool) {
	if l.primaries[placed.Primary]-l.primaries[placed.Backup] >= uneven && !l.placement.rests(l.moment.Now, placed.Backup) {
		next := l.promote(placed, holder{placed.Backup, placed.BackupSession})
		return l.withFormer(next, holder{placed.Primary, placed.PrimarySession}, placed.Epoch), true
	}
	best := l.bestBackup(placed.Primary)
	if best == nil || best.ID == placed.Backup {
		return placed, false
	}
	zone := l.routers[placed.Primary].Zone
	apart := best.Zone != zone && l.routers[placed.Backup].Zone == zone
	if apart || l.backups[placed.Backup]-l.backups[best.ID] >= uneven {
		next := l.replaceBackup(placed)
		return l.withFormer(next, holder{placed.Backup, placed.BackupSession}, placed.Epoch), true
	}
	return placed, false
}

// withFormer keeps the copy of a router that held every record at an epoch.
func (l *placing) withFormer(placed state.RecordPartition, former holder, epoch state.Epoch) state.RecordPartition {
	if l.placement.keepsFormers(l.moment.Now) {
		placed.Former, placed.FormerSession, placed.FormerEpoch = former.router, former.session, epoch
	}
	return placed
}

func (l *placing) open(router state.RouterID, session state.SessionNumber) bool {
	known, found := l.routers[router]
	return found && known.Session.Open && known.Session.Number == session
}

func (l *placing) leaves(router state.RouterID) bool {
	known := l.placement.contact(router)
	return known.report.Leaving || known.report.Stopped
}

// stopped reports whether a router promised that it never acts as a primary again.
func (l *placing) stopped(router state.RouterID) bool {
	return l.placement.contact(router).report.Stopped
}

// promote makes the heir, which holds every record, the primary.
func (l *placing) promote(placed state.RecordPartition, heir holder) state.RecordPartition {
	l.primaries[placed.Primary]--
	l.backups[placed.Backup]--
	next := placed
	next.Primary, next.PrimarySession = heir.router, heir.session
	next.Epoch++
	next.BackupSynced = false
	next.DropFormer()
	l.primaries[next.Primary]++
	l.setBackup(&next)
	return next
}

// takeOver makes the heir the primary in place of one whose session is closed, and
// notes that earlier primaries grant nothing any more.
func (l *placing) takeOver(placed state.RecordPartition, heir holder) state.RecordPartition {
	next := l.promote(placed, heir)
	l.placement.begun[placed.Number] = begun{primary: next.Primary, session: next.PrimarySession}
	return next
}

// restart begins the partition anew after the loss of all its records.
func (l *placing) restart(placed state.RecordPartition) (state.RecordPartition, bool) {
	if len(l.candidates) == 0 {
		return placed, false
	}
	l.primaries[placed.Primary]--
	l.backups[placed.Backup]--
	next := state.RecordPartition{Number: placed.Number, Epoch: placed.Epoch + 1}
	next.LostBefore = l.lostBefore(placed)
	l.setPrimary(&next)
	l.setBackup(&next)
	return next, true
}

// replaceUnusable replaces a backup that is gone, does not answer, is cut off or leaves. The whole copy of
// one that leaves is kept until the new backup has every record.
func (l *placing) replaceUnusable(placed state.RecordPartition) state.RecordPartition {
	next := l.replaceBackup(placed)
	backup := holder{placed.Backup, placed.BackupSession}
	if placed.BackupSynced && l.open(backup.router, backup.session) && l.leaves(backup.router) && !l.stopped(backup.router) {
		return l.withFormer(next, backup, placed.Epoch)
	}
	return next
}

func (l *placing) replaceBackup(placed state.RecordPartition) state.RecordPartition {
	l.backups[placed.Backup]--
	next := placed
	next.Epoch++
	next.BackupSynced = false
	l.setBackup(&next)
	return next
}

func (l *placing) setPrimary(placed *state.RecordPartition) {
	chosen := slices.MinFunc(l.candidates, func(a, b state.Router) int {
		return cmp.Compare(l.primaries[a.ID], l.primaries[b.ID])
	})
	placed.Primary, placed.PrimarySession = chosen.ID, chosen.Session.Number
	l.primaries[chosen.ID]++
}

func (l *placing) setBackup(placed *state.RecordPartition) {
	placed.Backup, placed.BackupSession = "", 0
	best := l.bestBackup(placed.Primary)
	if best == nil {
		return
	}
	placed.Backup, placed.BackupSession = best.ID, best.Session.Number
	l.backups[best.ID]++
}

// bestBackup chooses a router that answers the primary, in another zone if there
// is one, with the fewest backups. Without such a router it returns nil.
func (l *placing) bestBackup(primary state.RouterID) *state.Router {
	zone := l.routers[primary].Zone
	var best *state.Router
	for index := range l.candidates {
		candidate := &l.candidates[index]
		if candidate.ID == primary || l.avoids(primary, candidate) {
			continue
		}
		if best == nil || l.better(candidate, best, zone) {
			best = candidate
		}
	}
	return best
}

func (l *placing) avoids(primary state.RouterID, backup *state.Router) bool {
	_, failed := l.placement.unreachable[routerPair{primary: primary, backup: backup.ID, session: backup.Session.Number}]
	return failed
}

func (l *placing) better(candidate, best *state.Router, zone string) bool {
	if (candidate.Zone != zone) != (best.Zone != zone) {
		return candidate.Zone != zone
	}
	return l.backups[candidate.ID] < l.backups[best.ID]
}
