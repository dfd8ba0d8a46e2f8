package coordinator

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// manyClosures is the number of sessions ending at the same time from which
	// the loss is treated as that of more than a few machines. The leases of lost
	// servers end spread over a renewal interval.
	manyClosures = 16
	// closureInterval is then the minimum time between two ticks that close
	// sessions. A change of a few thousand shards makes a router copy most of its
	// table, so a few large changes take less time than many small ones.
	closureInterval = 50 * time.Millisecond
	// maxClosedShards bounds the shards that one log entry affects, except for
	// those of its last server.
	maxClosedShards = 32_768
)

// closeEndedSessions proposes the end of the sessions whose own last lease this
// tick found expired. The sessions of a lost zone are batched in a few log
// entries, so that followers and routers apply one change for many of them.
func (c *Coordinator) closeEndedSessions(now time.Duration, view *state.State, actions *Actions) {
	ended := c.closingTrackers
	c.closingTrackers = nil
	if len(ended) >= manyClosures {
		c.closeAfter = max(c.closeAfter, now+closureInterval)
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

func (c *Coordinator) proposeClosures(ended []*serverTracker, actions *Actions) {
	sessions := make([]state.CloseSession, 0, len(ended))
	for _, tracker := range ended {
		sessions = append(sessions, state.CloseSession{Server: tracker.server, Session: tracker.closingSession})
	}
	command := state.Command{CloseSessions: &state.CloseSessions{Sessions: sessions}}
	if len(sessions) == 1 {
		command = state.Command{CloseSession: &sessions[0]}
	}
	token := c.propose(actions, command)
	c.proposalTrackers[token] = ended
	for _, tracker := range ended {
		tracker.pendingSession = token
	}
}
