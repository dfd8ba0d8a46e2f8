// Package controller implements the controller role, which holds the replicated
// state: it drives the consensus core, persists the log, applies commands and,
// while it leads, runs the ownership coordinator, streams the routing table to
// routers and serves the intent API. The decisions are made by the packages it
// imports; this package connects them to disks, sockets and clocks.
package controller
