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

// surelyEnded is how long after the last grant a lease has surely ended.
func (s PlacementSettings) surelyEnded() time.Duration {
	return time.Duration(float64(s.LeaseDuration)*(1+s.ClockRateBound)) + s.Margin
}

const (
	// foundingWait is how long the first router waits for a second one before
	// the partitions are placed for the first time.
	foundingWait = time.Second
	// failedWait is how long a backup that did not answer is not chosen again by
	// the same primary.
	failedWait = 3 * time.Second
	// reconnectWait is added for routers that a new leader has not heard yet.
	reconnectWait = time.Second
	// lastCopyWait is added before the session of a router is closed that alone
	// holds the records of a partition, as far as is known: it may come back.
	lastCopyWait = 4 * time.Second
	// pauseShare is the part of a lease's length from which a gap between two
	// looks counts as a pause of this controller.
	pauseShare = 2
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
	contacts map[state.RouterID]*contact
	// leadingSince is when this controller was elected.
	leadingSince time.Duration
	// lastLook is when Tick was called last.
	lastLook time.Duration
	// firstUsable is when the first router could take partitions.
	firstUsable time.Duration
	synced      map[PartitionEpoch]bool
	failed      map[PartitionEpoch]bool
	// failedFormers are the partitions whose former copy does not answer.
	failedFormers map[PartitionEpoch]bool
	// unreachable holds until when a primary does not choose a backup.
	unreachable map[routerPair]time.Duration
	// moved holds the moves away from routers that were cut off, by partition.
	moved map[int]moved
	// begun holds the beginnings of the partitions' primaries.
	begun map[int]begun
}

// routerPair names a primary and a backup process, so that a restarted backup
// is chosen at once.
type routerPair struct {
	primary state.RouterID
	backup  state.RouterID
	session state.SessionNumber
}

// contact is what the leader knows of one router.
type contact struct {
	// wanted is the process that pinged last.
	wanted state.Router
	pinged time.Duration
	report Report
	// session is the last one that renewedAt belongs to.
	session state.SessionNumber
	// renewedAt is the newest moment from which a lease may count.
	renewedAt time.Duration
	// closing is the session whose end is proposed; it gets no lease again.
	closing state.SessionNumber
	// missed holds since when the router reports others as unreachable.
	missed map[state.RouterID]time.Duration
	// cutOffSince is since when most others do not meet the router, zero while
	// they do; cutOffSeen is when they did not last.
	cutOffSince time.Duration
	cutOffSeen  time.Duration
	// ending is the end of the lease of the newest session, previousEnding that of
	// the one before.
	ending         ending
	previousEnding ending
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
	p.contacts = make(map[state.RouterID]*contact)
	p.synced = make(map[PartitionEpoch]bool)
	p.failed = make(map[PartitionEpoch]bool)
	p.failedFormers = make(map[PartitionEpoch]bool)
	p.unreachable = make(map[routerPair]time.Duration)
	p.moved = make(map[int]moved)
	p.begun = make(map[int]begun)
	p.leadingSince = now
	p.lastLook = now
	p.firstUsable = 0
}

// HandlePing takes a ping of a router process, which a quorum round followed, and
// returns the router's session and the length of the lease that its pong
// grants; both are zero when the process has no open session. The routers are
// those of the state.
func (p *Placement) HandlePing(now time.Duration, process state.Router, report Report, view *state.State) (state.SessionNumber, time.Duration) {
	known := p.contact(process.ID)
	known.wanted = process
	known.pinged = now
	known.report = report
	known.misses(now, report.Unreachable)
	p.learn(now, process.ID, report, view)
	p.learnFormers(process.ID, report, view)
	registered, found := view.Router(process.ID)
	session := registered.Session
	if !found || !session.Open || session.Incarnation != process.Session.Incarnation {
		return 0, 0
	}
	if session.Number == known.closing || report.Stopped {
		return session.Number, 0
	}
	known.session = session.Number
	known.renewedAt = max(known.renewedAt, now)
	known.follows(session.Number, report.Revision)
	return session.Number, p.settings.LeaseDuration
}

func (p *Placement) contact(id state.RouterID) *contact {
	known, found := p.contacts[id]
	if !found {
		known = &contact{renewedAt: p.leadingSince}
		p.contacts[id] = known
	}
	return known
}

// learn keeps what a primary says of its backups.
func (p *Placement) learn(now time.Duration, router state.RouterID, report Report, view *state.State) {
	for _, reported := range report.Synced {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.synced[reported] = true
		}
	}
	for _, reported := range report.Failed {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.failed[reported] = true
			pair := routerPair{primary: router, backup: placed.Backup, session: placed.BackupSession}
			p.unreachable[pair] = now + failedWait
		}
	}
}

// learnFormers keeps what a primary says of former copies.
func (p *Placement) learnFormers(router state.RouterID, report Report, view *state.State) {
	for _, reported := range report.FailedFormers {
		if placed, found := view.Partition(reported.Number); found && placed.Primary == router && placed.Epoch == reported.Epoch {
			p.failedFormers[reported] = true
		}
	}
}

// keepsFormers reports whether all routers that answer know of former copies.
func (p *Placement) keepsFormers(now time.Duration) bool {
	for _, known := range p.contacts {
		if known.report.IgnoresFormers && p.answers(now, known) {
			return false
		}
	}
	return true
}

// forgetFailures drops what no longer keeps a backup from being chosen.
func (p *Placement) forgetFailures(now time.Duration) {
	maps.DeleteFunc(p.unreachable, func(_ routerPair, until time.Duration) bool { return now >= until })
}

// Tick returns the commands that are due, given the wall clock in Unix
// milliseconds.
func (p *Placement) Tick(moment Moment, view *state.State) []state.Command {
	p.forgetFailures(moment.Now)
	p.noticeSilence(moment.Now)
	p.weighReports(moment.Now, view)
	lastCopies := p.lastCopies(moment.Now, view)
	var commands []state.Command
	for _, router := range view.Routers() {
		if command, due := p.closeSession(moment.Now, router, lastCopies[router.ID]); due {
			commands = append(commands, command)
		}
	}
	p.noteEndings(moment, view)
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
	known := p.contact(router.ID)
	if known.session != router.Session.Number {
		known.session = router.Session.Number
		known.renewedAt = max(known.renewedAt, now)
	}
	stopped := known.report.Stopped && known.wanted.Session.Incarnation == router.Session.Incarnation
	if !stopped && now-known.renewedAt <= p.patience(known, router, lastCopy) {
		return state.Command{}, false
	}
	known.closing = router.Session.Number
	return state.Command{CloseRouter: &state.CloseRouter{Router: router.ID, Session: router.Session.Number}}, true
}

// patience is how long after its last lease a session stays open. Longer than
// until the lease has surely ended is always safe.
func (p *Placement) patience(known *contact, router state.Router, lastCopy bool) time.Duration {
	wait := p.settings.surelyEnded()
	if known.pinged == 0 {
		wait += reconnectWait
	}
	replaced := known.pinged > 0 && known.wanted.Session.Incarnation != router.Session.Incarnation
	if lastCopy && !replaced {
		wait += lastCopyWait
	}
	return wait
}

// noticeSilence keeps sessions open after this controller was paused, and while
// no router is heard: then the fault is rather on this side, and no session can
// be put to better use.
func (p *Placement) noticeSilence(now time.Duration) {
	paused := now-p.lastLook > p.settings.LeaseDuration/pauseShare
	p.lastLook = now
	heard := false
	for _, known := range p.contacts {
		heard = heard || p.answers(now, known)
	}
	if heard && !paused {
		return
	}
	for _, known := range p.contacts {
		known.renewedAt = max(known.renewedAt, now)
	}
}

// lastCopies returns the routers that hold the records of a partition of which
// no other router that answers holds them all.
func (p *Placement) lastCopies(now time.Duration, view *state.State) map[state.RouterID]bool {
	last := make(map[state.RouterID]bool)
	for _, placed := range view.Partitions() {
		primary := p.holds(now, view, placed.Primary, placed.PrimarySession)
		backup := placed.BackupSynced && p.holds(now, view, placed.Backup, placed.BackupSession)
		former := placed.Former != "" && p.holds(now, view, placed.Former, placed.FormerSession)
		if !backup && !former {
			last[placed.Primary] = true
		}
		if !primary && placed.BackupSynced {
			last[placed.Backup] = true
		}
		if !primary && placed.Former != "" {
			last[placed.Former] = true
		}
	}
	return last
}

// holds reports whether the process of a session answers.
func (p *Placement) holds(now time.Duration, view *state.State, id state.RouterID, session state.SessionNumber) bool {
	registered, found := view.Router(id)
	if !found || !registered.Session.Open || registered.Session.Number != session {
		return false
	}
	known := p.contact(id)
	return p.answers(now, known) && known.wanted.Session.Incarnation == registered.Session.Incarnation
}

func (p *Placement) openSessions(now time.Duration, view *state.State) []state.Command {
	var commands []state.Command
	open := p.openLifetimes(view.Routers())
	var lifetime time.Duration
	for _, id := range slices.Sorted(maps.Keys(p.contacts)) {
		known := p.contacts[id]
		if known.wanted.ID == "" || !known.maySession() || !p.answers(now, known) {
			continue
		}
		registered, found := view.Router(id)
		if found && registered.Session.Open {
			continue
		}
		if !open.admit(known.report.Lifetime) || (len(commands) > 0 && known.report.Lifetime != lifetime) {
			continue
		}
		lifetime = known.report.Lifetime
		commands = append(commands, state.Command{PutRouter: &state.PutRouter{Router: known.wanted}})
	}
	return commands
}

// answers reports whether the router's process pinged lately.
func (p *Placement) answers(now time.Duration, known *contact) bool {
	return known.pinged > 0 && now-known.pinged < p.settings.LeaseDuration
}
