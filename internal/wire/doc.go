// Package wire carries typed messages between this project's own processes over
// TCP. A frame is its length in four big-endian bytes, then that many bytes of
// msgpack.
//
// Conn sends and receives frames. Server accepts a bounded number of
// connections. Client and ServeCalls match answers to requests, with many calls
// in flight on one connection. PeerSender sends consensus messages one way and
// drops what does not fit its queue.
//
// Errors say what the caller may conclude: ErrNotSent means that nothing was
// written, so the call did not run; after ErrConnectionLost and ErrNoAnswer the
// outcome is unknown.
package wire
