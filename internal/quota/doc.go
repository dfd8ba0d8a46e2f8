// Package quota bounds the requests of each tenant, counted over all gateways together, by
// tokens. The leading controller keeps a Ledger: a token bucket for each tenant. Each
// gateway keeps Accounts: a small stock of tokens for each tenant that has callers there,
// asked for ahead of need. A request takes a token; where the stock is used up it waits for
// the way to the leader and back, and is rejected only if the leader has none left.
//
// A gateway that the leader does not answer goes on at the rate at which it last took tokens,
// lowered a little, for a bounded time. The leader keeps as much back for each gateway that
// has fallen silent, so that the sum stays within the limit whatever is cut. A new leader
// knows nothing and begins with empty buckets.
//
// Both are pure cores: they read no clock and are not safe for concurrent use.
package quota
