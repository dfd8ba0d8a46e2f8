package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// serverTracker tracks one server and the process that answers for it. It lasts
// for one term of leadership.
type serverTracker struct {
	server state.ServerID
	// nextMessageAt is when the next message is due.
	nextMessageAt time.Duration
	// sequence is that of the last message sent; with the term it is the fence
	// that orders messages.
	sequence        uint64
	messageInFlight bool
	// newAnswer is true from an answer until the next tick.
	newAnswer bool
	// renewAfterRound asks for a renewal as soon as a quorum round covers the clock
	// reading.
	renewAfterRound bool
	// incarnation is that of the process that answered last; empty before the first
	// answer.
	incarnation string
	// clockReading is that process's clock in nanoseconds, received at readingAt,
	// which is -1 before the first answer.
	clockReading int64
	readingAt    time.Duration
	// renewedAt is the latest time from which a lease may count, whether this
	// leader or an earlier one granted it.
	renewedAt time.Duration
	// trackedSession is the open session that renewedAt belongs to.
	trackedSession state.SessionNumber
	// closingSession is the session whose end was proposed; it is never renewed
	// again.
	closingSession state.SessionNumber
	// answeredSession, assignmentVersion, running, draining and load are from the
	// last answer: its session, the version of the assignments in force, the ranges
	// in which requests still execute, and the process's state and load.
	answeredSession   state.SessionNumber
	assignmentVersion state.Revision
	running           []backendapi.Assignment
	draining          bool
	load              backendapi.LoadReport
	// observed is true while the process serves its own claims, without a lease.
	observed bool
	claims   []backendapi.Assignment
	// fenceTerm is the term of the newest message that the process accepted.
	fenceTerm uint64
	// sessionOpen is true while the server's session is open.
	sessionOpen bool
	// readyAt is when the server's open session began, and readySession the number
	// of that session.
	service      state.ServiceName
	readyAt      time.Duration
	readySession state.SessionNumber
	// shardLoadsAt is when shard loads last arrived, -1 before the first;
	// loadsRequested is true while the message in flight asks for them.
	shardLoadsAt   time.Duration
	loadsRequested bool
	// withdrawn is true while operators or the platform want the server to give
	// up its shards.
	withdrawn bool
	// failures counts the messages without an answer since the last answer.
	failures int
	// pendingSession is the token of an open proposal to open or close a session,
	// pendingRelease that of one to release shards or to end a retirement; zero for
	// none.
	pendingSession uint64
	pendingRelease uint64
}

// nextFence returns the fence of the next message to the server.
func (t *serverTracker) nextFence(term uint64) backendapi.Fence {
	t.sequence++
	return backendapi.Fence{Term: term, Sequence: t.sequence}
}

// trackSession starts to track a session that was not seen open before, and
// reports whether it did. Nothing is known about leases granted in it, so it
// counts as renewed now.
func (t *serverTracker) trackSession(now time.Duration, session state.Session) bool {
	if !session.Open || session.Number == t.trackedSession {
		return false
	}
	t.trackedSession = session.Number
	t.renewedAt = max(t.renewedAt, now)
	return true
}

// isSilent reports whether messages to the server failed in this term of
// leadership and none was answered. Its open session, if any, was opened by an
// earlier leader, because this one opens none without an answer. Its lease is
// counted from the last quorum round that an earlier leader can have started. For a
// server that answers, the lease is counted from the election, so that a leader
// that takes long to reach many servers closes no session of a live one.
func (t *serverTracker) isSilent() bool {
	return t.readingAt < 0 && t.failures > 0
}

// recordAnswer stores what an answer says about the process.
func (t *serverTracker) recordAnswer(now time.Duration, answer backendapi.LeaseAnswer) {
	if answer.Incarnation != t.incarnation {
		t.incarnation = answer.Incarnation
		t.assignmentVersion = 0
		t.running = nil
	}
	t.failures = 0
	t.clockReading = answer.ClockNs
	t.readingAt = now
	t.answeredSession = state.SessionNumber(answer.Session)
	t.assignmentVersion = state.Revision(answer.Version)
	t.running = answer.Running
	t.draining = answer.Draining
	t.load = answer.Load
	t.observed = answer.Observed
	t.claims = answer.Claims
	t.fenceTerm = answer.Fence.Term
}

// executesIn reports whether the server still executes requests in the range.
func (t *serverTracker) executesIn(keys state.KeyRange) bool {
	for _, running := range t.running {
		if running.First <= keys.Last && keys.First <= running.Last {
			return true
		}
	}
	return false
}
