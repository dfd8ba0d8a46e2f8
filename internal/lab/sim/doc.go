// Package sim runs a whole deployment in one goroutine, on a virtual clock, a
// faulty network and modelled disks. It drives the cores that the processes
// run: consensus, the write-ahead log and snapshots, the state machine, the
// ownership coordinator, the planner, router tables and the back end's leases.
// What it adds is the plumbing in between, in the order that
// internal/controller prescribes.
//
// One seed decides a run: the clocks' rates, the network, every fault and what
// operators and callers ask for. A seed replays to the byte.
package sim
