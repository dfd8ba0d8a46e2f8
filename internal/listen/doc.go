// Package listen opens the TCP listeners of a process. It waits for conditions that pass, on which a process that ended
// would only be started again later: an address that another process still holds or that the machine does not have yet,
// and no file descriptor left.
package listen
