// Package placement decides which server should own which shard. It weighs three
// costs by the service's weights: imbalance of load, churn of key ownership, and
// time without an owner.
//
// Decide proposes moves, splits and merges; Assign chooses owners for shards that
// have none; Estimator smooths load reports, which may be late or wrong. The
// package is deterministic: it neither reads a clock nor does I/O, and the same
// inputs and clock readings give the same results.
//
// Loads are in busy slots: the mean number of slots that the requests of a shard
// occupy. Balancing depends on ratios of loads only, so requests per second work
// as well while all requests cost about the same. The reserve for the loss of a
// zone needs loads in busy slots and must be turned off otherwise.
package placement
