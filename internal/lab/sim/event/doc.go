// Package event is the virtual time of a simulation: a queue of events that run
// one after another, in the order of their times and, at one time, in the order
// in which they were added. It is deterministic and not safe for concurrent use.
package event
