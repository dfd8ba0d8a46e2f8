// Package link decides which requests a process takes on while its own network link is
// nearly full. A request passes the link with its body and comes back over it with its
// answer; once more comes than the link carries, every answer waits in the queue before
// it, and connections to servers that are well time out there. It is cheaper to reject a
// request at once, by a few hundred bytes, while the caller can still be served elsewhere.
//
// The queue is modelled from the bytes of the requests that were admitted, since the
// kernel does not tell its length. It is a pure core: it reads no clock.
package link
