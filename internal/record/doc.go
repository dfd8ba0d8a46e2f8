// Package record holds the decisions about idempotency records, by which a
// request that may not be repeated runs at most once.
//
// Partition is one router's copy of one partition of the records, as primary or
// as backup. Placement is what the leading controller decides: which routers
// have sessions, and which of them hold which partition. Both are pure: they
// take inputs and clock readings and give typed results, and have no
// goroutines, locks or I/O.
//
// The guarantee rests on these rules:
//
//   - The primary grants a claim only after the backup stored the record at the
//     same epoch. A backup refuses an epoch below the highest that it knows, and
//     a promoted backup knows the new epoch before it grants.
//   - A primary without a backup grants only while its lease lasts, and the
//     controllers replace it only once that lease has surely ended.
//   - A record is never deleted before every router refuses its key for its age.
//   - After a loss of records, keys drawn before the loss are never granted.
package record
