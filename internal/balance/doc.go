// Package balance decides which instance of a service gets a request: by the time
// that each needs, learned from its answers, and by how many requests this process
// has sent it and not yet seen answered. Instances that fail are left out for a
// while, but never so many that the rest could not carry the load. It is a pure
// core: the time and random numbers are given by the caller.
package balance
