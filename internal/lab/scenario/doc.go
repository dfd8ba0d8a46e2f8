// Package scenario runs the whole system as separate processes behind fault
// proxies, brings about the failures that the design must bear, and judges each
// run from the records of the stand-ins and callers. Each scenario states the
// guarantee that it proves and the bounds that it must keep; one that states no
// bound is judged by the guarantees alone. Disks can be full or lost; a slow disk
// is not injected, since that takes means outside of the processes.
package scenario
