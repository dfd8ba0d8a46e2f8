// Package experiment measures ways of placing shards against each other. One
// seeded trace of requests, hot keys and server losses goes through each way,
// on a queueing model of a service: servers with slots and connections, routers
// in each zone, moves that take time. The same seed gives the same result.
//
// The ways differ in nothing but the decisions: detection of losses, handover,
// the bound of moves in flight and the deadlines are the same for all. Ours
// runs internal/placement itself.
package experiment
