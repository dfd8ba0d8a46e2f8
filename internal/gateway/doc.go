// Package gateway is the role that routes requests by their host and path: it
// accepts callers, finds the route and the instance, sends the request on and
// passes the instance's whole answer back. What it knows of routes, instances and
// the holders of keys is the directory, which the controllers stream to it. The
// decisions stand in routing, balance and retry; this package wires them to
// sockets and clocks.
package gateway
