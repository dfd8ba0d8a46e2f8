// Package retry decides whether and when a router sends a request again by
// itself: which failures allow it, a back-off with jitter, a bound on attempts,
// and a budget that keeps resends to a share of fresh requests. It is pure: it
// reads no clock and draws random numbers only from the source it is given.
package retry
