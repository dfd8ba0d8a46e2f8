// Package room admits requests to servers on behalf of all gateways. Gateways do not see each
// other's requests, so each of them alone knows almost nothing about the load of a server with two
// slots: queues grow at some servers while others are idle, a holder of hot keys is late for every
// caller, and a full server resets connections of requests that must not be retried. Therefore each
// server has one gateway as its keeper, which counts the requests of all gateways in flight there
// and grants places, each of them the permission to send one request. Requests wait at the keeper,
// the more urgent first. A request that cannot be answered in time is rejected at once with the
// expected time until there is capacity.
//
// A keeper's state is soft: a new keeper learns it from the next asks, and the places that its
// predecessor granted expire. Two keepers of one server fill it at most twice, which the server's
// own queue can hold. A gateway that gets no answer falls back to its own counts.
//
// The types of this package read no clock and send nothing.
package room
