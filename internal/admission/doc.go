// Package admission bounds the work that a router takes on: requests in flight
// for each service and in all, and for each server the requests sent at the
// same time with a bounded, deadline-aware queue in front. What cannot finish
// in time by the server's recent service times is refused at once.
package admission
