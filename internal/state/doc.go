// Package state is the replicated state machine of the controllers: services,
// servers, shards, sessions, routers, plans and receipts of earlier intents. Commands are
// typed; Apply is a pure function of the state and the command, so that every
// replica reaches the same state. Nothing in this package reads a clock,
// draws a random number or performs I/O.
//
// Apply maintains these invariants:
//   - a shard has at most one owner, and its epoch increases with each change of owner;
//   - a shard leaves its owner only after the owner released it (ReleaseShards)
//     or after the owner's session was closed (CloseSession);
//   - a session number is never used twice for one server;
//   - a revision is a log index, so it only increases and is never used twice.
package state
