package dispatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// minimumRampShare is the share of a server's capacity that is used at the start of
// its session.
const minimumRampShare = 0.1

// reportWeight scales the load that servers report, so that it counts for less than
// a difference of one request in flight.
const reportWeight = 0.01

// candidate is a server with its load in relation to its capacity.
type candidate struct {
	server *state.Server
	score  float64
}

func (p *Planner) planUnkeyed(now time.Duration, view *table.Table, fleet Fleet, request *Request, history *History) Decision {
	if last, found := history.last(); found && now < last.NotBefore {
		return wait(min(last.NotBefore, request.Deadline), false)
	}
	active := activeServers(view.Servers(request.Service), isObserved(view, request.Service))
	usable := fleet.Choose(active, now)
	if len(usable) == 0 {
		return p.awaitOwner(now, request, history, "no server of the service takes work at present")
	}
	preferred := untriedServers(usable, history)
	if len(preferred) == 0 {
		preferred = usable
	}
	chosen := p.chooseLessLoaded(p.preferLocal(p.score(preferred, fleet)))
	return Decision{Action: Send, Server: chosen.server}
}

// activeServers returns the servers that may get new requests. Servers of an observed
// service need no open session.
func activeServers(servers []*state.Server, observed bool) []*state.Server {
	active := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if server.Intent == state.ServerActive && (server.Session.Open || observed) && !server.Withdrawn() {
			active = append(active, server)
		}
	}
	return active
}

// untriedServers returns the servers on which no attempt of this request has failed.
func untriedServers(servers []*state.Server, history *History) []*state.Server {
	if len(history.Attempts) == 0 {
		return servers
	}
	remaining := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if !wasTried(server.ID, history) {
			remaining = append(remaining, server)
		}
	}
	return remaining
}

func wasTried(id state.ServerID, history *History) bool {
	for _, attempt := range history.Attempts {
		if attempt.Server == id {
			return true
		}
	}
	return false
}

func (p *Planner) score(servers []*state.Server, fleet Fleet) []candidate {
	candidates := make([]candidate, 0, len(servers))
	for _, server := range servers {
		load := fleet.Load(server)
		capacity := float64(max(1, load.Limit)) * p.rampShare(load.Age)
		score := float64(load.InFlight)/capacity + reportWeight*min(load.Reported, 1)/capacity
		candidates = append(candidates, candidate{server: server, score: score})
	}
	return candidates
}

// rampShare returns the share of its capacity that a server gets at the given session
// age. It grows linearly until RampUp.
func (p *Planner) rampShare(age time.Duration) float64 {
	if age >= p.settings.RampUp {
		return 1
	}
	return max(minimumRampShare, float64(age)/float64(p.settings.RampUp))
}

// preferLocal returns the candidates in the router's own zone whose load is below
// LocalLoad, or all candidates if there are none.
func (p *Planner) preferLocal(candidates []candidate) []candidate {
	local := make([]candidate, 0, len(candidates))
	for _, item := range candidates {
		if item.server.Zone == p.settings.Zone && item.score < p.settings.LocalLoad {
			local = append(local, item)
		}
	}
	if len(local) > 0 {
		return local
	}
	return candidates
}

// chooseLessLoaded returns the less loaded of two different candidates drawn at random.
func (p *Planner) chooseLessLoaded(candidates []candidate) candidate {
	if len(candidates) == 1 {
		return candidates[0]
	}
	first := p.random(len(candidates))
	second := p.random(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].score < candidates[first].score {
		return candidates[second]
	}
	return candidates[first]
}

// FinalKind returns the failure kind with which a request ends after its last attempt
// failed with the given kind. If an earlier attempt may have run, a refusal must not
// claim "not run", so the kind of that attempt is returned instead.
func FinalKind(history *History, kind fault.Kind) fault.Kind {
	if fault.AnswerFor(kind).Outcome != fault.NotRun {
		return kind
	}
	for _, attempt := range history.Attempts {
		if fault.AnswerFor(attempt.Kind).Outcome == fault.Unknown {
			return attempt.Kind
		}
	}
	return kind
}
