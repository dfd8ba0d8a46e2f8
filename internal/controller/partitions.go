package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// partitionKeeper gives routers their sessions and leases and places the record
// partitions, while this replica leads. The decisions are those of
// record.Placement. It is safe for concurrent use.
type partitionKeeper struct {
	replica  *replica
	interval time.Duration

	mutex     sync.Mutex
	placement *record.Placement
	// term is the leadership that the placement works for.
	term context.Context
	// cutOff are the routers that were logged as cut off.
	cutOff []state.RouterID
}

func newPartitionKeeper(settings config.Controller, r *replica) *partitionKeeper {
	return &partitionKeeper{
		replica:  r,
		interval: settings.Maintenance.Interval,
		placement: record.NewPlacement(record.PlacementSettings{
			Count:          settings.Partitions.Count,
			LeaseDuration:  settings.Partitions.LeaseDuration,
			ClockRateBound: settings.Lease.ClockRateBound,
			Margin:         settings.Lease.Margin,
		}),
	}
}

// run looks after the partitions until the context ends.
func (k *partitionKeeper) run(ctx context.Context) {
	clock.Every(ctx, k.interval, func() {
		leadership, leads := k.replica.leadershipContext()
		if !leads {
			return
		}
		commands, decided := k.due(leadership)
		if !decided {
			clock.Sleep(ctx, shortestHoldOff)
			return
		}
		for _, command := range commands {
			k.propose(ctx, leadership, command)
		}
	})
}

// propose waits for the command's end, so that nothing is proposed twice. What
// was refused or lost shows in the state at the next look.
func (k *partitionKeeper) propose(ctx, leadership context.Context, command state.Command) {
	bounded, cancel := context.WithTimeout(ctx, k.replica.settings.Consensus.ProposalTimeout)
	defer cancel()
	stop := context.AfterFunc(leadership, cancel)
	defer stop()
	if _, err := k.replica.Propose(bounded, command); err != nil {
		k.replica.log.WithError(err).Debug("partition command not applied")
	}
}

// due returns the commands that are due, and false if they could not be decided.
func (k *partitionKeeper) due(leadership context.Context) (commands []state.Command, decided bool) {
	decided = k.guarded(func() {
		k.follow(leadership)
		k.replica.view(func(view *state.State) {
			moment := record.Moment{Now: k.replica.clock.Now(), UnixMs: time.Now().UnixMilli()}
			commands = k.placement.Tick(moment, view)
			k.logCutOff(k.placement.CutOff(moment.Now, view))
		})
	})
	return commands, decided
}

// guarded runs a decision. After a panic the placement begins anew, as that of a new leader does. It reports
// false then.
func (k *partitionKeeper) guarded(decide func()) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.replica.guard("record partitions", decide) {
		return true
	}
	k.term = nil
	return false
}

// logCutOff writes a line for each router that is cut off now or no longer.
func (k *partitionKeeper) logCutOff(routers []state.RouterID) {
	for _, router := range routers {
		if !slices.Contains(k.cutOff, router) {
			telemetry.With(k.replica.log, telemetry.EventRouterCutOff).WithField("router", router).Warn("most other routers do not reach it")
		}
	}
	for _, router := range k.cutOff {
		if !slices.Contains(routers, router) {
			telemetry.With(k.replica.log, telemetry.EventRouterMet).WithField("router", router).Info("no longer cut off from other routers")
		}
	}
	k.cutOff = routers
}

// follow begins anew in each term of leadership.
func (k *partitionKeeper) follow(leadership context.Context) {
	if k.term == leadership {
		return
	}
	k.term = leadership
	k.placement.Lead(k.replica.clock.Now())
}

// grant completes the pong for a ping that a quorum round followed. It grants
// nothing once the leadership ended.
func (k *partitionKeeper) grant(stream *tableStream, ping message.Ping, pong *message.Pong) {
	k.guarded(func() { k.grantLocked(stream, ping, pong) })
}

func (k *partitionKeeper) grantLocked(stream *tableStream, ping message.Ping, pong *message.Pong) {
	if stream.leadership.Err() != nil {
		return
	}
	k.follow(stream.leadership)
	report := record.Report{
		Synced: partitionEpochs(ping.SyncedPartitions), Failed: partitionEpochs(ping.FailedBackups),
		FailedFormers: partitionEpochs(ping.FailedFormers), IgnoresFormers: !ping.KeepsFormers,
		Leaving: ping.Leaving, Stopped: ping.Stopped, Unreachable: ping.Unreachable, Revision: ping.Revision,
		Incompatible: stream.unfit(),
	}
	if stream.times != nil {
		report.Lifetime = stream.times.RecordsLifetime
	}
	k.replica.view(func(view *state.State) {
		session, lease := k.placement.HandlePing(k.replica.clock.Now(), stream.process, report, view)
		pong.Session = session
		pong.LeaseNs = int64(lease)
	})
}

func partitionEpochs(reported []message.PartitionSync) []record.PartitionEpoch {
	epochs := make([]record.PartitionEpoch, 0, len(reported))
	for _, each := range reported {
		epochs = append(epochs, record.PartitionEpoch{Number: each.Number, Epoch: each.Epoch})
	}
	return epochs
}
