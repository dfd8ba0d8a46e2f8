// Package fleet holds a router's state for each back end beyond the routing table:
// its queue, reported load, health and the age of its session, all kept in step
// with the table. It opens no connections itself: they are behind the Link
// interface, which the router's process and the simulator implement.
package fleet
