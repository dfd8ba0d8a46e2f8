// Package directory holds what routers by route need to know: the traffic
// configuration as named items with versions, the instances of each service that
// announced themselves by heartbeats, and which instance holds which keys of a
// keyed service. It is a part of the replicated state: commands change it, one at
// a time, the same way on each replica. It performs no I/O and reads no clock.
//
// Invariants:
//   - the version of an item never falls, and a dropped item keeps the version at
//     which it was dropped;
//   - a call that changes items takes effect whole or not at all;
//   - the fence of a key never falls, and rises whenever the key gets an owner.
package directory
