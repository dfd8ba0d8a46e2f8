// Package quarantine stops requests that crash their servers from being sent to more servers.
//
// A gateway or router records the attempts that ended without an answer. Once it is proved that the
// instance has ended, it treats them as in flight at a crash (CrashDetector). The same request may be
// sent again under other identifiers and through other processes, so it is recognised by its fingerprint
// (Hasher). The leading controller counts the crashes of each request over all processes and, after
// enough of them, puts it in quarantine (Ledger). The list of suspects is part of the replicated
// directory, and each process uses it to decide what it sends (Guard).
//
// The package does no I/O, reads no clock and is not safe for concurrent use, except for Hasher.
package quarantine
