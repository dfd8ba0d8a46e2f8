package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// lossSkew is added to the last moment at which a lost primary may have granted
// a claim, by the controller's clock. The primary's clock may be ClockSkew ahead
// of it, and the key that it granted ClockSkew ahead of the primary's. It is the
// least that is safe without trust in callers' clocks.
const lossSkew = 2 * ClockSkew

// ending is what the leader knows of the end of a router's lease.
type ending struct {
	session state.SessionNumber
	// known is the highest table revision that the router said it follows.
	known state.Revision
	// endedMs is the wall clock when the lease had surely ended, zero before.
	endedMs int64
}

// begun is what the leader knows of the beginning of a partition's primary.
type begun struct {
	primary state.RouterID
	session state.SessionNumber
	// revision is that of a table which names the primary; zero if the session of
	// the one before was closed first, so that earlier ones grant nothing.
	revision state.Revision
}

// noteBegun notes a new primary of a partition.
func (p *Placement) noteBegun(placed state.RecordPartition) {
	known := p.begun[placed.Number]
	if known.primary != placed.Primary || known.session != placed.PrimarySession {
		p.begun[placed.Number] = begun{primary: placed.Primary, session: placed.PrimarySession, revision: placed.Revision}
	}
}

// startEnding begins to note the end of a session's lease, if it is a new one.
func (c *contact) startEnding(session state.SessionNumber) {
	if c.ending.session != session {
		c.previousEnding = c.ending
		c.ending = ending{session: session}
	}
}

// follows notes the table revision that the process of a session follows.
func (c *contact) follows(session state.SessionNumber, revision state.Revision) {
	c.startEnding(session)
	c.ending.known = max(c.ending.known, revision)
	c.ending.endedMs = 0
}

// noteEndings notes the leases that have surely ended, before their sessions are
// closed, which may take longer.
func (p *Placement) noteEndings(moment Moment, view *state.State) {
	for _, router := range view.Routers() {
		known := p.contact(router.ID)
		known.startEnding(router.Session.Number)
		switch {
		case !p.surelyEnded(moment.Now, router):
			known.ending.endedMs = 0
		case known.ending.endedMs == 0:
			known.ending.endedMs = moment.UnixMs
		}
	}
}

// surelyEnded reports whether a router's process can hold no lease of its newest
// session any more.
func (p *Placement) surelyEnded(now time.Duration, router state.Router) bool {
	known := p.contact(router.ID)
	if !router.Session.Open {
		return true
	}
	stopped := known.report.Stopped && known.wanted.Session.Incarnation == router.Session.Incarnation
	return stopped || (known.session == router.Session.Number && now-known.renewedAt > p.settings.surelyEnded())
}

// lostBefore returns the time up to which keys may have been granted in a
// partition whose records are lost. Its last primary granted nothing after its
// lease. Earlier ones granted nothing after their sessions were closed, or since
// the last one follows its own placement: as their backup it refuses them then.
func (l *placing) lostBefore(placed state.RecordPartition) int64 {
	last := l.moment.UnixMs
	primary := l.placement.contact(placed.Primary)
	since := l.placement.begun[placed.Number].revision
	for _, ended := range []ending{primary.previousEnding, primary.ending} {
		if ended.session == placed.PrimarySession && ended.endedMs > 0 && ended.known >= since {
			last = min(last, ended.endedMs)
		}
	}
	return last + lossSkew.Milliseconds() + 1
}
