// Package caller is a stand-in for the callers of both deployments: a load
// generator that is bounded in rate, count and time, sends through several
// routers, resends with the same Idempotency-Key, checks that each answer is
// whole and its own, and records each attempt.
package caller
