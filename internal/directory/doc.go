// Package directory holds the state by which gateways route requests: the traffic configuration as
// named, versioned items, the instances that announce themselves by heartbeats, and the owners of
// the keys of each keyed service. It is part of the replicated state: commands change it one at a
// time and in the same way on each replica. It performs no I/O and reads no clock.
//
// Invariants:
//   - the version of an item never decreases, and a dropped item keeps the version at which it was
//     dropped;
//   - a call that changes items takes effect completely or not at all;
//   - the fence of a key never decreases, and increases whenever the key gets an owner.
package directory
