// Package quarantine keeps requests that crash their servers away from further ones.
//
// A gateway notes the requests whose attempts ended without an answer, and takes them for in flight
// at a crash once the instance has surely ended (Witness). The same request comes again under other
// identifiers and through other gateways; it is known by its fingerprint (Hasher).
//
// It is a pure core: it reads no clock and is not safe for concurrent use.
package quarantine
