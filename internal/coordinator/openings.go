package coordinator

import "github.com/thorntiller/thorntiller/internal/state"

// maxOpenings bounds the sessions of one entry.
const maxOpenings = 1024

// openAnswering proposes sessions for the servers that this tick found to answer
// without one. Those of a new service, or of a zone that is back, go into few
// entries, so that followers and routers take one change for many of them.
func (c *Coordinator) openAnswering(actions *Actions) {
	opening, openers := c.opening, c.openers
	c.opening, c.openers = nil, nil
	for len(opening) > 0 {
		count := min(len(opening), maxOpenings)
		c.proposeOpenings(opening[:count], openers[:count], actions)
		opening, openers = opening[count:], openers[count:]
	}
}

func (c *Coordinator) proposeOpenings(opening []state.OpenSession, openers []*contact, actions *Actions) {
	command := state.Command{OpenSessions: &state.OpenSessions{Sessions: opening}}
	if len(opening) == 1 {
		command = state.Command{OpenSession: &opening[0]}
	}
	token := c.propose(actions, command)
	c.awaiting[token] = openers
	for _, known := range openers {
		known.pendingSession = token
	}
}
