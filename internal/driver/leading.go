package driver

import "github.com/thorntiller/thorntiller/internal/consensus"

// ObserveRole starts and stops the leader's work after a change of role. It is
// called after HandleReady. Leading starts once the state holds every acknowledged
// entry.
func (d *Driver) ObserveRole() {
	status := d.core.Status()
	leads := status.Role == consensus.RoleLeader && status.TermCommitted && status.Applied == status.Commit
	switch {
	case leads && !d.leading:
		d.leading = true
		d.coordinator.Lead(d.host.Now(), status.Term, d.host.State())
		d.coordinator.SetQuietTime(status.QuietBeforeElection)
		d.host.StartedLeading(status)
	case status.Role != consensus.RoleLeader:
		d.StopLeading()
		// The core accepts proposals before the driver starts leading.
		d.dropPending()
	}
}

// StopLeading stops the leader's work if the replica leads. It is also called when
// the process shuts down.
func (d *Driver) StopLeading() {
	if !d.leading {
		return
	}
	d.leading = false
	d.coordinator.Follow()
	clear(d.joinRequests)
	d.host.StoppedLeading()
	d.dropPending()
}
