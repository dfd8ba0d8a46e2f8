// Package retry decides whether and when a router automatically resends a request: which failures permit a
// resend, a back-off with jitter, a limit on attempts, and a budget that limits resends to a share of fresh
// requests. The package reads no clock and draws no random numbers; the caller passes them.
package retry
