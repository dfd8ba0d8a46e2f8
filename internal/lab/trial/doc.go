// Package trial runs a fleet under load while steps act on it, observes what
// is acknowledged and what is in force, and judges the run from the records of
// the stand-ins and callers alone.
package trial
