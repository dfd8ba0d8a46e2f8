package sim

import (
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/state"
)

// readPlatform lets a leader record what the platform's list says of servers.
func (r *replica) readPlatform() {
	if !r.driver.Leading() {
		return
	}
	for _, change := range r.platformChanges() {
		r.driver.Propose(driver.Proposal{Command: state.Command{SetLeaving: &change}, Done: func(driver.Outcome) {}})
	}
}

// platformChanges compares the list with the servers that are known.
func (r *replica) platformChanges() []state.SetLeaving {
	var changes []state.SetLeaving
	for _, server := range r.state.Servers() {
		if leaving := r.sim.leaving[server.ID]; server.Leaving != leaving {
			changes = append(changes, state.SetLeaving{Server: server.ID, Leaving: leaving})
		}
	}
	return changes
}
