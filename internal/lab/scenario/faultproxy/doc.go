// Package faultproxy stands between the processes of one run and injects
// network faults into their connections. Each pair of a dialing and an accepting
// process has a proxy of its own, run inside this process by the toxiproxy
// library. A fault may act on one direction alone.
package faultproxy
