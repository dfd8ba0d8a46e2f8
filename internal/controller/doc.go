// Package controller is the role that holds the replicated state: it drives the
// consensus core, persists the log, applies commands, and, while it leads, runs
// the ownership coordinator, streams the routing table to routers and serves
// the intent API. Decisions stand in the packages below it; this package wires
// them to disks, sockets and clocks.
package controller
