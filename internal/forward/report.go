package forward

import "sync/atomic"

// ConnectionReport is what an attempt met on its connection, for the log.
type ConnectionReport struct {
	// Number tells the connections of this process apart; zero for none.
	Number uint64 `json:"connection,omitempty"`
	// Requests is the number of requests that the connection has carried, with that of the attempt.
	Requests int `json:"connection_requests,omitempty"`
	// SurplusAnswers and SurplusBytes count the answers to earlier requests that were skipped, and their size.
	SurplusAnswers int `json:"surplus_answers,omitempty"`
	SurplusBytes   int `json:"surplus_bytes,omitempty"`
	// LeftOverBytes is the number of bytes that had arrived behind the whole answer.
	LeftOverBytes int `json:"left_over_bytes,omitempty"`
}

// lastConnection is the number of the connection that was opened last.
var lastConnection atomic.Uint64

// Surplus is what a client did about bytes of a back end that belong to no request in flight.
type Surplus string

const (
	// SurplusIdle: they arrived on an idle connection, which was closed.
	SurplusIdle Surplus = "closed_idle"
	// SurplusBehind: they arrived behind a whole answer, whose connection was closed.
	SurplusBehind Surplus = "closed_behind_answer"
	// SurplusSkipped: a second answer to an earlier request arrived in place of the one that was due, which was read after it.
	SurplusSkipped Surplus = "skipped"
	// SurplusRejected: an answer of another request arrived in place of the one that was due, and the attempt failed.
	SurplusRejected Surplus = "attempt_failed"
)
