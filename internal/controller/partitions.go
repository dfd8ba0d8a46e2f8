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

// partitionManager grants sessions and leases to routers and places the record partitions while this replica
// leads. The decisions are made by record.Placement. It is safe for concurrent use.
type partitionManager struct {
	replica  *replica
	interval time.Duration

	mutex     sync.Mutex
	placement *record.Placement
	// leadership is the term of leadership for which placement holds state.
	leadership context.Context
	// loggedCutOff lists the routers that were last logged as cut off.
	loggedCutOff []state.RouterID
}

func newPartitionManager(settings config.Controller, r *replica) *partitionManager {
	return &partitionManager{
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

// run proposes the due commands at each interval until the context ends.
func (m *partitionManager) run(ctx context.Context) {
	clock.Every(ctx, m.interval, func() {
		leadership, leads := m.replica.leadershipContext()
		if !leads {
			return
		}
		commands, decided := m.dueCommands(leadership)
		if !decided {
			clock.Sleep(ctx, minBackoff)
			return
		}
		for _, command := range commands {
			m.propose(ctx, leadership, command)
		}
	})
}

// propose waits for the command's outcome, so that nothing is proposed twice. The next interval decides again
// from the state if a command was rejected or lost.
func (m *partitionManager) propose(ctx, leadership context.Context, command state.Command) {
	proposalContext, cancel := context.WithTimeout(ctx, m.replica.settings.Consensus.ProposalTimeout)
	defer cancel()
	stop := context.AfterFunc(leadership, cancel)
	defer stop()
	if _, err := m.replica.Propose(proposalContext, command); err != nil {
		m.replica.log.WithError(err).Debug("partition command not applied")
	}
}

// dueCommands returns the commands to propose now, or false if deciding on them panicked.
func (m *partitionManager) dueCommands(leadership context.Context) (commands []state.Command, decided bool) {
	decided = m.guarded(func() {
		m.startTermIfNew(leadership)
		m.replica.view(func(view *state.State) {
			moment := record.Moment{Now: m.replica.clock.Now(), UnixMs: time.Now().UnixMilli()}
			commands = m.placement.Tick(moment, view)
			m.logCutOff(m.placement.CutOff(moment.Now, view))
		})
	})
	return commands, decided
}

// guarded runs a decision and reports false if it panicked. After a panic the placement starts over like that
// of a new leader.
func (m *partitionManager) guarded(decide func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.replica.guard("record partitions", decide) {
		return true
	}
	m.leadership = nil
	return false
}

// logCutOff logs each router that became cut off or is no longer cut off.
func (m *partitionManager) logCutOff(routers []state.RouterID) {
	for _, router := range routers {
		if !slices.Contains(m.loggedCutOff, router) {
			telemetry.With(m.replica.log, telemetry.EventRouterCutOff).WithField("router", router).Warn("router is unreachable from most other routers")
		}
	}
	for _, router := range m.loggedCutOff {
		if !slices.Contains(routers, router) {
			telemetry.With(m.replica.log, telemetry.EventRouterMet).WithField("router", router).Info("router is no longer cut off from other routers")
		}
	}
	m.loggedCutOff = routers
}

// startTermIfNew resets the placement when the leadership term has changed. The mutex must be held.
func (m *partitionManager) startTermIfNew(leadership context.Context) {
	if m.leadership == leadership {
		return
	}
	m.leadership = leadership
	m.placement.Lead(m.replica.clock.Now())
}

// grant adds the session and the lease to the pong for a ping that was followed by a quorum round. It grants
// nothing after the end of the leadership.
func (m *partitionManager) grant(stream *tableStream, ping message.Ping, pong *message.Pong) {
	m.guarded(func() { m.grantLocked(stream, ping, pong) })
}

func (m *partitionManager) grantLocked(stream *tableStream, ping message.Ping, pong *message.Pong) {
	if stream.leadership.Err() != nil {
		return
	}
	m.startTermIfNew(stream.leadership)
	report := record.Report{
		Synced: partitionEpochs(ping.SyncedPartitions), Failed: partitionEpochs(ping.FailedBackups),
		FailedFormers: partitionEpochs(ping.FailedFormers), IgnoresFormers: !ping.KeepsFormers,
		Leaving: ping.Leaving, Stopped: ping.Stopped, Unreachable: ping.Unreachable, Revision: ping.Revision,
		Incompatible: stream.mustDenySession(),
	}
	if stream.times != nil {
		report.Lifetime = stream.times.RecordsLifetime
	}
	m.replica.view(func(view *state.State) {
		session, lease := m.placement.HandlePing(m.replica.clock.Now(), stream.routerInfo, report, view)
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
