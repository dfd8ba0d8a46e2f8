// Package network is the faulty network of a simulation. Datagrams may be lost,
// delayed, duplicated and reordered; pipes keep their order, as TCP connections
// do, but stall while their link is cut. Links are cut one way, in silence.
package network
