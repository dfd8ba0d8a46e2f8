// Package bench measures, in one run, what a request through a router costs
// against a direct call to the same back end, how long a silent loss of a
// server leaves its keys without an owner, and how long an accepted
// configuration needs to be in force everywhere.
package bench
