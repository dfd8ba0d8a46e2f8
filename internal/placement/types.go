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
	// Accepts is false for a server that is leaving, retiring or without an
	// open session: it is no target, and its shards move off.
	Accepts bool
	// ReadyAt is when the server began to accept shards, on the clock of
	// Problem.Now. A server ramps up from then on.
	ReadyAt time.Duration
}

// Shard is one shard of the service.
type Shard struct {
	ID    state.ShardID
	Range state.KeyRange
	// Owner is empty while the shard is unowned.
	Owner state.ServerID
	Epoch state.Epoch
	// Moving is true while a move of the shard is under way; it is left alone.
	Moving bool
	// Load is the smoothed load, in busy slots.
	Load float64
	// HotHash is the hash of the shard's busiest key and HotShare that key's
	// share of Load, 0 when it is not known.
	HotHash  uint64
	HotShare float64
}

// RecentMove is one move of the past, for hysteresis and the churn budget.
type RecentMove struct {
	Range state.KeyRange
	From  state.ServerID
	At    time.Duration
}

// Limits bound what a decision may do.
type Limits struct {
	// Horizon is the time over which a better balance must pay for its moves:
	// about as long as a load is expected to stay as it is.
	Horizon time.Duration
	// Window is how long moves of the past count: for MaxChurn, and since a
	// shard does not return to a server that it left within it.
	Window time.Duration
	// Handover is the expected time without an owner during one move.
	Handover time.Duration
	// MaxMoves bounds the moves in flight, those under way included.
	MaxMoves int
	// MaxChurn bounds the share of the key space that moves for the sake of
	// balance within Window; zero sets no bound.
	MaxChurn float64
	// Cooldown is how long a shard rests after a move.
	Cooldown time.Duration
	// Ramp is how long a server takes from cold to its full load.
	Ramp time.Duration
	// PayFactor is how many times its cost a change of balance must bring.
	PayFactor float64
	// MinGain is the least fall of imbalance that is worth a change.
	MinGain float64
	// Tolerance is the excess over the mean load, as a share of it, that counts
	// as even: the noise of the load estimates.
	Tolerance float64
	// ReserveUtilization is the utilization up to which servers may be loaded
	// after the loss of one zone, 0 to 1; zero leaves the reserve out.
	ReserveUtilization float64
	// ShardsPerServer is how many shards a server has on average before cold
	// neighbours are merged; twice as many stop splits.
	ShardsPerServer int
	// MinShards, if not zero, is the number of shards of the service above which
	// cold neighbours are merged, in place of ShardsPerServer.
	MinShards int
	// MergeRest is how long a shard must have been cold, and not been cut, before
	// it is merged, so that splits and merges do not alternate.
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
	defaultPayFactor          = 1.5
	defaultMinGain            = 0.03
	defaultTolerance          = 0.1
	defaultReserveUtilization = 0.9
	defaultShardsPerServer    = 32
	defaultMergeRest          = 5 * time.Minute
)

// DefaultLimits returns the limits that the product uses.
func DefaultLimits() Limits {
	return Limits{
		Horizon: defaultHorizon, Window: defaultWindow, Handover: defaultHandover, MaxMoves: defaultMaxMoves,
		Cooldown: defaultCooldown, Ramp: defaultRamp, PayFactor: defaultPayFactor, MinGain: defaultMinGain, Tolerance: defaultTolerance,
		ReserveUtilization: defaultReserveUtilization, ShardsPerServer: defaultShardsPerServer,
		MergeRest: defaultMergeRest,
	}
}

// DefaultWeights apply to a service whose weights are all zero.
var DefaultWeights = state.Weights{Imbalance: 1, Churn: 5, Unavailable: 5}

// Problem is everything that a decision rests on.
type Problem struct {
	Weights state.Weights
	Servers []Server
	Shards  []Shard
	Limits  Limits
	History []RecentMove
	// Now is a reading of the clock that ReadyAt and RecentMove.At refer to.
	Now time.Duration
}

// Reason tells why a shard moves.
type Reason string

// Reasons of a move.
const (
	// ReasonEvacuate: the owner is leaving, retiring or closed.
	ReasonEvacuate Reason = "evacuate"
	// ReasonBalance: the owner carries more load than the target.
	ReasonBalance Reason = "balance"
	// ReasonHotKey: one busy key moves alone.
	ReasonHotKey Reason = "hot_key"
	// ReasonReunite: a cold key goes back to the owner of its neighbours, to be
	// merged with them.
	ReasonReunite Reason = "reunite"
)

// Move is one change of owner. With Isolate set, only the key with the hash
// moves, after it was split off.
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
	// Cost is the predicted price of the move, in units of the weights.
	Cost float64
}

// Split proposes to cut Part out of a shard whose owner stays the same.
type Split struct {
	Shard state.ShardID
	Epoch state.Epoch
	Part  state.KeyRange
}

// Merge proposes to join two neighbours with the same owner: First comes
// directly before Second in the key space.
type Merge struct {
	First, Second state.ShardID
}

// Measure is what a decision is judged by.
type Measure struct {
	// Imbalance is the highest load / the mean load, per slot; 1 is even.
	Imbalance float64
	// Shortfall is the share of the load that would find no room if the worst
	// zone were lost; 0 when there is room for all.
	Shortfall float64
}

// Decision is what placement proposes, with its predicted effect.
type Decision struct {
	// Moves are in the order in which they should begin, within the limits.
	Moves  []Move
	Splits []Split
	Merges []Merge
	// Before and After predict the effect of Moves and of the deferred ones.
	Before, After Measure
	// Churn is the share of the key space that Moves give another owner.
	Churn float64
	// Unavailable is the expected time without an owner, summed over Moves and
	// weighted by each one's share of the keys or of the load, whichever is
	// larger.
	Unavailable time.Duration
	// Benefit and Cost are in units of the weights, for the moves that are made
	// for the sake of balance, deferred ones included.
	Benefit, Cost float64
	// Deferred counts moves that wait for the limits.
	Deferred int
}
