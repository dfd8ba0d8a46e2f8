// Package tablestream decides what a leader sends a router of the routing table:
// the whole table, or the changes that lead on from what the router holds; of
// either, the part that the router subscribes to. The controller process sends it
// by connections, the simulator by its network.
package tablestream
