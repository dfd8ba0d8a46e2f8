// Package membership decides the next change of a group of replicas when a
// replica without a vote asks to join. It is pure: the controller process and
// the simulator drive the same decision.
package membership
