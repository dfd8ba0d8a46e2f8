package heartbeat

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The keys of an evacuated zone are taken from their holders like those of instances that
// leave, a part at a time, while the others are served. They do not wait for the next
// heartbeats of their holders.

// leavesZone reports whether an instance of an evacuated zone holds keys that are still to
// be taken away.
func (c *Core) leavesZone(id directory.InstanceID, index *index, view *directory.Directory) bool {
	instance, found := view.Instance(id)
	if !found || !view.Evacuated(instance.Zone) {
		return false
	}
	return slices.ContainsFunc(index.owned[id], func(holding directory.Holding) bool { return !holding.Revoked })
}

// drainEvacuated takes keys from the holders in evacuated zones.
func (d *draft) drainEvacuated() {
	index := d.core.index(d.layout.Service, d.view)
	owners := make([]directory.InstanceID, 0, len(index.owned))
	for owner := range index.owned {
		if known, met := d.core.contacts[owner]; met && known.inSequence && d.core.leavesZone(owner, index, d.view) {
			owners = append(owners, owner)
		}
	}
	slices.Sort(owners)
	for _, owner := range owners {
		d.drain(owner, d.core.contacts[owner].drains(d.now))
	}
}
