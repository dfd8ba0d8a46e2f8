// Package fleet holds what a router knows of each back end beyond the routing
// table: its queue, its reported load, its health and the age of its session,
// all of which follow the table. It opens no connections itself; those are a
// Link, which the router's process and the simulator make each in their way.
package fleet
