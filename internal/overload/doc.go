// Package overload bounds the connections that clients may hold open and the memory that their requests and answers
// take, and decides which connection is evicted when either runs short: the one on whose client the process has waited
// longest. It reads no clock and no socket; the caller passes in clock readings and closes what is evicted.
package overload
