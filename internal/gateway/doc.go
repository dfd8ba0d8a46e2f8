// Package gateway routes HTTP requests by their host and path: it accepts callers, finds the route and the
// instance, forwards the request and returns the complete answer of the instance. Routes, instances and
// holders of keys come from the directory, which the controllers stream to it. The decisions are made in
// routing, balance and retry; this package connects them to sockets and clocks.
package gateway
