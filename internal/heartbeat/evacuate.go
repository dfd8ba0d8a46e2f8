package heartbeat

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Keys are revoked from the holders in an evacuated zone as from draining instances: in parts, while
// the remaining keys are served, but without waiting for the next heartbeats of the holders.

// hasKeysToEvacuate reports whether an instance of an evacuated zone owns keys that are not revoked
// yet.
func (c *Core) hasKeysToEvacuate(id directory.InstanceID, index *index, view *directory.Directory) bool {
	instance, found := view.Instance(id)
	if !found || !view.Evacuated(instance.Zone) {
		return false
	}
	return slices.ContainsFunc(index.owned[id], func(holding directory.Holding) bool { return !holding.Revoked })
}

// drainEvacuated revokes keys from the holders in evacuated zones.
func (d *draft) drainEvacuated() {
	index := d.core.index(d.layout.Service, d.view)
	owners := make([]directory.InstanceID, 0, len(index.owned))
	for owner := range index.owned {
		if state, tracked := d.core.heartbeats[owner]; tracked && state.inSequence && d.core.hasKeysToEvacuate(owner, index, d.view) {
			owners = append(owners, owner)
		}
	}
	slices.Sort(owners)
	for _, owner := range owners {
		d.drain(owner, d.core.heartbeats[owner].drainingFor(d.now))
	}
}
