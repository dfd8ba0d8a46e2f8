// Package balance chooses the instance of a service that gets a request, by the service time of each
// instance, learned from its answers, and by the number of requests of this process that are in flight to
// it. Failing instances are ejected for a while, but never so many that the rest could not carry the load.
// The package reads no clock and draws no random numbers; the caller passes them.
package balance
