package dispatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// Settings bound the planner's decisions.
type Settings struct {
	// Zone is the router's own zone.
	Zone string
	// OwnerWait bounds how long a request waits for an owner of its key.
	OwnerWait time.Duration
	// RampUp is how long a new session of a server gets less than its share.
	RampUp time.Duration
	// LocalLoad is the load, in requests for each place, up to which servers of
	// the router's own zone are preferred.
	LocalLoad float64
}

// DefaultSettings returns the settings for a router in the given zone.
func DefaultSettings(zone string) Settings {
	return Settings{Zone: zone, OwnerWait: 2 * time.Second, RampUp: 10 * time.Second, LocalLoad: 0.8}
}

// Planner plans the next step of requests.
type Planner struct {
	settings Settings
	// random returns a number in [0, n).
	random func(n int) int
}

// NewPlanner returns a planner. Random must be safe for concurrent use and
// returns a number in [0, n).
func NewPlanner(settings Settings, random func(n int) int) *Planner {
	return &Planner{settings: settings, random: random}
}

// Plan returns the next step for the request at the clock reading now.
func (p *Planner) Plan(now time.Duration, view *table.Table, fleet Fleet, request *Request, history *History) Decision {
	if now >= request.Deadline {
		return refuseLast(history, fault.DeadlineBeforeStart, "the deadline passed before the request could be sent")
	}
	if request.Keyed {
		return p.planKeyed(now, view, request, history)
	}
	return p.planFree(now, view, fleet, request, history)
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
	last, repeated := history.last()
	sameOwner := repeated && last.Shard == shard.ID && last.Epoch == shard.Epoch && last.Server == server.ID
	if sameOwner && retry.OwnershipChanged(last.Kind) && p.ownerWaitOver(now, history) {
		return refuse(last.Kind, "the owner refused the request and did not change in time")
	}
	if sameOwner && now < last.NotBefore {
		return p.backOff(now, last, request, history)
	}
	return Decision{Action: Send, Server: server, Shard: shard.ID, Epoch: shard.Epoch, Unfenced: observed}
}

// isObserved reports whether the service's own scripts decide about ownership.
// Its servers need no session, and know nothing of shards and epochs.
func isObserved(view *table.Table, name state.ServiceName) bool {
	service, found := view.Service(name)
	return found && service.Mode == state.ModeObserved
}

// backOff waits until the owner may be tried again, within the bound on waits
// for an owner if the owner said that it is none.
func (p *Planner) backOff(now time.Duration, last Attempt, request *Request, history *History) Decision {
	until := min(last.NotBefore, request.Deadline)
	if !retry.OwnershipChanged(last.Kind) {
		return wait(until, false)
	}
	return wait(min(until, p.waitEnd(now, history)), true)
}

// waitEnd returns the end of the request's wait for an owner.
func (p *Planner) waitEnd(now time.Duration, history *History) time.Duration {
	if history.Waiting {
		return history.WaitingSince + p.settings.OwnerWait
	}
	return now + p.settings.OwnerWait
}

// awaitOwner waits for a change of owner within bounds.
func (p *Planner) awaitOwner(now time.Duration, request *Request, history *History, detail string) Decision {
	if p.ownerWaitOver(now, history) {
		return refuse(fault.NoOwner, detail)
	}
	return wait(min(p.waitEnd(now, history), request.Deadline), true)
}

func (p *Planner) ownerWaitOver(now time.Duration, history *History) bool {
	return history.Waiting && now >= p.waitEnd(now, history)
}

func wait(until time.Duration, buffered bool) Decision {
	return Decision{Action: Wait, Until: until, Buffered: buffered}
}

func refuse(kind fault.Kind, detail string) Decision {
	return Decision{Action: Refuse, Kind: kind, Detail: detail}
}

// refuseLast refuses with the kind of the last attempt if there was one, since
// that says more than the given kind. An attempt with an unknown outcome must
// not be hidden behind a refusal that claims "not run".
func refuseLast(history *History, kind fault.Kind, detail string) Decision {
	if last, found := history.last(); found {
		return refuse(last.Kind, "the deadline passed before the request could be sent again")
	}
	return refuse(kind, detail)
}
