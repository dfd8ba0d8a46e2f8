package driver

import "github.com/thorntiller/thorntiller/internal/consensus"

// ObserveRole starts and ends the work that only a leader does. It follows
// HandleReady. Leading begins once the state holds every acknowledged entry.
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
		// The core takes proposals before leading begins here.
		d.dropPending()
	}
}

// StopLeading ends the leader's work, if the replica leads, as when the process
// stops.
func (d *Driver) StopLeading() {
	if !d.leading {
		return
	}
	d.leading = false
	d.coordinator.Follow()
	clear(d.joining)
	d.host.StoppedLeading()
	d.dropPending()
}
