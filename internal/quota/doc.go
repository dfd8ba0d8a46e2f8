// Package quota enforces rate limits across all gateways with token buckets: the limit of each
// tenant that has one, and the limit that an instance advertises for itself. The leading controller
// keeps a Ledger, with one bucket for each subject, a tenant or an instance. Each gateway keeps
// Accounts, the tokens that it holds of each subject. A request takes a token. If the gateway has
// none, the request waits for one round trip to the leader, and is rejected only if the leader has
// no token left.
//
// A Policy determines how tokens are granted. Gateways prefetch a small stock of a tenant's tokens.
// An instance's limit is low and must hold within seconds, so its tokens are requested only for
// requests that already wait, and the last ones in the bucket are reserved for the most urgent.
//
// While the leader does not answer, a gateway continues for a bounded time at slightly less than
// the rate at which it last took tokens. The leader reserves the same rate for each gateway that
// stops reporting, so the sum stays within the limit under any network partition. A new leader has
// no state and starts with empty buckets.
//
// The types of this package read no clock and are not safe for concurrent use.
package quota
