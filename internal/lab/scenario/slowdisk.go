package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/slowdisk"
)

const (
	// slowSync is what each sync takes on a slow disk. An election timeout, 200
	// to 400 ms by default, is well above.
	slowSync = 40 * time.Millisecond
	// slowFor and stallFor are how long the disk is slow, and then stalled.
	slowFor  = 3 * time.Second
	stallFor = 3 * time.Second
	// slowDiskOutage is the longest time without success: a stalled leader is
	// replaced as a lost one is, within an election of 0.4 s at most, while the
	// leases of 0.7 s run on.
	slowDiskOutage = failoverLimit
	// changesOnSlowDisk is how many changes are made in each of these times.
	changesOnSlowDisk = 10
	// changeLimit is within which a change that is asked for while the leader's
	// disk stalls must be accepted: the client gives up its call to that leader
	// after 2 s, finds the next one meanwhile elected, and spends one call each
	// on the plan and on its confirmation.
	changeLimit = 5 * time.Second
)

// slowDisk slows the disk of a follower down and then stalls it; then that of
// the leader. Bounds: no request fails or is held up later than 1 s after either
// begins, a change that is asked for during the stall is accepted within 5 s, all
// changes are in force at the end, and the disks did hold up syncs for that long.
func slowDisk(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	following, err := r.follower(ctx)
	if err != nil {
		return err
	}
	if err := r.onSlowDisk(ctx, "follower", following); err != nil {
		return err
	}
	leading, err := r.leader(ctx)
	if err != nil {
		return err
	}
	return r.onSlowDisk(ctx, "leader", leading)
}

// onSlowDisk lets a controller's disk be slow and then stall, and makes changes
// all the while.
func (r *run) onSlowDisk(ctx context.Context, role string, slow *fleet.Node) error {
	r.Say("each sync of %s, the %s, takes %s", slow.Name, role, slowSync)
	phases := []struct {
		name    string
		delays  slowdisk.Delays
		lasting time.Duration
	}{
		{"slow_" + role, slowdisk.Delays{Sync: slowSync}, slowFor},
		{"stalled_" + role, slowdisk.Delays{Stalled: true}, stallFor},
	}
	for _, phase := range phases {
		err := r.recoversWithin(ctx, "recovery_"+phase.name, failoverLimit, phase.lasting, func() error {
			r.Say("%s", phase.name)
			if err := r.Fleet.SteerDisk(slow, phase.delays); err != nil {
				return err
			}
			return r.changeInTime(ctx, phase.name)
		})
		if err != nil {
			return err
		}
	}
	if err := r.Fleet.SteerDisk(slow, slowdisk.Delays{}); err != nil {
		return err
	}
	if err := within(ctx, func(ctx context.Context) error { return r.returnsToGroup(ctx, slow) }); err != nil {
		return err
	}
	kept, err := r.settingsOf(ctx, changedService)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("changes_lost_"+role, float64(firstQueueLimit+r.changed-kept.QueueLimit), 0))
	return r.heldUp(role, slow)
}

// changeInTime makes changes and bounds the time until the first is accepted.
func (r *run) changeInTime(ctx context.Context, name string) error {
	asked := clock.BootTime()
	return within(ctx, func(ctx context.Context) error {
		if _, err := r.changeOften(ctx, 1); err != nil {
			return err
		}
		r.bounds = append(r.bounds, atMost("change_ms_"+name, milliseconds(clock.BootTime()-asked), milliseconds(changeLimit)))
		_, err := r.changeOften(ctx, changesOnSlowDisk)
		return err
	})
}

// heldUp demands that a disk held up a sync for as long as it was stalled.
func (r *run) heldUp(role string, slow *fleet.Node) error {
	report, err := r.Fleet.DiskReport(slow)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atLeast("longest_sync_ms_"+role, milliseconds(report.Longest), milliseconds(stallFor/2)))
	return nil
}
