// Package capacity measures how the use of processors, memory and network grows
// with the numbers of servers, shards and routers, and fits slopes to it. Each
// point is a run of real controllers with hollow nodes around them; parts that
// are pure are measured by themselves, at the size to design for.
package capacity
