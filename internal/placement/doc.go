// Package placement decides which server is to own which shard. It weighs
// three measures by the service's weights: imbalance of load, churn of key
// ownership, and time without an owner.
//
// Decide proposes moves that pay for themselves; Assign chooses owners for
// shards that have none; Estimator turns lagging and misleading load reports
// into loads. All of it is pure: inputs and a clock reading in, typed values
// out, the same for the same input. Nothing here reads a clock or does I/O.
//
// Loads are in busy slots: the mean number of slots that a shard's requests
// keep busy. Only ratios of loads matter to the balance, so that requests per
// second serve as well while requests cost about the same; the reserve for the
// loss of a zone needs busy slots and is left out otherwise.
package placement
