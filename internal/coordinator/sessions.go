package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// tickServers finds the sessions to open and close, and sends the messages that
// are due.
func (c *Coordinator) tickServers(now time.Duration, view *state.State, actions *Actions) {
	c.endingSoon = 0
	for _, tracker := range c.orderedTrackers {
		end := c.leaseEndBound(tracker)
		expired := now > end && now > c.closeAfter
		if tracker.sessionOpen && tracker.failures > 0 && end-now < c.config.RenewInterval {
			c.endingSoon++
		}
		if now < tracker.nextMessageAt && !expired && !tracker.newAnswer {
			continue
		}
		tracker.newAnswer = false
		server, found := view.Server(tracker.server)
		if !found {
			continue
		}
		service, _ := view.Service(server.Service)
		if service.Mode == state.ModeObserved {
			c.messageObservedServer(now, tracker, server, service, view, actions)
			continue
		}
		newSession := tracker.trackSession(now, server.Session)
		expired = expired && !newSession
		c.tickSession(now, expired, tracker, server, service)
		if now >= tracker.nextMessageAt && !tracker.messageInFlight {
			c.messageServer(now, tracker, server, service, view, actions)
		}
	}
}

// SetQuietTime sets, after Lead, for how long before the election no quorum round
// of an earlier leader began, as measured by other controllers' clocks. Earlier
// leaders renewed leases only from clock readings that are older than such a round.
func (c *Coordinator) SetQuietTime(measured time.Duration) {
	c.quietTime = time.Duration(float64(measured) * (1 - c.config.ClockRateBound))
}

// leaseEndBound returns the time after which the last lease that the server may
// hold has expired, even if messages are delayed or lost: the lease counts from a
// clock reading taken before renewedAt, so a delayed message cannot extend it. The
// time at which the reading arrived gives a tighter bound than the time at which
// the renewal was sent, which is later.
func (c *Coordinator) leaseEndBound(tracker *serverTracker) time.Duration {
	stretched := float64(c.config.LeaseDuration) * (1 + c.config.ClockRateBound)
	renewedAt := tracker.renewedAt
	if tracker.isSilent() {
		renewedAt -= c.quietTime
	}
	return renewedAt + time.Duration(stretched) + c.config.Margin
}

// tickSession opens a session for a process that answers, and closes the session
// of a server whose last lease has expired.
func (c *Coordinator) tickSession(now time.Duration, expired bool, tracker *serverTracker, server state.Server, service state.Service) {
	if tracker.pendingSession != 0 {
		return
	}
	if !server.Session.Open {
		if c.mayOpenSession(now, tracker, server, service) {
			c.openingTrackers = append(c.openingTrackers, tracker)
			c.sessionsToOpen = append(c.sessionsToOpen, state.OpenSession{
				Server: server.ID, Incarnation: tracker.incarnation, After: server.Session.Number,
			})
		}
		return
	}
	if expired {
		tracker.closingSession = server.Session.Number
		c.closingTrackers = append(c.closingTrackers, tracker)
	}
}

// mayOpenSession requires a recent answer, so that no session is opened for a
// process that has stopped answering, and that the process has given up its
// claims.
func (c *Coordinator) mayOpenSession(now time.Duration, tracker *serverTracker, server state.Server, service state.Service) bool {
	if service.Adopted && !c.claimsEnded(tracker) {
		return false
	}
	if server.Intent == state.ServerRetired || tracker.incarnation == "" {
		return false
	}
	return now-tracker.readingAt < 2*c.config.RenewInterval
}

// mayRenew reports whether the server process of the open session may get a lease
// that counts from the last clock reading.
func (c *Coordinator) mayRenew(tracker *serverTracker, server state.Server) bool {
	if !server.Session.Open || server.Intent == state.ServerRetired {
		return false
	}
	if tracker.closingSession == server.Session.Number || tracker.incarnation != server.Session.Incarnation {
		return false
	}
	return tracker.readingAt >= 0 && tracker.readingAt <= c.confirmedAt
}

// awaitsRound reports whether a renewal waits only for a quorum round, after which
// it is sent. A probe meanwhile would bring a newer clock reading, which only a
// later round covers: if rounds take longer than a renewal interval, no reading
// would ever be covered. The wait ends after half a lease, so that the other half
// can still be used.
func (c *Coordinator) awaitsRound(now time.Duration, tracker *serverTracker, server state.Server) bool {
	if !server.Session.Open || tracker.closingSession == server.Session.Number || tracker.incarnation != server.Session.Incarnation {
		return false
	}
	return tracker.readingAt > c.confirmedAt && now-tracker.readingAt < c.config.LeaseDuration/2
}

// messageServer sends a lease renewal, or a probe while the lease may not be
// renewed.
func (c *Coordinator) messageServer(now time.Duration, tracker *serverTracker, server state.Server, service state.Service, view *state.State, actions *Actions) {
	if server.Intent == state.ServerRetired && !server.Session.Open {
		tracker.nextMessageAt = now + c.config.LeaseDuration
		return
	}
	if c.awaitsRound(now, tracker, server) {
		tracker.renewAfterRound = true
		tracker.nextMessageAt = now + c.config.RenewInterval
		return
	}
	request := backendapi.LeaseRequest{Server: string(server.ID)}
	switch {
	case c.mayRenew(tracker, server):
		c.fillRenewal(&request, tracker, server, view)
		tracker.renewedAt = tracker.readingAt
	case service.Adopted && !server.Session.Open:
		fillClaimEnd(&request, tracker)
	}
	c.send(now, tracker, server, request, actions)
}

func (c *Coordinator) send(now time.Duration, tracker *serverTracker, server state.Server, request backendapi.LeaseRequest, actions *Actions) {
	request.Fence = tracker.nextFence(c.term)
	tracker.loadsRequested = request.ReadingNs != 0 && c.balancer.wantsShardLoads(now, tracker)
	request.ReportLoads = tracker.loadsRequested
	tracker.messageInFlight = true
	tracker.nextMessageAt = now + c.messageInterval(tracker, server)
	actions.Sends = append(actions.Sends, Send{Server: server.ID, Address: server.Address, Request: request})
}

// maxProbeBackoff bounds the interval between probes of a server that does not
// answer, in renewal intervals.
const maxProbeBackoff = 8

// messageInterval returns the time to the next message. For a server without a
// session, which holds no lease, it grows exponentially while messages fail.
func (c *Coordinator) messageInterval(tracker *serverTracker, server state.Server) time.Duration {
	if server.Session.Open || tracker.failures == 0 {
		return c.config.RenewInterval
	}
	return c.config.RenewInterval * time.Duration(min(1<<min(tracker.failures-1, maxProbeBackoff), maxProbeBackoff))
}

func (c *Coordinator) fillRenewal(request *backendapi.LeaseRequest, tracker *serverTracker, server state.Server, view *state.State) {
	request.Incarnation = tracker.incarnation
	request.Session = uint64(server.Session.Number)
	request.ReadingNs = tracker.clockReading
	request.DurationNs = int64(c.config.LeaseDuration)
	request.Drain = server.Intent != state.ServerActive
	wanted := view.AssignmentVersion(server.ID)
	request.Version = uint64(wanted)
	if tracker.assignmentVersion == wanted && tracker.answeredSession == server.Session.Number {
		return
	}
	request.Replace = true
	for _, shard := range view.OwnedBy(server.ID) {
		if shard.Phase == state.ShardOwned {
			request.Assignments = append(request.Assignments, assignmentOf(shard))
		}
	}
}

func assignmentOf(shard state.Shard) backendapi.Assignment {
	return backendapi.Assignment{
		Shard: uint64(shard.ID), Epoch: uint64(shard.Epoch), First: shard.Range.First, Last: shard.Range.Last,
	}
}

// answeredInSession reports whether the last answer came from the process of the
// open session, and under that session.
func (c *Coordinator) answeredInSession(tracker *serverTracker, server state.Server) bool {
	return server.Session.Open &&
		tracker.incarnation == server.Session.Incarnation &&
		tracker.answeredSession == server.Session.Number
}
