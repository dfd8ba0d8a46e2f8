package driver

import (
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
)

// ConsensusConfig returns the consensus core's configuration from a controller's
// settings. The seed is chosen at random at each start.
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

// CoordinatorConfig returns the ownership coordinator's configuration from a
// controller's settings.
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
