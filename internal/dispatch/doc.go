// Package dispatch decides whether a request is sent to a server, waits or is
// refused. It does no I/O and reads no clock: its inputs are the routing table,
// the request's history, in-flight counts, server health and a clock reading, and
// its result is a Decision. The router process and the simulator use the same code.
package dispatch
