package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// contact is what this leader knows of one server process. It lasts for one
// term of leadership.
type contact struct {
	server state.ServerID
	// next is when the next message is due.
	next time.Duration
	// sequence is the last one sent; with the term it fences messages.
	sequence uint64
	inFlight bool
	// answered is true until the tick after an answer.
	answered bool
	// eager asks for a renewal as soon as a quorum round covers the reading.
	eager bool
	// incarnation is the process that answered last; empty before that.
	incarnation string
	// reading is that process's clock, received at readingAt.
	reading   int64
	readingAt time.Duration
	// renewedAt is the newest moment from which a lease may count, be it given
	// by this leader or by one before.
	renewedAt time.Duration
	// tracked is the open session that renewedAt belongs to.
	tracked state.SessionNumber
	// closing is the session whose end was proposed; it is never renewed again.
	closing state.SessionNumber
	// session is the one that the last answer was given under.
	session  state.SessionNumber
	version  state.Revision
	running  []backendapi.Assignment
	draining bool
	load     backendapi.LoadReport
	// observed and claims are what the process serves by its own authority.
	observed bool
	claims   []backendapi.Assignment
	// fenceTerm is the term of the newest message that the process took.
	fenceTerm uint64
	// open is true while the server's session is open.
	open bool
	// service is the server's; readyAt is when its open session began, and
	// openedAs the number of that session.
	service  state.ServiceName
	readyAt  time.Duration
	openedAs state.SessionNumber
	// loadAt is when shard loads came last, -1 before that; asked is true while
	// the message in flight asks for them.
	loadAt time.Duration
	asked  bool
	// withdrawn is true while operators or the platform want the server to give
	// up its shards.
	withdrawn bool
	// failures counts messages without an answer, since the last answer.
	failures int
	// pendingSession and pendingRelease are the tokens of open proposals.
	pendingSession uint64
	pendingRelease uint64
}

// fence returns the next fence for a message to the server.
func (c *contact) fence(term uint64) backendapi.Fence {
	c.sequence++
	return backendapi.Fence{Term: term, Sequence: c.sequence}
}

// begin starts to track a session that was not seen open before, and reports
// whether it did. Nothing is known yet of leases in it, so it counts as renewed.
func (c *contact) begin(now time.Duration, session state.Session) bool {
	if !session.Open || session.Number == c.tracked {
		return false
	}
	c.tracked = session.Number
	c.renewedAt = max(c.renewedAt, now)
	return true
}

// isSilent reports whether the server was asked in this term of leadership and
// has not answered. Its open session, if there is one, is of an earlier leader,
// since this one opens none without an answer, and is counted from the last quorum
// round that an earlier leader can have begun. A server that answers has a whole
// lease from the election for its renewal, so that a leader which needs long for
// many servers closes no session of a living one.
func (c *contact) isSilent() bool {
	return c.readingAt < 0 && c.failures > 0
}

// learn takes over what an answer says about the process.
func (c *contact) learn(now time.Duration, answer backendapi.LeaseAnswer) {
	if answer.Incarnation != c.incarnation {
		c.incarnation = answer.Incarnation
		c.version = 0
		c.running = nil
	}
	c.failures = 0
	c.reading = answer.ClockNs
	c.readingAt = now
	c.session = state.SessionNumber(answer.Session)
	c.version = state.Revision(answer.Version)
	c.running = answer.Running
	c.draining = answer.Draining
	c.load = answer.Load
	c.observed = answer.Observed
	c.claims = answer.Claims
	c.fenceTerm = answer.Fence.Term
}

// runs reports whether the server still executes requests in the range.
func (c *contact) runs(keys state.KeyRange) bool {
	for _, running := range c.running {
		if running.First <= keys.Last && keys.First <= running.Last {
			return true
		}
	}
	return false
}
