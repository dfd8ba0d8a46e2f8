package coordinator

import "github.com/thorntiller/thorntiller/internal/state"

// maxOpenings bounds the sessions that one log entry opens.
const maxOpenings = 1024

// openSessions proposes sessions for the servers that this tick found answering
// without one. The sessions of a new service or of a recovered zone are batched in
// a few log entries, so that followers and routers apply one change for many of
// them.
func (c *Coordinator) openSessions(actions *Actions) {
	sessions, trackers := c.sessionsToOpen, c.openingTrackers
	c.sessionsToOpen, c.openingTrackers = nil, nil
	for len(sessions) > 0 {
		count := min(len(sessions), maxOpenings)
		c.proposeOpenings(sessions[:count], trackers[:count], actions)
		sessions, trackers = sessions[count:], trackers[count:]
	}
}

func (c *Coordinator) proposeOpenings(sessions []state.OpenSession, trackers []*serverTracker, actions *Actions) {
	command := state.Command{OpenSessions: &state.OpenSessions{Sessions: sessions}}
	if len(sessions) == 1 {
		command = state.Command{OpenSession: &sessions[0]}
	}
	token := c.propose(actions, command)
	c.proposalTrackers[token] = trackers
	for _, tracker := range trackers {
		tracker.pendingSession = token
	}
}
