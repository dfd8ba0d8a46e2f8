package coordinator

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// updateServer updates a tracker from the server's replicated object.
func (c *Coordinator) updateServer(tracker *serverTracker, server state.Server) {
	gone := server.Intent == state.ServerRetired && !server.Session.Open
	tracker.service = server.Service
	tracker.sessionOpen = server.Session.Open
	if tracker.sessionOpen {
		tracker.readySession = server.Session.Number
	}
	tracker.withdrawn = !gone && (server.Withdrawn() || server.Intent != state.ServerActive)
	c.updateLeaving(tracker)
}

// updateLeaving updates the list of servers that are to give up their shards, so
// that a tick need not check every server.
func (c *Coordinator) updateLeaving(tracker *serverTracker) {
	position, listed := slices.BinarySearchFunc(c.leaving, tracker.server, compareTracker)
	switch leaving := tracker.withdrawn || tracker.draining; {
	case leaving && !listed:
		c.leaving = slices.Insert(c.leaving, position, tracker)
	case !leaving && listed:
		c.leaving = slices.Delete(c.leaving, position, position+1)
	}
}

func compareTracker(tracker *serverTracker, server state.ServerID) int {
	return cmp.Compare(tracker.server, server)
}
