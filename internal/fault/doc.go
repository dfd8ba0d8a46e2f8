// Package fault defines the closed list of error kinds and the table that maps
// each kind to its answer: the HTTP status, what is known about the request's
// execution, whether the router may resend the request, and the Retry-After
// delay. No other package defines error kinds.
package fault
