package coordinator

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// noteServer takes over what the state says about a server.
func (c *Coordinator) noteServer(known *contact, server state.Server) {
	gone := server.Intent == state.ServerRetired && !server.Session.Open
	known.service = server.Service
	known.open = server.Session.Open
	if known.open {
		known.openedAs = server.Session.Number
	}
	known.withdrawn = !gone && (server.Withdrawn() || server.Intent != state.ServerActive)
	c.noteLeaving(known)
}

// noteLeaving keeps the list of servers that are to give up their shards, so
// that a tick need not look at all of them.
func (c *Coordinator) noteLeaving(known *contact) {
	position, listed := slices.BinarySearchFunc(c.leaving, known.server, compareContact)
	switch leaves := known.withdrawn || known.draining; {
	case leaves && !listed:
		c.leaving = slices.Insert(c.leaving, position, known)
	case !leaves && listed:
		c.leaving = slices.Delete(c.leaving, position, position+1)
	}
}

func compareContact(known *contact, server state.ServerID) int {
	return cmp.Compare(known.server, server)
}
