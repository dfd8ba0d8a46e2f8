package scenario

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func controllerScenarios() []Scenario {
	return []Scenario{
		{Name: "kill-leader", Proves: "an acknowledged assignment survives the loss of the leading controller", steps: killLeader},
		{Name: "pause-leader", Proves: "a controller that is paused across an election and comes back grants nothing: one owner at any time",
			shape: shape{duration: 12 * time.Second}, steps: pauseLeader},
		{Name: "cut-leader", Proves: "a control machine that is cut off in silence for long is replaced, and does no harm when heard again",
			shape: shape{duration: 18 * time.Second}, steps: cutLeader},
		{Name: "cut-leader-sending", Proves: "a leader whose messages are lost in silence, one way, is replaced",
			shape: shape{duration: 14 * time.Second}, steps: cutLeaderSending},
		{Name: "cut-leader-receiving", Proves: "a leader that hears nothing, one way, gives up its leadership",
			shape: shape{duration: 14 * time.Second}, steps: cutLeaderReceiving},
		{Name: "slow-control", Proves: "late messages between controllers and routers break no guarantee",
			shape: shape{duration: 12 * time.Second, limits: trial.Limits{MaxUnavailable: time.Second}}, steps: slowControl},
		{Name: "lost-disk", Proves: "a controller that lost its disk joins anew, and a second loss right after the repair is borne",
			shape: shape{duration: 20 * time.Second}, steps: lostDisk},
		{Name: "restart-controllers", Proves: "after hundreds of changes all controllers restart with what was accepted and acknowledged",
			shape: shape{duration: 22 * time.Second}, steps: restartControllers},
	}
}

// killLeader kills the leading controller under load and starts it again.
// Bound: no request fails or is held up later than 1 s after the loss.
func killLeader(ctx context.Context, r *run) error {
	leading, err := r.settledLeader(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", failoverLimit, 4*time.Second, func() error {
		r.Say("killing %s, which leads", leading.Name)
		leading.Process.Kill()
		return nil
	})
	if err != nil {
		return err
	}
	return within(ctx, r.RestartDead)
}

// pauseLeader pauses the leader for 4 s, moves a key under its successor, and
// resumes it. Bound: requests recover within 1 s of the pause.
func pauseLeader(ctx context.Context, r *run) error {
	leading, err := r.settledLeader(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", failoverLimit, 4*time.Second, func() error {
		r.Say("pausing %s, which leads", leading.Name)
		leading.Process.Freeze()
		return within(ctx, func(ctx context.Context) error { return r.newLeader(ctx, leading) })
	})
	if err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	r.Say("resuming %s", leading.Name)
	leading.Process.Thaw()
	return r.sleep(ctx, settle)
}

func (r *run) moveHotKey(ctx context.Context) error {
	r.Say("moving the hot key")
	return r.MoveKey(ctx, keyedService, trial.HotKey(paylink()))
}

// cutLeader cuts the leader off both ways for 10 s. Bound: requests recover
// within 1 s.
func cutLeader(ctx context.Context, r *run) error {
	return r.cutLeaderBy(ctx, 10*time.Second, r.network.CutOff)
}

// cutLeaderSending loses what the leader sends for 5 s. Bound: requests recover
// within 1 s.
func cutLeaderSending(ctx context.Context, r *run) error {
	return r.cutLeaderBy(ctx, 5*time.Second, r.network.CutSending)
}

// cutLeaderReceiving loses what the leader is sent for 5 s. Bound: requests
// recover within 1 s.
func cutLeaderReceiving(ctx context.Context, r *run) error {
	return r.cutLeaderBy(ctx, 5*time.Second, r.network.CutReceiving)
}

// cutLeaderBy cuts the leader off, waits for its successor, moves a key and
// heals the network. The leader still reaches the back ends meanwhile, which is
// the harder case: its renewals must stop by its own account.
func (r *run) cutLeaderBy(ctx context.Context, lasting time.Duration, cut func(string) error) error {
	leading, err := r.settledLeader(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery", failoverLimit, lasting, func() error {
		r.Say("cutting off %s, which leads", leading.Name)
		if err := cut(leading.Name); err != nil {
			return err
		}
		return within(ctx, func(ctx context.Context) error { return r.newLeader(ctx, leading) })
	})
	if err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	r.Say("healing the network")
	r.network.Heal()
	return r.sleep(ctx, settle)
}

// slowControl delays every message between controllers, and between routers and
// controllers, by up to 60 ms for 6 s, and moves a key meanwhile.
func slowControl(ctx context.Context, r *run) error {
	const latencyMs, jitterMs = 30, 30
	among := func(link faultproxy.Link) bool { return link.From != faultproxy.Anyone }
	for _, direction := range []faultproxy.Direction{faultproxy.Upstream, faultproxy.Downstream} {
		if err := r.network.Add(faultproxy.Delay(direction, latencyMs, jitterMs), among); err != nil {
			return err
		}
	}
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	if err := within(ctx, r.moveHotKey); err != nil {
		return err
	}
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	r.network.Heal()
	return r.sleep(ctx, settle)
}

// lostDisk stops a follower, deletes its data folder and starts it again under
// its address. Once it votes anew, the leader is killed at once. Bound: requests
// recover within 1 s of that second loss.
func lostDisk(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, settle); err != nil {
		return err
	}
	broken, err := r.follower(ctx)
	if err != nil {
		return err
	}
	before, err := r.memberID(ctx, broken.Name)
	if err != nil {
		return err
	}
	r.Say("%s loses its disk", broken.Name)
	if err := broken.Process.Stop(stepTimeout); err != nil {
		return err
	}
	if err := os.RemoveAll(broken.DataFolder); err != nil {
		return eris.Wrap(err, "delete a data folder")
	}
	if err := r.Fleet.StartController(broken); err != nil {
		return err
	}
	if err := within(ctx, func(ctx context.Context) error { return r.votesAnew(ctx, broken.Name, before) }); err != nil {
		return err
	}
	leading, err := r.leader(ctx)
	if err != nil {
		return err
	}
	err = r.recoversWithin(ctx, "recovery_second_loss", failoverLimit, 3*time.Second, func() error {
		r.Say("%s votes again; killing %s, which leads", broken.Name, leading.Name)
		leading.Process.Kill()
		return nil
	})
	if err != nil {
		return err
	}
	return within(ctx, r.RestartDead)
}

// votesAnew waits until a controller is a voter under another identifier and
// its old identity is gone.
func (r *run) votesAnew(ctx context.Context, name string, before consensus.ReplicaID) error {
	return fleet.WaitFor(ctx, name+" to vote under a new identity", func() bool {
		members, err := r.Fleet.Client().Members(ctx)
		if err != nil || len(members) != controllers {
			return false
		}
		for _, member := range members {
			if member.Learner || (member.Name == name && member.ID == before) {
				return false
			}
		}
		return true
	})
}

func (r *run) memberID(ctx context.Context, name string) (consensus.ReplicaID, error) {
	members, err := r.Fleet.Client().Members(ctx)
	if err != nil {
		return 0, err
	}
	for _, member := range members {
		if member.Name == name {
			return member.ID, nil
		}
	}
	return 0, eris.Errorf("%s is no member", name)
}

// restartControllers makes hundreds of configuration changes, kills every
// controller and starts all of them again. Bounds: a snapshot was taken, the
// last change is in force, and requests recover within 5 s of the start.
func restartControllers(ctx context.Context, r *run) error {
	const changes, restartLimit = 300, 5 * time.Second
	r.Say("changing the configuration %d times", changes)
	last, err := r.changeOften(ctx, changes)
	if err != nil {
		return err
	}
	snapshots, err := r.snapshotCount()
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atLeast("snapshots", float64(snapshots), 1))
	err = r.recoversWithin(ctx, "recovery", restartLimit, 6*time.Second, func() error {
		r.Say("killing every controller and starting them again")
		for _, controller := range r.Fleet.Controllers {
			controller.Process.Kill()
		}
		return within(ctx, r.RestartDead)
	})
	if err != nil {
		return err
	}
	kept, err := r.settingsOf(ctx, last.Name)
	if err != nil {
		return err
	}
	r.bounds = append(r.bounds, atMost("changes_lost", float64(last.Settings.QueueLimit-kept.QueueLimit), 0))
	return nil
}
