package coordinator

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// planner chooses owners for shards within one tick. It counts what it gave
// away, so that a batch spreads over the servers.
type planner struct {
	view       *state.State
	contacts   map[state.ServerID]*contact
	candidates map[state.ServiceName][]*candidate
}

type candidate struct {
	server state.Server
	shards int
}

func newPlanner(view *state.State, contacts map[state.ServerID]*contact) *planner {
	return &planner{view: view, contacts: contacts, candidates: make(map[state.ServiceName][]*candidate)}
}

// choose returns the shard's target, if it can take shards, or else the server
// with the fewest shards.
func (p *planner) choose(shard state.Shard) (state.Server, bool) {
	candidates := p.candidatesOf(shard.Service)
	for _, option := range candidates {
		if option.server.ID == shard.Target {
			option.shards++
			return option.server, true
		}
	}
	var best *candidate
	for _, option := range candidates {
		if option.server.ID != shard.Owner && (best == nil || option.shards < best.shards) {
			best = option
		}
	}
	if best == nil {
		return state.Server{}, false
	}
	best.shards++
	return best.server, true
}

func (p *planner) candidatesOf(service state.ServiceName) []*candidate {
	if known, found := p.candidates[service]; found {
		return known
	}
	candidates := make([]*candidate, 0)
	for _, server := range p.view.ServersOf(service) {
		if p.takesShards(server) {
			candidates = append(candidates, &candidate{server: server, shards: p.view.OwnedCount(server.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.server.ID, b.server.ID) })
	p.candidates[service] = candidates
	return candidates
}

func (p *planner) takesShards(server state.Server) bool {
	known := p.contacts[server.ID]
	if known == nil || known.incarnation != server.Session.Incarnation {
		return false
	}
	return server.Session.Open && !leaves(server, known) && known.closing != server.Session.Number
}
