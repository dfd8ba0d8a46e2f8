// Package lease is the back end's side of ownership as docs/BACKEND.md
// describes it: leases, sessions, fences, assignment sets and the check at the
// moment of execution. It is a pure core: callers pass clock readings in, so
// that the stand-in back end and the simulator drive the same code. A Holder is
// not safe for concurrent use.
package lease
