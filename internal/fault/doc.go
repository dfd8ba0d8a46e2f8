// Package fault holds the closed list of error kinds and the table that maps
// each kind to its answer: HTTP status, what is known of the request's
// execution, whether the router may send the request again, and the
// Retry-After rule. No other package invents an error kind.
package fault
