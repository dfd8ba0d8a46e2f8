// Package admission bounds the work that a router accepts: the requests in flight, in total and for
// each service, and for each server the requests sent at the same time, with a bounded,
// deadline-aware queue in front. A request that cannot finish in time according to the server's
// recent service times is rejected at once.
package admission
