package placement

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Server is one server of the service.
type Server struct {
	ID    state.ServerID
	Zone  string
	Slots int
	// Accepts is false for a server that is leaving, retiring or without an open
	// session: it gets no shards, and those that it owns are moved off.
	Accepts bool
	// ReadyAt is when the server began to accept shards, on the clock of
	// Problem.Now. Its ramp starts then.
	ReadyAt time.Duration
}

// Shard is one shard of the service.
type Shard struct {
	ID    state.ShardID
	Range state.KeyRange
	// Owner is empty while the shard is unowned.
	Owner state.ServerID
	Epoch state.Epoch
	// Moving is true while a move of the shard is in progress. The shard is not
	// moved, split or merged then.
	Moving bool
	// Load is the smoothed load, in busy slots.
	Load float64
	// HotHash is the hash of the shard's busiest key and HotShare that key's
	// share of Load, 0 if it is not known.
	HotHash  uint64
	HotShare float64
}

// RecentMove is a past move. It counts towards hysteresis (Cooldown and Window) and
// the churn budget.
type RecentMove struct {
	Range state.KeyRange
	From  state.ServerID
	At    time.Duration
}

// Limits bounds what a decision may do.
type Limits struct {
	// Horizon is the time within which the benefit of a better balance must exceed
	// the cost of its moves: about as long as loads are expected to stay the same.
	Horizon time.Duration
	// Window is how long past moves count: towards MaxChurn, and because a shard
	// does not return to a server that it left within Window.
	Window time.Duration
	// Handover is the expected time without an owner during one move.
	Handover time.Duration
	// MaxMoves bounds the concurrent moves, including those already in progress.
	MaxMoves int
	// MaxChurn bounds the share of the key space that moves for balance within
	// Window; zero means no bound.
	MaxChurn float64
	// Cooldown is the time after a move in which a shard is not moved again for
	// balance.
	Cooldown time.Duration
	// Ramp is the time over which a server is ramped up to its full load.
	Ramp time.Duration
	// MinBenefitRatio is the lowest ratio of benefit to cost at which moves are
	// made for balance.
	MinBenefitRatio float64
	// MinGain is the lowest reduction of imbalance and shortfall at which moves are
	// made for balance.
	MinGain float64
	// Tolerance is the excess of a server's utilization over the mean, as a share
	// of the mean, that counts as balanced: the noise of the load estimates.
	Tolerance float64
	// ReserveUtilization is the utilization, 0 to 1, up to which servers may be
	// loaded after the loss of one zone; zero turns the reserve off.
	ReserveUtilization float64
	// ShardsPerServer is the mean number of shards per server above which cold
	// neighbours are merged. At twice this number, shards are no longer split.
	ShardsPerServer int
	// MinShards, if not zero, replaces ShardsPerServer for merges: the number of
	// shards of the service above which cold neighbours are merged.
	MinShards int
	// MergeRest is how long a shard must have been cold, and not been split,
	// before it is merged, so that splits and merges do not alternate.
	MergeRest time.Duration
}

// Defaults of Limits.
const (
	defaultHorizon            = 20 * time.Minute
	defaultWindow             = time.Hour
	defaultHandover           = 50 * time.Millisecond
	defaultMaxMoves           = 8
	defaultCooldown           = 5 * time.Minute
	defaultRamp               = 30 * time.Second
	defaultMinBenefitRatio    = 1.5
	defaultMinGain            = 0.03
	defaultTolerance          = 0.1
	defaultReserveUtilization = 0.9
	defaultShardsPerServer    = 32
	defaultMergeRest          = 5 * time.Minute
)

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		Horizon: defaultHorizon, Window: defaultWindow, Handover: defaultHandover, MaxMoves: defaultMaxMoves,
		Cooldown: defaultCooldown, Ramp: defaultRamp, MinBenefitRatio: defaultMinBenefitRatio,
		MinGain: defaultMinGain, Tolerance: defaultTolerance,
		ReserveUtilization: defaultReserveUtilization, ShardsPerServer: defaultShardsPerServer,
		MergeRest: defaultMergeRest,
	}
}

// DefaultWeights apply to a service whose weights are all zero.
var DefaultWeights = state.Weights{Imbalance: 1, Churn: 5, Unavailable: 5}

// Problem is the complete input of a decision.
type Problem struct {
	Weights state.Weights
	Servers []Server
	Shards  []Shard
	Limits  Limits
	History []RecentMove
	// Now is a reading of the clock that ReadyAt and RecentMove.At refer to.
	Now time.Duration
}

// Reason is why a shard moves.
type Reason string

// Reasons of a move.
const (
	// ReasonEvacuate: the owner is leaving, retiring or closed.
	ReasonEvacuate Reason = "evacuate"
	// ReasonBalance: the owner carries more load than the target.
	ReasonBalance Reason = "balance"
	// ReasonHotKey: one busy key moves alone.
	ReasonHotKey Reason = "hot_key"
	// ReasonReunite: a cold narrow shard moves to the owner of its neighbour, to be
	// merged with it.
	ReasonReunite Reason = "reunite"
)

// Move is one change of owner. If Isolate is set, only the key with the hash Hash
// moves, after it is split off.
type Move struct {
	Shard   state.ShardID
	Epoch   state.Epoch
	From    state.ServerID
	To      state.ServerID
	Isolate bool
	Hash    uint64
	Range   state.KeyRange
	Load    float64
	Reason  Reason
	// Cost is the predicted cost of the move, in units of the weights.
	Cost float64
}

// Split proposes to split Part off a shard. The owner stays the same.
type Split struct {
	Shard state.ShardID
	Epoch state.Epoch
	Part  state.KeyRange
}

// Merge proposes to merge two neighbours with the same owner. First is directly
// before Second in the key space.
type Merge struct {
	First, Second state.ShardID
}

// Measure holds the quantities that a decision improves.
type Measure struct {
	// Imbalance is the highest utilization of a server divided by the mean
	// utilization; 1 is perfectly balanced.
	Imbalance float64
	// Shortfall is the share of the load that would exceed ReserveUtilization if
	// the worst zone were lost; 0 if there is capacity for all of it.
	Shortfall float64
}

// Decision holds the proposed changes with their predicted effect.
type Decision struct {
	// Moves are in the order in which they should start, within the limits.
	Moves  []Move
	Splits []Split
	Merges []Merge
	// Before and After are the present measure and the predicted one after Moves
	// and the deferred moves. Moves with ReasonReunite are not part of the
	// prediction.
	Before, After Measure
	// Churn is the share of the key space whose owner Moves change.
	Churn float64
	// Unavailable is the expected time without an owner, summed over Moves except
	// those with ReasonReunite and weighted by each one's share of the keys or of
	// the load, whichever is larger.
	Unavailable time.Duration
	// Benefit and Cost, in units of the weights, are those of the moves for
	// balance, including deferred ones.
	Benefit, Cost float64
	// Deferred is the number of planned moves that the limits do not allow yet.
	Deferred int
}
