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

// leaseEnding is what the leader knows of the end of a router's lease.
type leaseEnding struct {
	session state.SessionNumber
	// revision is the highest table revision that the router said it follows.
	revision state.Revision
	// endedMs is the wall clock when the lease had surely ended, zero before.
	endedMs int64
}

// primaryStart is what the leader knows of the beginning of a partition's primary.
type primaryStart struct {
	primary state.RouterID
	session state.SessionNumber
	// revision is that of a table which names the primary; zero if the session of
	// the one before was closed first, so that earlier ones grant nothing.
	revision state.Revision
}

// notePrimaryStart notes a new primary of a partition.
func (p *Placement) notePrimaryStart(placed state.RecordPartition) {
	start := p.primaryStarts[placed.Number]
	if start.primary != placed.Primary || start.session != placed.PrimarySession {
		p.primaryStarts[placed.Number] = primaryStart{primary: placed.Primary, session: placed.PrimarySession, revision: placed.Revision}
	}
}

// trackSession begins to note the end of a session's lease, if it is a new one.
func (c *routerStatus) trackSession(session state.SessionNumber) {
	if c.leaseEnd.session != session {
		c.previousLeaseEnd = c.leaseEnd
		c.leaseEnd = leaseEnding{session: session}
	}
}

// noteRevision notes the table revision that the process of a session noteRevision.
func (c *routerStatus) noteRevision(session state.SessionNumber, revision state.Revision) {
	c.trackSession(session)
	c.leaseEnd.revision = max(c.leaseEnd.revision, revision)
	c.leaseEnd.endedMs = 0
}

// noteLeaseEnds notes the leases that have surely ended, before their sessions are
// closed, which may take longer.
func (p *Placement) noteLeaseEnds(moment Moment, view *state.State) {
	for _, router := range view.Routers() {
		status := p.status(router.ID)
		status.trackSession(router.Session.Number)
		switch {
		case !p.leaseEnded(moment.Now, router):
			status.leaseEnd.endedMs = 0
		case status.leaseEnd.endedMs == 0:
			status.leaseEnd.endedMs = moment.UnixMs
		}
	}
}

// leaseEnded reports whether a router's process can hold no lease of its newest
// session any more.
func (p *Placement) leaseEnded(now time.Duration, router state.Router) bool {
	status := p.status(router.ID)
	if !router.Session.Open {
		return true
	}
	stopped := status.report.Stopped && status.process.Session.Incarnation == router.Session.Incarnation
	return stopped || (status.session == router.Session.Number && now-status.renewedAt > p.settings.leaseTimeout())
}

// lostBefore returns the time up to which keys may have been granted in a
// partition whose records are lost. Its last primary granted nothing after its
// lease. Earlier ones granted nothing after their sessions were closed, or since
// the last one follows its own placement: as their backup it refuses them then.
func (r *placementRound) lostBefore(placed state.RecordPartition) int64 {
	lastGrantMs := r.moment.UnixMs
	primary := r.placement.status(placed.Primary)
	startRevision := r.placement.primaryStarts[placed.Number].revision
	for _, end := range []leaseEnding{primary.previousLeaseEnd, primary.leaseEnd} {
		if end.session == placed.PrimarySession && end.endedMs > 0 && end.revision >= startRevision {
			lastGrantMs = min(lastGrantMs, end.endedMs)
		}
	}
	return lastGrantMs + lossSkew.Milliseconds() + 1
}
