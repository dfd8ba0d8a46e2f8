package record

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// PlacementSettings configure Placement.
type PlacementSettings struct {
	// Count is the number of partitions of a new cluster.
	Count int
	// LeaseDuration is the length of a router's lease, from the moment at which
	// the router sent its ping.
	LeaseDuration time.Duration
	// ClockRateBound is the largest difference in speed of two clocks.
	ClockRateBound float64
	// Margin is added before a lease counts as ended.
	Margin time.Duration
}

// leaseTimeout is how long after the last grant a lease has surely ended.
func (s PlacementSettings) leaseTimeout() time.Duration {
	return time.Duration(float64(s.LeaseDuration)*(1+s.ClockRateBound)) + s.Margin
}

const (
	// initialPlacementWait is how long the first router waits for a second one before
	// the partitions are placed for the first time.
	initialPlacementWait = time.Second
	// failedBackupCooldown is how long a backup that did not answer is not chosen again by
	// the same primary.
	failedBackupCooldown = 3 * time.Second
	// reconnectWait is added for routers that a new leader has not heard yet.
	reconnectWait = time.Second
	// lastCopyWait is added before the session of a router is closed that alone
	// holds the records of a partition, as far as is known: it may come back.
	lastCopyWait = 4 * time.Second
	// pauseDivisor is the part of a lease's length from which a gap between two
	// looks counts as a pause of this controller.
	pauseDivisor = 2
)

// PartitionEpoch names a partition at one epoch.
type PartitionEpoch struct {
	Number int
	Epoch  state.Epoch
}

// Report is what a router process says with a ping.
type Report struct {
	// Synced lists partitions whose backup holds every record of this primary.
	Synced []PartitionEpoch
	// Failed lists partitions whose backup does not answer this primary.
	Failed []PartitionEpoch
	// FailedFormers lists partitions whose former copy does not answer this primary.
	FailedFormers []PartitionEpoch
	// IgnoresFormers is true for a process of a version that does not know of former copies.
	IgnoresFormers bool
	// Leaving asks to move the router's partitions.
	Leaving bool
	// Stopped promises that the process never acts as a primary again.
	Stopped bool
	// Unreachable lists routers that do not answer this one, MaxProbed at most.
	Unreachable []state.RouterID
	// Revision is that of the table that the router's partitions follow.
	Revision state.Revision
	// Incompatible says that the router's settings allow it no session.
	Incompatible bool
	// Lifetime is how long the router keeps records, zero if it does not tell.
	Lifetime time.Duration
}

// Placement decides, on the leading controller, about the routers' sessions and
// the places of the record partitions. It is not safe for concurrent use.
type Placement struct {
	settings PlacementSettings
	statuses map[state.RouterID]*routerStatus
	// leadingSince is when this controller was elected.
	leadingSince time.Duration
	// lastTick is when Tick was called last.
	lastTick time.Duration
	// firstUsableAt is when the first router could take partitions.
	firstUsableAt time.Duration
	synced        map[PartitionEpoch]bool
	failed        map[PartitionEpoch]bool
	// failedFormers are the partitions whose former copy does not answer.
	failedFormers map[PartitionEpoch]bool
	// avoidUntil holds until when a primary does not choose a backup.
	avoidUntil map[routerPair]time.Duration
	// cutOffMoves holds the moves away from routers that were cut off, by partition.
	cutOffMoves map[int]cutOffMove
	// primaryStarts holds the beginnings of the partitions' primaries.
	primaryStarts map[int]primaryStart
}

// routerPair names a primary and a backup process, so that a restarted backup
// is chosen at once.
type routerPair struct {
	primary state.RouterID
	backup  state.RouterID
	session state.SessionNumber
}

// routerStatus is what the leader knows of one router.
type routerStatus struct {
	// process is the process that pinged last.
	process  state.Router
	lastPing time.Duration
	report   Report
	// session is the last one that renewedAt belongs to.
	session state.SessionNumber
	// renewedAt is the newest moment from which a lease may count.
	renewedAt time.Duration
	// closing is the session whose end is proposed; it gets no lease again.
	closing state.SessionNumber
	// unreachableSince holds since when the router reports others as unreachable.
	unreachableSince map[state.RouterID]time.Duration
	// cutOffSince is since when most others do not meet the router, zero while
	// they do; cutOffSeen is when they did not last.
	cutOffSince time.Duration
	lastCutOff  time.Duration
	// leaseEnd is the end of the lease of the newest session, previousEnding that of
	// the one before.
	leaseEnd         leaseEnding
	previousLeaseEnd leaseEnding
}

// NewPlacement returns a Placement that does not lead yet.
func NewPlacement(settings PlacementSettings) *Placement {
	placement := &Placement{settings: settings}
	placement.Lead(0)
	return placement
}

// Lead begins a term of leadership. Leases that earlier leaders gave count as
// renewed at this moment.
func (p *Placement) Lead(now time.Duration) {
	p.statuses = make(map[state.RouterID]*routerStatus)
	p.synced = make(map[PartitionEpoch]bool)
	p.failed = make(map[PartitionEpoch]bool)
	p.failedFormers = make(map[PartitionEpoch]bool)
	p.avoidUntil = make(map[routerPair]time.Duration)
	p.cutOffMoves = make(map[int]cutOffMove)
	p.primaryStarts = make(map[int]primaryStart)
	p.leadingSince = now
	p.lastTick = now
	p.firstUsableAt = 0
}

// HandlePing takes a ping of a router process, which a quorum round followed, and
// returns the router's session and the length of the lease that its pong
// grants; both are zero when the process has no open session. The routers are
// those of the state.
func (p *Placement) HandlePing(now time.Duration, process state.Router, report Report, view *state.State) (state.SessionNumber, time.Duration) {
	status := p.status(process.ID)
	status.process = process
	status.lastPing = now
	status.report = report
	status.noteUnreachable(now, report.Unreachable)
	p.noteBackupReports(now, process.ID, report, view)
	p.noteFormerReports(process.ID, report, view)
	registered, found := view.Router(process.ID)
	session := registered.Session
	if !found || !session.Open || session.Incarnation != process.Session.Incarnation {
		return 0, 0
	}
	if session.Number == status.closing || report.Stopped {
		return session.Number, 0
	}
	status.session = session.Number
	status.renewedAt = max(status.renewedAt, now)
	status.noteRevision(session.Number, report.Revision)
	return session.Number, p.settings.LeaseDuration
}

func (p *Placement) status(id state.RouterID) *routerStatus {
	status, found := p.statuses[id]
	if !found {
		status = &routerStatus{renewedAt: p.leadingSince}
		p.statuses[id] = status
	}
	return status
}

// noteBackupReports keeps what a primary says of its backups.
func (p *Placement) noteBackupReports(now time.Duration, router state.RouterID, report Report, view *state.State) {
	for _, reported := range report.Synced {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.synced[reported] = true
		}
	}
	for _, reported := range report.Failed {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.failed[reported] = true
			pair := routerPair{primary: router, backup: placed.Backup, session: placed.BackupSession}
			p.avoidUntil[pair] = now + failedBackupCooldown
		}
	}
}

// noteFormerReports keeps what a primary says of former copies.
func (p *Placement) noteFormerReports(router state.RouterID, report Report, view *state.State) {
	for _, reported := range report.FailedFormers {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.failedFormers[reported] = true
		}
	}
}

// formersSupported reports whether all routers that answer know of former copies.
func (p *Placement) formersSupported(now time.Duration) bool {
	for _, status := range p.statuses {
		if status.report.IgnoresFormers && p.pingedRecently(now, status) {
			return false
		}
	}
	return true
}

// dropExpiredFailures drops what no longer keeps a backup from being chosen.
func (p *Placement) dropExpiredFailures(now time.Duration) {
	maps.DeleteFunc(p.avoidUntil, func(_ routerPair, until time.Duration) bool { return now >= until })
}

// Tick returns the commands that are due, given the wall clock in Unix
// milliseconds.
func (p *Placement) Tick(moment Moment, view *state.State) []state.Command {
	p.dropExpiredFailures(moment.Now)
	p.renewAfterSilence(moment.Now)
	p.updateCutOff(moment.Now, view)
	lastCopies := p.lastCopies(moment.Now, view)
	var commands []state.Command
	for _, router := range view.Routers() {
		if command, due := p.closeSession(moment.Now, router, lastCopies[router.ID]); due {
			commands = append(commands, command)
		}
	}
	p.noteLeaseEnds(moment, view)
	commands = append(commands, p.openSessions(moment.Now, view)...)
	if changes := p.place(moment, view); len(changes) > 0 {
		commands = append(commands, state.Command{PutPartitions: &state.PutPartitions{Partitions: changes}})
	}
	return commands
}

// closeSession ends the session of a router whose lease has surely ended, or
// which promised not to act any more.
func (p *Placement) closeSession(now time.Duration, router state.Router, lastCopy bool) (state.Command, bool) {
	if !router.Session.Open {
		return state.Command{}, false
	}
	status := p.status(router.ID)
	if status.session != router.Session.Number {
		status.session = router.Session.Number
		status.renewedAt = max(status.renewedAt, now)
	}
	stopped := status.report.Stopped && status.process.Session.Incarnation == router.Session.Incarnation
	if !stopped && now-status.renewedAt <= p.sessionTimeout(status, router, lastCopy) {
		return state.Command{}, false
	}
	status.closing = router.Session.Number
	return state.Command{CloseRouter: &state.CloseRouter{Router: router.ID, Session: router.Session.Number}}, true
}

// sessionTimeout is how long after its last lease a session stays open. Longer than
// until the lease has surely ended is always safe.
func (p *Placement) sessionTimeout(status *routerStatus, router state.Router, lastCopy bool) time.Duration {
	wait := p.settings.leaseTimeout()
	if status.lastPing == 0 {
		wait += reconnectWait
	}
	replaced := status.lastPing > 0 && status.process.Session.Incarnation != router.Session.Incarnation
	if lastCopy && !replaced {
		wait += lastCopyWait
	}
	return wait
}

// renewAfterSilence keeps sessions open after this controller was paused, and while
// no router is heard: then the fault is rather on this side, and no session can
// be put to better use.
func (p *Placement) renewAfterSilence(now time.Duration) {
	paused := now-p.lastTick > p.settings.LeaseDuration/pauseDivisor
	p.lastTick = now
	heard := false
	for _, status := range p.statuses {
		heard = heard || p.pingedRecently(now, status)
	}
	if heard && !paused {
		return
	}
	for _, status := range p.statuses {
		status.renewedAt = max(status.renewedAt, now)
	}
}

// lastCopies returns the routers that hold the records of a partition of which
// no other router that answers holds them all.
func (p *Placement) lastCopies(now time.Duration, view *state.State) map[state.RouterID]bool {
	last := make(map[state.RouterID]bool)
	for _, placed := range view.Partitions() {
		primaryLive := p.isLive(now, view, placed.Primary, placed.PrimarySession)
		backupLive := placed.BackupSynced && p.isLive(now, view, placed.Backup, placed.BackupSession)
		formerLive := placed.Former != "" && p.isLive(now, view, placed.Former, placed.FormerSession)
		if !backupLive && !formerLive {
			last[placed.Primary] = true
		}
		if !primaryLive && placed.BackupSynced {
			last[placed.Backup] = true
		}
		if !primaryLive && placed.Former != "" {
			last[placed.Former] = true
		}
	}
	return last
}

// isLive reports whether the process of a session answers.
func (p *Placement) isLive(now time.Duration, view *state.State, id state.RouterID, session state.SessionNumber) bool {
	registered, found := view.Router(id)
	if !found || !registered.Session.Open || registered.Session.Number != session {
		return false
	}
	status := p.status(id)
	return p.pingedRecently(now, status) && status.process.Session.Incarnation == registered.Session.Incarnation
}

func (p *Placement) openSessions(now time.Duration, view *state.State) []state.Command {
	var commands []state.Command
	inUse := p.openLifetimes(view.Routers())
	var lifetime time.Duration
	for _, id := range slices.Sorted(maps.Keys(p.statuses)) {
		status := p.statuses[id]
		if status.process.ID == "" || !status.eligibleForSession() || !p.pingedRecently(now, status) {
			continue
		}
		registered, found := view.Router(id)
		if found && registered.Session.Open {
			continue
		}
		if !inUse.compatible(status.report.Lifetime) || (len(commands) > 0 && status.report.Lifetime != lifetime) {
			continue
		}
		lifetime = status.report.Lifetime
		commands = append(commands, state.Command{PutRouter: &state.PutRouter{Router: status.process}})
	}
	return commands
}

// pingedRecently reports whether the router's process pinged lately.
func (p *Placement) pingedRecently(now time.Duration, status *routerStatus) bool {
	return status.lastPing > 0 && now-status.lastPing < p.settings.LeaseDuration
}
