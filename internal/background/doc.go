// Package background runs the loops of a process so that a panic in one of them is logged at once and does not leave a
// process that lives without the loop's work.
package background
