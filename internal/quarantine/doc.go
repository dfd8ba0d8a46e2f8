// Package quarantine keeps requests that crash their servers away from further ones.
//
// A gateway or router notes the requests whose attempts ended without an answer, and takes them for in
// flight at a crash once the instance has surely ended (Witness). The same request comes again under
// other identifiers and through other processes; it is known by its fingerprint (Hasher). The leading
// controller counts the crashes of each over all processes and puts it in quarantine after enough of
// them (Ledger); its list is part of the replicated directory, by which each process decides what it
// sends (Guard).
//
// It is a pure core: it reads no clock and is not safe for concurrent use.
package quarantine
