package record

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// PlacementSettings are the settings of a Placement.
type PlacementSettings struct {
	// Count is the number of partitions of a new cluster.
	Count int
	// LeaseDuration is the length of a router's lease, counted from the time at which
	// the router sent its ping.
	LeaseDuration time.Duration
	// ClockRateBound is the maximum relative difference in rate of two clocks.
	ClockRateBound float64
	// Margin is an extra wait before a lease counts as expired.
	Margin time.Duration
}

// leaseTimeout returns how long after its last renewal a lease has certainly expired.
func (s PlacementSettings) leaseTimeout() time.Duration {
	return time.Duration(float64(s.LeaseDuration)*(1+s.ClockRateBound)) + s.Margin
}

const (
	// initialPlacementWait is how long the first router waits for a second one before
	// the partitions are placed for the first time.
	initialPlacementWait = time.Second
	// failedBackupCooldown is how long the same primary does not choose a backup again
	// that did not answer.
	failedBackupCooldown = 3 * time.Second
	// reconnectWait is added for routers that have not pinged a new leader yet.
	reconnectWait = time.Second
	// lastCopyWait is added before closing the session of a router that holds the only
	// known copy of a partition's records, because the router may come back.
	lastCopyWait = 4 * time.Second
	// pauseDivisor sets the gap between two ticks that counts as a pause of this
	// controller: the lease duration divided by it.
	pauseDivisor = 2
)

// PartitionEpoch identifies a partition at one epoch.
type PartitionEpoch struct {
	Number int
	Epoch  state.Epoch
}

// Report is the status that a router process sends with a ping.
type Report struct {
	// Synced lists partitions of this primary whose backup holds every record.
	Synced []PartitionEpoch
	// Failed lists partitions of this primary whose backup does not answer.
	Failed []PartitionEpoch
	// FailedFormers lists partitions of this primary whose former copy does not answer.
	FailedFormers []PartitionEpoch
	// IgnoresFormers is true if the process's version does not support former copies.
	IgnoresFormers bool
	// Leaving requests that the router's partitions be moved away.
	Leaving bool
	// Stopped guarantees that the process never acts as a primary again.
	Stopped bool
	// Unreachable lists routers that do not answer this one; only the first MaxProbed count.
	Unreachable []state.RouterID
	// Revision is the revision of the routing table that the router's partitions follow.
	Revision state.Revision
	// Incompatible is true if the router's settings rule out a session.
	Incompatible bool
	// Lifetime is how long the router keeps records, zero if it does not report it.
	Lifetime time.Duration
}

// Placement runs on the leading controller and decides on the routers' sessions and
// on which routers hold the record partitions. It is not safe for concurrent use.
type Placement struct {
	settings PlacementSettings
	statuses map[state.RouterID]*routerStatus
	// leadingSince is when this controller became the leader.
	leadingSince time.Duration
	// lastTick is the time of the last call of Tick.
	lastTick time.Duration
	// firstUsableAt is when the first router became able to take partitions.
	firstUsableAt time.Duration
	synced        map[PartitionEpoch]bool
	failed        map[PartitionEpoch]bool
	// failedFormers holds the partitions whose former copy does not answer.
	failedFormers map[PartitionEpoch]bool
	// avoidUntil holds the time until which a primary does not choose a failed backup again.
	avoidUntil map[routerPair]time.Duration
	// cutOffMoves holds the last move of each partition away from a cut-off router.
	cutOffMoves map[int]cutOffMove
	// primaryStarts holds, by partition, when its primary took over.
	primaryStarts map[int]primaryStart
}

// routerPair identifies a primary and a backup process. The session is part of it so
// that a restarted backup can be chosen at once.
type routerPair struct {
	primary state.RouterID
	backup  state.RouterID
	session state.SessionNumber
}

// routerStatus is what the leader knows about one router.
type routerStatus struct {
	// process is the process that pinged last.
	process  state.Router
	lastPing time.Duration
	report   Report
	// session is the session to which renewedAt belongs.
	session state.SessionNumber
	// renewedAt is the latest time from which a lease may count.
	renewedAt time.Duration
	// closing is the session whose end was proposed; it gets no further lease.
	closing state.SessionNumber
	// unreachableSince holds since when this router reports others as unreachable.
	unreachableSince map[state.RouterID]time.Duration
	// cutOffSince is since when the router is disconnected from most others, zero while
	// it is not; lastCutOff is when it last was.
	cutOffSince time.Duration
	lastCutOff  time.Duration
	// leaseEnd is the end of the lease of the newest session, previousLeaseEnd that of
	// the session before.
	leaseEnd         leaseEnding
	previousLeaseEnd leaseEnding
}

// NewPlacement returns a Placement for a controller that does not lead yet.
func NewPlacement(settings PlacementSettings) *Placement {
	placement := &Placement{settings: settings}
	placement.Lead(0)
	return placement
}

// Lead begins a term of leadership. Leases granted by earlier leaders count as renewed
// at this time.
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

// HandlePing processes a ping of a router process and returns the router's session and
// the length of the lease that the pong grants; both are zero if the process has no
// open session. The caller must have completed a quorum round after receiving the
// ping. The routers are those of the state.
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

// noteBackupReports records what a primary reports about its backups.
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

// noteFormerReports records what a primary reports about former copies.
func (p *Placement) noteFormerReports(router state.RouterID, report Report, view *state.State) {
	for _, reported := range report.FailedFormers {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.failedFormers[reported] = true
		}
	}
}

// formersSupported reports whether all routers that ping support former copies.
func (p *Placement) formersSupported(now time.Duration) bool {
	for _, status := range p.statuses {
		if status.report.IgnoresFormers && p.pingedRecently(now, status) {
			return false
		}
	}
	return true
}

// dropExpiredFailures drops failures after which a backup may be chosen again.
func (p *Placement) dropExpiredFailures(now time.Duration) {
	maps.DeleteFunc(p.avoidUntil, func(_ routerPair, until time.Duration) bool { return now >= until })
}

// Tick returns the commands that are due, given a reading of both clocks.
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

// closeSession closes the session of a router whose lease has certainly ended or that
// promised never to act as a primary again.
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

// sessionTimeout returns how long a session stays open after its last renewal. Keeping a
// session open for longer than leaseTimeout is always safe.
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

// renewAfterSilence keeps sessions open after a pause of this controller, and while no
// router pings: the fault is then more likely on this side, and no other router could
// take over the roles of a closed session.
func (p *Placement) renewAfterSilence(now time.Duration) {
	paused := now-p.lastTick > p.settings.LeaseDuration/pauseDivisor
	p.lastTick = now
	anyPing := false
	for _, status := range p.statuses {
		anyPing = anyPing || p.pingedRecently(now, status)
	}
	if anyPing && !paused {
		return
	}
	for _, status := range p.statuses {
		status.renewedAt = max(status.renewedAt, now)
	}
}

// lastCopies returns the routers that hold all records of a partition while no other
// live router does.
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

// isLive reports whether the router process with the given session pings.
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

// pingedRecently reports whether the router pinged within the last lease duration.
func (p *Placement) pingedRecently(now time.Duration, status *routerStatus) bool {
	return status.lastPing > 0 && now-status.lastPing < p.settings.LeaseDuration
}
