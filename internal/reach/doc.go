// Package reach records to which instances this process can open connections. It decides when an instance
// counts as unreachable, when all of them do because this process is cut off, and when each is probed again. It
// opens no connection itself: the caller passes in the clock reading and the results.
package reach
