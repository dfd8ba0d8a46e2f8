// Package records holds a router's share of the idempotency records: it serves
// claims as a primary, stores records as a backup, transfers them to a new
// backup, and sends its own router's claims to the primaries. Package record
// makes the decisions; this package adds locks, calls to other routers and clocks.
package records
