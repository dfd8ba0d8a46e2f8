// Package record implements the decisions about idempotency records, which let a
// request that must not be repeated run at most once.
//
// Partition is one router's copy of one partition of the records, as primary or
// as backup. Placement runs on the leading controller and decides which routers
// have sessions and which of them hold which partition. Both are deterministic:
// they take inputs and clock readings, return typed results, and use no
// goroutines, locks or I/O.
//
// The guarantee rests on these rules:
//
//   - The primary grants a claim only after the backup has stored the record at
//     the same epoch. A backup rejects epochs lower than the highest it has seen,
//     and a promoted backup has seen the new epoch before it grants claims.
//   - A primary without a backup grants claims only while its lease is valid, and
//     the controllers replace it only after that lease has certainly expired.
//   - A record is deleted only after every router rejects its key as too old.
//   - After a loss of records, keys generated before the loss are never granted.
package record
