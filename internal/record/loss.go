package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// lossSkew is added to the latest time, by the controller's clock, at which a lost
// primary may have granted a claim. The primary's clock may be ClockSkew ahead of
// the controller's, and the granted key another ClockSkew ahead of the primary's.
// It is the smallest margin that is safe without trusting callers' clocks.
const lossSkew = 2 * ClockSkew

// leaseEnding is what the leader knows about the end of the lease of a router's session.
type leaseEnding struct {
	session state.SessionNumber
	// revision is the highest table revision that the router reported to follow.
	revision state.Revision
	// endedMs is the wall clock time, in Unix milliseconds, at which the lease was
	// first seen to have ended; zero while it may be valid.
	endedMs int64
}

// primaryStart is what the leader knows about when a partition's primary took over.
type primaryStart struct {
	primary state.RouterID
	session state.SessionNumber
	// revision is that of a routing table that names the primary; zero if the
	// previous primary's session was closed first, so that no earlier primary can
	// grant claims.
	revision state.Revision
}

// notePrimaryStart records the start of a partition's primary if it is a new one.
func (p *Placement) notePrimaryStart(placed state.RecordPartition) {
	start := p.primaryStarts[placed.Number]
	if start.primary != placed.Primary || start.session != placed.PrimarySession {
		p.primaryStarts[placed.Number] = primaryStart{primary: placed.Primary, session: placed.PrimarySession, revision: placed.Revision}
	}
}

// trackSession starts tracking the end of a session's lease if the session is new.
func (s *routerStatus) trackSession(session state.SessionNumber) {
	if s.leaseEnd.session != session {
		s.previousLeaseEnd = s.leaseEnd
		s.leaseEnd = leaseEnding{session: session}
	}
}

// noteRevision records the table revision that the process with a session follows.
// The process has just renewed its lease, so the lease counts as valid again.
func (s *routerStatus) noteRevision(session state.SessionNumber, revision state.Revision) {
	s.trackSession(session)
	s.leaseEnd.revision = max(s.leaseEnd.revision, revision)
	s.leaseEnd.endedMs = 0
}

// noteLeaseEnds records which leases have certainly ended. Closing their sessions
// may take longer.
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

// leaseEnded reports whether a router's process can no longer hold a lease for its
// newest session.
func (p *Placement) leaseEnded(now time.Duration, router state.Router) bool {
	status := p.status(router.ID)
	if !router.Session.Open {
		return true
	}
	stopped := status.report.Stopped && status.process.Session.Incarnation == router.Session.Incarnation
	return stopped || (status.session == router.Session.Number && now-status.renewedAt > p.settings.leaseTimeout())
}

// lostBefore returns the time, in Unix milliseconds, before which keys may have
// been granted in a partition whose records are lost. The last primary granted
// nothing after its lease ended. Earlier primaries granted nothing after their
// sessions were closed, or after the last primary began to follow its own
// placement: as their backup, it rejects their records from then on.
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
