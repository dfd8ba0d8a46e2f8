// Package backpressure tracks the load signals that instances send in their answers: a rate limit
// for all gateways together, a rest period for this gateway, or that the instance is leaving. The
// signals of an instance are dropped when its incarnation ends.
//
// The types of this package read no clock and are not safe for concurrent use.
package backpressure
