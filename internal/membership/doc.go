// Package membership decides the next membership change of a consensus group when
// a replica without a vote asks to join. It has no state and performs no I/O, so
// that the controller process and the simulator run the same decisions.
package membership
