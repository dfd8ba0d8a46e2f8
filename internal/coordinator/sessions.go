package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func (c *Coordinator) tickContacts(now time.Duration, view *state.State, actions *Actions) {
	c.ending = 0
	for _, known := range c.ordered {
		end := c.surelyEnded(known)
		expired := now > end && now > c.closeAfter
		if known.open && known.failures > 0 && end-now < c.config.RenewInterval {
			c.ending++
		}
		if now < known.next && !expired && !known.answered {
			continue
		}
		known.answered = false
		server, found := view.Server(known.server)
		if !found {
			continue
		}
		service, _ := view.Service(server.Service)
		if service.Mode == state.ModeObserved {
			c.contactObserved(now, known, server, service, view, actions)
			continue
		}
		begun := known.begin(now, server.Session)
		expired = expired && !begun
		c.tickSession(now, expired, known, server, service)
		if now >= known.next && !known.inFlight {
			c.contactServer(now, known, server, service, view, actions)
		}
	}
}

// SetQuietTime tells, after Lead, that no quorum round of an earlier leader began
// within a time before this one was elected, measured by other controllers'
// clocks. Earlier leaders renewed leases only from readings that are older than
// such a round.
func (c *Coordinator) SetQuietTime(measured time.Duration) {
	c.quiet = time.Duration(float64(measured) * (1 - c.config.ClockRateBound))
}

// surelyEnded returns when the last lease that the server may hold is over,
// whatever became of the messages. The lease counts from a reading that was
// taken before renewedAt, so a message that is held up cannot extend it. That
// moment is sharper than the one of sending, which is later.
func (c *Coordinator) surelyEnded(known *contact) time.Duration {
	stretched := float64(c.config.LeaseDuration) * (1 + c.config.ClockRateBound)
	renewedAt := known.renewedAt
	if known.isSilent() {
		renewedAt -= c.quiet
	}
	return renewedAt + time.Duration(stretched) + c.config.Margin
}

// tickSession opens a session for a process that answers, and closes the
// session of one whose lease surely ended.
func (c *Coordinator) tickSession(now time.Duration, expired bool, known *contact, server state.Server, service state.Service) {
	if known.pendingSession != 0 {
		return
	}
	if !server.Session.Open {
		if c.mayOpen(now, known, server, service) {
			c.openers = append(c.openers, known)
			c.opening = append(c.opening, state.OpenSession{
				Server: server.ID, Incarnation: known.incarnation, After: server.Session.Number,
			})
		}
		return
	}
	if expired {
		known.closing = server.Session.Number
		c.ended = append(c.ended, known)
	}
}

// mayOpen requires a recent answer, so that a session is not opened for a
// process that has gone silent, and that no claims of the process are left.
func (c *Coordinator) mayOpen(now time.Duration, known *contact, server state.Server, service state.Service) bool {
	if service.Adopted && !c.claimsEnded(known) {
		return false
	}
	if server.Intent == state.ServerRetired || known.incarnation == "" {
		return false
	}
	return now-known.readingAt < 2*c.config.RenewInterval
}

// mayRenew reports whether the server process of the open session may get a
// lease that counts from the last reading.
func (c *Coordinator) mayRenew(known *contact, server state.Server) bool {
	if !server.Session.Open || server.Intent == state.ServerRetired {
		return false
	}
	if known.closing == server.Session.Number || known.incarnation != server.Session.Incarnation {
		return false
	}
	return known.readingAt >= 0 && known.readingAt <= c.confirmedAt
}

// awaitsRound reports whether a renewal waits for a quorum round alone. It is
// then sent once the round is confirmed. A probe would bring a newer reading,
// which waits for a later round still: where rounds take longer than a renewal
// interval, no reading would ever be covered. So it waits for half a lease,
// which leaves the other half to use.
func (c *Coordinator) awaitsRound(now time.Duration, known *contact, server state.Server) bool {
	if !server.Session.Open || known.closing == server.Session.Number || known.incarnation != server.Session.Incarnation {
		return false
	}
	return known.readingAt > c.confirmedAt && now-known.readingAt < c.config.LeaseDuration/2
}

func (c *Coordinator) contactServer(now time.Duration, known *contact, server state.Server, service state.Service, view *state.State, actions *Actions) {
	if server.Intent == state.ServerRetired && !server.Session.Open {
		known.next = now + c.config.LeaseDuration
		return
	}
	if c.awaitsRound(now, known, server) {
		known.eager = true
		known.next = now + c.config.RenewInterval
		return
	}
	request := backendapi.LeaseRequest{Server: string(server.ID)}
	switch {
	case c.mayRenew(known, server):
		c.fillRenewal(&request, known, server, view)
		known.renewedAt = known.readingAt
	case service.Adopted && !server.Session.Open:
		endClaims(&request, known)
	}
	c.send(now, known, server, request, actions)
}

func (c *Coordinator) send(now time.Duration, known *contact, server state.Server, request backendapi.LeaseRequest, actions *Actions) {
	request.Fence = known.fence(c.term)
	known.asked = request.ReadingNs != 0 && c.balancer.wantsLoads(now, known)
	request.ReportLoads = known.asked
	known.inFlight = true
	known.next = now + c.interval(known, server)
	actions.Sends = append(actions.Sends, Send{Server: server.ID, Address: server.Address, Request: request})
}

// maxBackoff bounds the interval between probes of a server that is gone, in
// renewal intervals.
const maxBackoff = 8

// interval is the time to the next message. A server without a session, which
// holds no lease, is asked less and less often while it does not answer.
func (c *Coordinator) interval(known *contact, server state.Server) time.Duration {
	if server.Session.Open || known.failures == 0 {
		return c.config.RenewInterval
	}
	return c.config.RenewInterval * time.Duration(min(1<<min(known.failures-1, maxBackoff), maxBackoff))
}

func (c *Coordinator) fillRenewal(request *backendapi.LeaseRequest, known *contact, server state.Server, view *state.State) {
	request.Incarnation = known.incarnation
	request.Session = uint64(server.Session.Number)
	request.ReadingNs = known.reading
	request.DurationNs = int64(c.config.LeaseDuration)
	request.Drain = server.Intent != state.ServerActive
	wanted := view.AssignmentVersion(server.ID)
	request.Version = uint64(wanted)
	if known.version == wanted && known.session == server.Session.Number {
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

// answersFor reports whether the last answer came from the process of the open
// session.
func (c *Coordinator) answersFor(known *contact, server state.Server) bool {
	return server.Session.Open &&
		known.incarnation == server.Session.Incarnation &&
		known.session == server.Session.Number
}
