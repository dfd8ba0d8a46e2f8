package coordinator

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Coordinator is the core. It is not safe for concurrent use.
type Coordinator struct {
	config Config
	// leading is true between Lead and Follow.
	leading   bool
	term      uint64
	leadSince time.Duration
	// quiet is a time before leadSince in which no quorum round of an earlier
	// leader began, by this controller's clock.
	quiet    time.Duration
	contacts map[state.ServerID]*contact
	// ordered holds the contacts by server, for a fixed order of actions.
	ordered []*contact
	// leaving holds, in the same order, those that are to give up their shards.
	leaving []*contact
	// awaiting finds the contacts that an open proposal belongs to.
	awaiting map[uint64][]*contact
	// ended are the contacts whose sessions this tick found to have ended.
	ended []*contact
	// opening are the sessions that this tick is to open, and openers their contacts.
	opening []state.OpenSession
	openers []*contact
	// ending counts the silent servers whose sessions end soon. gatheringSince is
	// when shards began to wait for the end of many, -1 while none do.
	ending         int
	gatheringSince time.Duration
	// newestReading is the newest readingAt of any contact.
	newestReading time.Duration
	// lastTick and closeAfter keep a leader that was itself paused from closing
	// sessions before it has asked the servers again; closeAfter also paces the
	// entries by which many sessions are closed.
	lastTick   time.Duration
	closeAfter time.Duration
	// lastToken and lastRound number proposals and quorum rounds.
	lastToken uint64
	lastRound uint64
	// roundStarted is when the newest round began; roundOpen is true until it
	// is confirmed. confirmedAt is when the newest confirmed round began.
	roundStarted time.Duration
	roundOpen    bool
	confirmedAt  time.Duration
	// pendingAssign, pendingRevoke and pendingBalance are the tokens of open proposals.
	pendingAssign  uint64
	pendingRevoke  uint64
	pendingBalance uint64
	// assignments are chosen and wait to be proposed.
	assignments []state.ShardAssignment
	balancer    *balancer
	// founding is when this leader first looked for owners of a new service's
	// shards.
	founding map[state.ServiceName]time.Duration
	// handovers measures the moves of this term.
	handovers *handovers
	// changedServices are those whose policy is to be looked at.
	changedServices []state.ServiceName
}

// New returns a coordinator that does nothing until Lead.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, contacts: make(map[state.ServerID]*contact), awaiting: make(map[uint64][]*contact), balancer: newBalancer(), handovers: newHandovers(), founding: make(map[state.ServiceName]time.Duration)}
}

// Lead begins a term of leadership. The replicated state must hold every
// acknowledged entry: the leader has committed an entry of its own term.
func (c *Coordinator) Lead(now time.Duration, term uint64, view *state.State) {
	c.Follow()
	c.leading = true
	c.term = term
	c.leadSince = now
	c.confirmedAt = -1
	c.lastTick = now
	for _, server := range view.Servers() {
		known := c.ensureContact(server.ID, now)
		c.noteServer(known, server)
		// A session that this leader found open began long ago, as far as it knows.
		known.readyAt = now - warmAge
	}
	for _, service := range view.Services() {
		c.changedServices = append(c.changedServices, service.Name)
	}
}

// warmAge is longer than any ramp of a new server.
const warmAge = time.Hour

// Follow ends a term of leadership. All that was known of servers is dropped.
func (c *Coordinator) Follow() {
	c.leading = false
	c.quiet = 0
	c.contacts = make(map[state.ServerID]*contact)
	c.ordered = nil
	c.leaving = nil
	c.awaiting = make(map[uint64][]*contact)
	c.newestReading = -1
	c.roundOpen = false
	c.pendingAssign = 0
	c.pendingRevoke = 0
	c.pendingBalance = 0
	c.assignments = nil
	c.gatheringSince = -1
	c.balancer = newBalancer()
	c.handovers = newHandovers()
	c.founding = make(map[state.ServiceName]time.Duration)
	c.changedServices = nil
}

// Changed tells the coordinator which objects a command changed.
func (c *Coordinator) Changed(now time.Duration, objects []state.Object) {
	if !c.leading {
		return
	}
	for _, object := range objects {
		if object.Shard != nil && !object.Deleted {
			c.handovers.note(now, *object.Shard)
		}
		switch {
		case object.Server != nil:
			known := c.ensureContact(object.Server.ID, now)
			known.eager = true
			if session := object.Server.Session; session.Open && session.Number != known.openedAs {
				known.readyAt = now
			}
			c.noteServer(known, *object.Server)
			c.wake(known, now)
		case object.Shard != nil && object.Shard.Owner != "":
			c.wake(c.ensureContact(object.Shard.Owner, now), now)
		}
	}
	c.noteLayouts(now, objects)
}

func (c *Coordinator) wake(known *contact, now time.Duration) {
	known.next = min(known.next, now)
}

func (c *Coordinator) ensureContact(server state.ServerID, now time.Duration) *contact {
	if known, found := c.contacts[server]; found {
		return known
	}
	created := &contact{server: server, next: now, eager: true, readingAt: -1, loadAt: -1, renewedAt: c.leadSince}
	c.contacts[server] = created
	position, _ := slices.BinarySearchFunc(c.ordered, server, compareContact)
	c.ordered = slices.Insert(c.ordered, position, created)
	return created
}

// Tick returns the actions that are due.
func (c *Coordinator) Tick(now time.Duration, view *state.State) Actions {
	var actions Actions
	if !c.leading {
		return actions
	}
	c.noticePause(now)
	c.tickContacts(now, view, &actions)
	c.openAnswering(&actions)
	c.closeEnded(now, view, &actions)
	c.followPolicies(now, view)
	c.tickShards(now, view, &actions)
	c.balance(now, view, &actions)
	c.tickRound(now, &actions)
	return actions
}

// noticePause gives servers time to answer after this process was paused:
// their leases ran out, but nobody else was told so, and a renewal spares the
// moves that closing their sessions would cause.
func (c *Coordinator) noticePause(now time.Duration) {
	if now-c.lastTick > c.config.RenewInterval {
		c.closeAfter = now + 2*c.config.RenewInterval
	}
	c.lastTick = now
}

func (c *Coordinator) propose(actions *Actions, command state.Command) uint64 {
	c.lastToken++
	actions.Proposals = append(actions.Proposals, Proposal{Token: c.lastToken, Command: command})
	return c.lastToken
}

// proposeFor proposes a command that concerns one server.
func (c *Coordinator) proposeFor(known *contact, actions *Actions, command state.Command) uint64 {
	token := c.propose(actions, command)
	c.awaiting[token] = []*contact{known}
	return token
}

// ProposalDone says that a proposal was applied, refused or dropped.
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
	for _, known := range c.awaiting[token] {
		if known.pendingSession == token {
			known.pendingSession = 0
		}
		if known.pendingRelease == token {
			known.pendingRelease = 0
		}
	}
	delete(c.awaiting, token)
}

// tickRound asks for a quorum round when some reading waits for one.
func (c *Coordinator) tickRound(now time.Duration, actions *Actions) {
	if now-c.roundStarted < c.config.RoundInterval {
		return
	}
	if c.roundOpen && now-c.roundStarted < c.config.LeaseDuration {
		return
	}
	if c.newestReading > c.confirmedAt {
		c.lastRound++
		c.roundStarted = now
		c.roundOpen = true
		actions.Round = c.lastRound
	}
}

// RoundConfirmed says that a quorum acknowledged this leader in the round.
func (c *Coordinator) RoundConfirmed(now time.Duration, round uint64) {
	if !c.leading || round != c.lastRound || !c.roundOpen {
		return
	}
	c.roundOpen = false
	c.confirmedAt = c.roundStarted
	for _, known := range c.ordered {
		if known.eager && known.readingAt >= 0 && known.readingAt <= c.confirmedAt {
			known.eager = false
			c.wake(known, now)
		}
	}
}

// Answered takes a server's answer to the message with the given sequence.
func (c *Coordinator) Answered(now time.Duration, server state.ServerID, sequence uint64, answer backendapi.LeaseAnswer) {
	known, found := c.contacts[server]
	if !found || sequence != known.sequence {
		return
	}
	known.inFlight = false
	if answer.Server != string(server) {
		return
	}
	changedProcess := answer.Incarnation != known.incarnation
	known.learn(now, answer)
	c.newestReading = now
	c.handovers.confirmed(now, server, known.version)
	c.noteLeaving(known)
	c.balancer.count(now, known, answer.Load)
	known.answered = true
	known.eager = known.eager || changedProcess
	if answer.Fence.Term == c.term && answer.Fence.Sequence > known.sequence {
		known.sequence = answer.Fence.Sequence
	}
}

// Failed says that the message with the given sequence was not answered.
func (c *Coordinator) Failed(server state.ServerID, sequence uint64) {
	known, found := c.contacts[server]
	if found && sequence == known.sequence {
		known.inFlight = false
		known.failures++
	}
}

// Views returns what is known of each server, by server.
func (c *Coordinator) Views(view *state.State) []ServerView {
	views := make([]ServerView, 0, len(c.ordered))
	for _, known := range c.ordered {
		views = append(views, known.view(view))
	}
	return views
}

func (c *contact) view(view *state.State) ServerView {
	server, _ := view.Server(c.server)
	service, _ := view.Service(server.Service)
	seen := ServerView{Server: c.server, LastAnswer: c.readingAt, Load: c.load, Observed: c.observed}
	if service.Mode == state.ModeObserved {
		if c.observed && service.Keyed {
			seen.Differences = differences(view.OwnedBy(c.server), c.claims)
		}
		seen.InForce = c.observed && seen.Differences == 0
		return seen
	}
	seen.InForce = server.Session.Open && c.session == server.Session.Number &&
		c.version == view.AssignmentVersion(c.server)
	return seen
}
