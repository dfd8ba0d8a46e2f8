package dispatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// Settings configure a Planner.
type Settings struct {
	// Zone is the router's own zone.
	Zone string
	// OwnerWait is the longest time that a request waits for its key to have an owner
	// or for any server to be available.
	OwnerWait time.Duration
	// RampUp is the time from the start of a server's session during which the server
	// gets less than its share of requests.
	RampUp time.Duration
	// LocalLoad is the load, as a fraction of a server's capacity, below which servers
	// in the router's own zone are preferred.
	LocalLoad float64
}

// DefaultSettings returns the settings for a router in the given zone.
func DefaultSettings(zone string) Settings {
	return Settings{Zone: zone, OwnerWait: 2 * time.Second, RampUp: 10 * time.Second, LocalLoad: 0.8}
}

// Planner decides on the next step of a request. It is stateless apart from its
// source of random numbers.
type Planner struct {
	settings Settings
	// random returns a number in [0, n).
	random func(n int) int
}

// NewPlanner returns a planner. Random must be safe for concurrent use and return a
// number in [0, n).
func NewPlanner(settings Settings, random func(n int) int) *Planner {
	return &Planner{settings: settings, random: random}
}

// Plan returns the next step for the request at the clock reading now.
func (p *Planner) Plan(now time.Duration, view *table.Table, fleet Fleet, request *Request, history *History) Decision {
	if now >= request.Deadline {
		return refuseWithLastKind(history, fault.DeadlineBeforeStart, "the deadline passed before the request could be sent")
	}
	if request.Keyed {
		return p.planKeyed(now, view, request, history)
	}
	return p.planUnkeyed(now, view, fleet, request, history)
}

func (p *Planner) planKeyed(now time.Duration, view *table.Table, request *Request, history *History) Decision {
	shard, found := view.Lookup(request.Service, request.KeyHash)
	if !found {
		return p.awaitOwner(now, request, history, "no shard holds the key")
	}
	if shard.Phase != state.ShardOwned {
		return p.awaitOwner(now, request, history, "the key's shard has no owner at present")
	}
	server, found := view.Server(shard.Owner)
	observed := isObserved(view, request.Service)
	if !found || (!server.Session.Open && !observed) {
		return p.awaitOwner(now, request, history, "the owner of the key's shard is not in service")
	}
	last, attempted := history.last()
	sameOwner := attempted && last.Shard == shard.ID && last.Epoch == shard.Epoch && last.Server == server.ID
	if sameOwner && retry.OwnershipChanged(last.Kind) && p.ownerWaitOver(now, history) {
		return refuse(last.Kind, "the owner refused the request and did not change in time")
	}
	if sameOwner && now < last.NotBefore {
		return p.backOff(now, last, request, history)
	}
	return Decision{Action: Send, Server: server, Shard: shard.ID, Epoch: shard.Epoch, Unfenced: observed}
}

// isObserved reports whether the service is in observed mode, in which its own scripts
// decide about ownership. Its servers need no session and ignore shards and epochs.
func isObserved(view *table.Table, name state.ServiceName) bool {
	service, found := view.Service(name)
	return found && service.Mode == state.ModeObserved
}

// backOff waits until the owner may be tried again. If the owner's refusal said that it
// does not own the shard, the wait counts against the limit on waits for an owner.
func (p *Planner) backOff(now time.Duration, last Attempt, request *Request, history *History) Decision {
	until := min(last.NotBefore, request.Deadline)
	if !retry.OwnershipChanged(last.Kind) {
		return wait(until, false)
	}
	return wait(min(until, p.ownerWaitEnd(now, history)), true)
}

// ownerWaitEnd returns when the request's wait for an owner times out. A request that
// does not wait yet would start now.
func (p *Planner) ownerWaitEnd(now time.Duration, history *History) time.Duration {
	if history.Waiting {
		return history.WaitingSince + p.settings.OwnerWait
	}
	return now + p.settings.OwnerWait
}

// awaitOwner waits for a change of the routing table until OwnerWait or the request's
// deadline has passed, and refuses the request after OwnerWait.
func (p *Planner) awaitOwner(now time.Duration, request *Request, history *History, detail string) Decision {
	if p.ownerWaitOver(now, history) {
		return refuse(fault.NoOwner, detail)
	}
	return wait(min(p.ownerWaitEnd(now, history), request.Deadline), true)
}

func (p *Planner) ownerWaitOver(now time.Duration, history *History) bool {
	return history.Waiting && now >= p.ownerWaitEnd(now, history)
}

func wait(until time.Duration, buffered bool) Decision {
	return Decision{Action: Wait, Until: until, Buffered: buffered}
}

func refuse(kind fault.Kind, detail string) Decision {
	return Decision{Action: Refuse, Kind: kind, Detail: detail}
}

// refuseWithLastKind refuses with the kind of the last attempt if there was one, because
// it is more specific than the given kind and an attempt with an unknown outcome must
// not be hidden behind a refusal that claims "not run".
func refuseWithLastKind(history *History, kind fault.Kind, detail string) Decision {
	if last, found := history.last(); found {
		return refuse(last.Kind, "the deadline passed before the request could be sent again")
	}
	return refuse(kind, detail)
}
