package coordinator

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Coordinator makes the decisions of the leading controller. It is not safe for
// concurrent use.
type Coordinator struct {
	config Config
	// leading is true between Lead and Follow.
	leading   bool
	term      uint64
	leadSince time.Duration
	// quietTime is how long before leadSince no quorum round of an earlier leader
	// began, by this controller's clock.
	quietTime time.Duration
	trackers  map[state.ServerID]*serverTracker
	// orderedTrackers holds the trackers sorted by server, for a fixed order of
	// actions.
	orderedTrackers []*serverTracker
	// leaving holds, in the same order, those of servers that are to give up their
	// shards.
	leaving []*serverTracker
	// proposalTrackers maps the token of an open proposal to the trackers that it
	// concerns.
	proposalTrackers map[uint64][]*serverTracker
	// closingTrackers are those of servers whose last lease this tick found
	// expired, so that their sessions are to be closed.
	closingTrackers []*serverTracker
	// sessionsToOpen are the sessions that this tick is to open, and openingTrackers
	// their trackers.
	sessionsToOpen  []state.OpenSession
	openingTrackers []*serverTracker
	// endingSoon counts the servers with failed messages whose sessions end soon.
	// assignmentsDelayedSince is when unowned shards began to wait for the end of
	// many sessions, -1 while none wait.
	endingSoon              int
	assignmentsDelayedSince time.Duration
	// newestReadingAt is the latest readingAt of any tracker.
	newestReadingAt time.Duration
	// lastTickAt and closeAfter prevent a leader that was itself paused from closing
	// sessions before it has messaged the servers again. No session is closed until
	// after closeAfter, which also spaces the log entries that close many sessions.
	lastTickAt time.Duration
	closeAfter time.Duration
	// lastToken and lastRound number proposals and quorum rounds.
	lastToken uint64
	lastRound uint64
	// roundStartedAt is when the newest round began; roundPending is true until it
	// is confirmed. confirmedAt is when the newest confirmed round began, -1 before
	// the first of this term.
	roundStartedAt time.Duration
	roundPending   bool
	confirmedAt    time.Duration
	// pendingAssign, pendingRevoke and pendingBalance are the tokens of open
	// proposals, zero for none.
	pendingAssign  uint64
	pendingRevoke  uint64
	pendingBalance uint64
	// queuedAssignments are chosen but not yet proposed.
	queuedAssignments []state.ShardAssignment
	balancer          *balancer
	// newServiceSince is when this leader first looked for owners of a new
	// service's shards.
	newServiceSince map[state.ServiceName]time.Duration
	// handovers measures the durations of moves in this term.
	handovers *handovers
	// changedServices are those whose policy is to be applied at the next tick.
	changedServices []state.ServiceName
}

// New returns a coordinator that does nothing until Lead.
func New(config Config) *Coordinator {
	return &Coordinator{
		config: config, trackers: make(map[state.ServerID]*serverTracker),
		proposalTrackers: make(map[uint64][]*serverTracker),
		balancer:         newBalancer(), handovers: newHandovers(), newServiceSince: make(map[state.ServiceName]time.Duration),
	}
}

// Lead begins a term of leadership. The replicated state must hold every
// acknowledged entry: the leader has committed an entry of its own term.
func (c *Coordinator) Lead(now time.Duration, term uint64, view *state.State) {
	c.Follow()
	c.leading = true
	c.term = term
	c.leadSince = now
	c.confirmedAt = -1
	c.lastTickAt = now
	for _, server := range view.Servers() {
		tracker := c.ensureTracker(server.ID, now)
		c.updateServer(tracker, server)
		// The start of a session that was open before the election is unknown; its
		// server counts as warm.
		tracker.readyAt = now - pastWarmUp
	}
	for _, service := range view.Services() {
		c.changedServices = append(c.changedServices, service.Name)
	}
}

// pastWarmUp is longer than the load ramp of any new server.
const pastWarmUp = time.Hour

// Follow ends a term of leadership and drops all that was learnt in it.
func (c *Coordinator) Follow() {
	c.leading = false
	c.quietTime = 0
	c.trackers = make(map[state.ServerID]*serverTracker)
	c.orderedTrackers = nil
	c.leaving = nil
	c.proposalTrackers = make(map[uint64][]*serverTracker)
	c.newestReadingAt = -1
	c.roundPending = false
	c.pendingAssign = 0
	c.pendingRevoke = 0
	c.pendingBalance = 0
	c.queuedAssignments = nil
	c.assignmentsDelayedSince = -1
	c.balancer = newBalancer()
	c.handovers = newHandovers()
	c.newServiceSince = make(map[state.ServiceName]time.Duration)
	c.changedServices = nil
}

// Changed updates the coordinator with the objects that a command changed.
func (c *Coordinator) Changed(now time.Duration, objects []state.Object) {
	if !c.leading {
		return
	}
	for _, object := range objects {
		if object.Shard != nil && !object.Deleted {
			c.handovers.shardChanged(now, *object.Shard)
		}
		switch {
		case object.Server != nil:
			tracker := c.ensureTracker(object.Server.ID, now)
			tracker.renewAfterRound = true
			if session := object.Server.Session; session.Open && session.Number != tracker.readySession {
				tracker.readyAt = now
			}
			c.updateServer(tracker, *object.Server)
			c.scheduleNow(tracker, now)
		case object.Shard != nil && object.Shard.Owner != "":
			c.scheduleNow(c.ensureTracker(object.Shard.Owner, now), now)
		}
	}
	c.updateLayouts(now, objects)
}

func (c *Coordinator) scheduleNow(tracker *serverTracker, now time.Duration) {
	tracker.nextMessageAt = min(tracker.nextMessageAt, now)
}

func (c *Coordinator) ensureTracker(server state.ServerID, now time.Duration) *serverTracker {
	if tracker, found := c.trackers[server]; found {
		return tracker
	}
	created := &serverTracker{server: server, nextMessageAt: now, renewAfterRound: true, readingAt: -1, shardLoadsAt: -1, renewedAt: c.leadSince}
	c.trackers[server] = created
	position, _ := slices.BinarySearchFunc(c.orderedTrackers, server, compareTracker)
	c.orderedTrackers = slices.Insert(c.orderedTrackers, position, created)
	return created
}

// Tick returns the actions that are due.
func (c *Coordinator) Tick(now time.Duration, view *state.State) Actions {
	var actions Actions
	if !c.leading {
		return actions
	}
	c.detectPause(now)
	c.tickServers(now, view, &actions)
	c.openSessions(&actions)
	c.closeEndedSessions(now, view, &actions)
	c.applyChangedPolicies(now, view)
	c.tickShards(now, view, &actions)
	c.tickBalance(now, view, &actions)
	c.tickRound(now, &actions)
	return actions
}

// detectPause gives servers time to answer after this process was paused. Their
// leases may have expired, but no other process has been notified of it, and a renewal
// avoids the moves that closing their sessions would cause.
func (c *Coordinator) detectPause(now time.Duration) {
	if now-c.lastTickAt > c.config.RenewInterval {
		c.closeAfter = now + 2*c.config.RenewInterval
	}
	c.lastTickAt = now
}

func (c *Coordinator) propose(actions *Actions, command state.Command) uint64 {
	c.lastToken++
	actions.Proposals = append(actions.Proposals, Proposal{Token: c.lastToken, Command: command})
	return c.lastToken
}

// proposeFor proposes a command that concerns one server.
func (c *Coordinator) proposeFor(tracker *serverTracker, actions *Actions, command state.Command) uint64 {
	token := c.propose(actions, command)
	c.proposalTrackers[token] = []*serverTracker{tracker}
	return token
}

// ProposalDone reports that a proposal was applied, rejected or dropped.
func (c *Coordinator) ProposalDone(token uint64) {
	if c.pendingAssign == token {
		c.pendingAssign = 0
	}
	if c.pendingRevoke == token {
		c.pendingRevoke = 0
	}
	if c.pendingBalance == token {
		c.pendingBalance = 0
	}
	for _, tracker := range c.proposalTrackers[token] {
		if tracker.pendingSession == token {
			tracker.pendingSession = 0
		}
		if tracker.pendingRelease == token {
			tracker.pendingRelease = 0
		}
	}
	delete(c.proposalTrackers, token)
}

// tickRound requests a quorum round if a clock reading is not yet covered by a
// confirmed one. A round that stays unconfirmed is replaced after the lease
// duration.
func (c *Coordinator) tickRound(now time.Duration, actions *Actions) {
	if now-c.roundStartedAt < c.config.RoundInterval {
		return
	}
	if c.roundPending && now-c.roundStartedAt < c.config.LeaseDuration {
		return
	}
	if c.newestReadingAt > c.confirmedAt {
		c.lastRound++
		c.roundStartedAt = now
		c.roundPending = true
		actions.Round = c.lastRound
	}
}

// RoundConfirmed reports that a quorum acknowledged this leader in the round.
func (c *Coordinator) RoundConfirmed(now time.Duration, round uint64) {
	if !c.leading || round != c.lastRound || !c.roundPending {
		return
	}
	c.roundPending = false
	c.confirmedAt = c.roundStartedAt
	for _, tracker := range c.orderedTrackers {
		if tracker.renewAfterRound && tracker.readingAt >= 0 && tracker.readingAt <= c.confirmedAt {
			tracker.renewAfterRound = false
			c.scheduleNow(tracker, now)
		}
	}
}

// Answered handles a server's answer to the message with the given sequence.
func (c *Coordinator) Answered(now time.Duration, server state.ServerID, sequence uint64, answer backendapi.LeaseAnswer) {
	tracker, found := c.trackers[server]
	if !found || sequence != tracker.sequence {
		return
	}
	tracker.messageInFlight = false
	if answer.Server != string(server) {
		return
	}
	newProcess := answer.Incarnation != tracker.incarnation
	tracker.recordAnswer(now, answer)
	c.newestReadingAt = now
	c.handovers.versionConfirmed(now, server, tracker.assignmentVersion)
	c.updateLeaving(tracker)
	c.balancer.addReport(now, tracker, answer.Load)
	tracker.newAnswer = true
	tracker.renewAfterRound = tracker.renewAfterRound || newProcess
	if answer.Fence.Term == c.term && answer.Fence.Sequence > tracker.sequence {
		tracker.sequence = answer.Fence.Sequence
	}
}

// Failed reports that the message with the given sequence was not answered.
func (c *Coordinator) Failed(server state.ServerID, sequence uint64) {
	tracker, found := c.trackers[server]
	if found && sequence == tracker.sequence {
		tracker.messageInFlight = false
		tracker.failures++
	}
}

// Views returns a view of each server, sorted by server.
func (c *Coordinator) Views(view *state.State) []ServerView {
	views := make([]ServerView, 0, len(c.orderedTrackers))
	for _, tracker := range c.orderedTrackers {
		views = append(views, tracker.serverView(view))
	}
	return views
}

func (t *serverTracker) serverView(view *state.State) ServerView {
	server, _ := view.Server(t.server)
	service, _ := view.Service(server.Service)
	result := ServerView{Server: t.server, LastAnswer: t.readingAt, Load: t.load, Observed: t.observed}
	if service.Mode == state.ModeObserved {
		if t.observed && service.Keyed {
			result.Differences = countDifferences(view.OwnedBy(t.server), t.claims)
		}
		result.InForce = t.observed && result.Differences == 0
		return result
	}
	result.InForce = server.Session.Open && t.answeredSession == server.Session.Number &&
		t.assignmentVersion == view.AssignmentVersion(t.server)
	return result
}
