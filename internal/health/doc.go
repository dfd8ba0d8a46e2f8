// Package health keeps what a router learned about its back ends from its own
// traffic: consecutive failures (passive ejection with half-open probing),
// drain refusals, and the answers of health endpoints, which may lag or lie and
// therefore are hints only. It is pure: the caller gives the clock reading.
package health
