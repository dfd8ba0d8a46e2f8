// Package wire carries typed messages between this project's own processes over
// TCP. A frame is four big-endian bytes, then the message in msgpack. The lower 31
// bits of the four bytes are the length of what follows; the highest bit is set if
// it is compressed with DEFLATE.
//
// Conn sends and receives frames. Server accepts a bounded number of
// connections. Client and ServeCalls match answers to requests, with many calls
// in flight on one connection. PeerSender sends consensus messages one way and
// drops what does not fit its queue.
//
// Errors tell the caller what is known of the outcome: ErrNotSent means that the
// request was not written, so the call did not run; after ErrConnectionLost and
// ErrNoAnswer the outcome is unknown.
package wire
