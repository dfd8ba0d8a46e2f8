package dispatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// minimumRamp is the share of load that a server gets at the start of its
// session.
const minimumRamp = 0.1

// reportWeight keeps the servers' own reports below one request of difference.
const reportWeight = 0.01

// candidate is a server with its load for each place.
type candidate struct {
	server *state.Server
	score  float64
}

func (p *Planner) planFree(now time.Duration, view *table.Table, fleet Fleet, request *Request, history *History) Decision {
	if last, found := history.last(); found && now < last.NotBefore {
		return wait(min(last.NotBefore, request.Deadline), false)
	}
	present := inService(view.Servers(request.Service), isObserved(view, request.Service))
	usable := fleet.Choose(present, now)
	if len(usable) == 0 {
		return p.awaitOwner(now, request, history, "no server of the service takes work at present")
	}
	fresh := untried(usable, history)
	if len(fresh) == 0 {
		fresh = usable
	}
	chosen := p.choose(p.localFirst(p.score(fresh, fleet)))
	return Decision{Action: Send, Server: chosen.server}
}

// inService returns the servers that may take new work.
func inService(servers []*state.Server, observed bool) []*state.Server {
	present := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if server.Intent == state.ServerActive && (server.Session.Open || observed) && !server.Withdrawn() {
			present = append(present, server)
		}
	}
	return present
}

// untried leaves out the servers that failed this request before.
func untried(servers []*state.Server, history *History) []*state.Server {
	if len(history.Attempts) == 0 {
		return servers
	}
	fresh := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if !tried(server.ID, history) {
			fresh = append(fresh, server)
		}
	}
	return fresh
}

func tried(id state.ServerID, history *History) bool {
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
		places := float64(max(1, load.Limit)) * p.ramp(load.Age)
		score := float64(load.InFlight)/places + reportWeight*min(load.Reported, 1)/places
		candidates = append(candidates, candidate{server: server, score: score})
	}
	return candidates
}

// ramp returns the share of its load that a server of the given age gets.
func (p *Planner) ramp(age time.Duration) float64 {
	if age >= p.settings.RampUp {
		return 1
	}
	return max(minimumRamp, float64(age)/float64(p.settings.RampUp))
}

// localFirst keeps the candidates of the router's own zone as long as one of
// them has room.
func (p *Planner) localFirst(candidates []candidate) []candidate {
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

// choose takes the less loaded of two candidates drawn at random.
func (p *Planner) choose(candidates []candidate) candidate {
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
