// Package records keeps a router's share of the idempotency records: it serves
// claims as a primary, stores records as a backup, transfers them to a new
// backup, and carries the claims of its own router to the primaries. The
// decisions are those of package record; this package adds locks, calls to
// other routers and clocks.
package records
