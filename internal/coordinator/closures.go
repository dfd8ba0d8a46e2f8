package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// manyClosures is how many sessions end at a time when more than some
	// machines are lost. Their leases end spread over a renewal interval.
	manyClosures = 16
	// closurePace is then the least time between two ticks that close sessions.
	// A change of some thousand shards copies most of a router's table, so that
	// a few large ones are over before many small ones.
	closurePace = 50 * time.Millisecond
	// maxClosedShards bounds the shards of one entry, but for those of its last
	// server.
	maxClosedShards = 32_768
)

// closeEnded proposes the end of the sessions that this tick found to have
// ended, each by its own lease. Those of a zone go into few entries, so that
// followers and routers take one change for many of them.
func (c *Coordinator) closeEnded(now time.Duration, view *state.State, actions *Actions) {
	ended := c.ended
	c.ended = nil
	if len(ended) >= manyClosures {
		c.closeAfter = max(c.closeAfter, now+closurePace)
	}
	for len(ended) > 0 {
		count, shards := 0, 0
		for count < len(ended) && shards < maxClosedShards {
			shards += view.OwnedCount(ended[count].server)
			count++
		}
		c.proposeClosures(ended[:count], actions)
		ended = ended[count:]
	}
}

func (c *Coordinator) proposeClosures(ended []*contact, actions *Actions) {
	sessions := make([]state.CloseSession, 0, len(ended))
	for _, known := range ended {
		sessions = append(sessions, state.CloseSession{Server: known.server, Session: known.closing})
	}
	command := state.Command{CloseSessions: &state.CloseSessions{Sessions: sessions}}
	if len(sessions) == 1 {
		command = state.Command{CloseSession: &sessions[0]}
	}
	token := c.propose(actions, command)
	c.awaiting[token] = ended
	for _, known := range ended {
		known.pendingSession = token
	}
}
