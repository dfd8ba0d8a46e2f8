// Package tablestream decides what the leader sends to a router: a snapshot of the
// whole routing table, or the changes since the revision that the router holds.
// Either is limited to the subset that the router subscribes to. The controller
// process sends the result over connections, the simulator over its network.
package tablestream
