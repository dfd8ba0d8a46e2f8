package driver

import (
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
)

// ConsensusConfig returns what a controller's settings ask of the consensus
// core. The seed is drawn at random at each start.
func ConsensusConfig(settings config.Consensus, id consensus.ReplicaID, seed uint64) consensus.Config {
	return consensus.Config{
		ID:                  id,
		ElectionTicks:       settings.ElectionTicks,
		HeartbeatTicks:      settings.HeartbeatTicks,
		MaxAppendBytes:      settings.MaxAppendBytes,
		MaxInflight:         settings.MaxInflight,
		MaxUncommittedBytes: settings.MaxUncommittedBytes,
		Seed:                seed,
		TickInterval:        settings.TickInterval,
	}
}

// CoordinatorConfig returns what a controller's settings ask of the ownership
// coordinator.
func CoordinatorConfig(settings config.Lease) coordinator.Config {
	return coordinator.Config{
		LeaseDuration:  settings.Duration,
		RenewInterval:  settings.RenewInterval,
		ClockRateBound: settings.ClockRateBound,
		Margin:         settings.Margin,
		RoundInterval:  coordinator.DefaultRoundInterval,
		MaxBatch:       coordinator.DefaultMaxBatch,
	}
}
