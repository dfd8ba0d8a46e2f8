// Package load sends requests in a closed loop, to a router or directly to back
// ends, and measures how long each took.
package load
