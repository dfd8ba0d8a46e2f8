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
	// SurplusIdle is for bytes on an idle connection, which was closed.
	SurplusIdle Surplus = "closed_idle"
	// SurplusBehind is for bytes behind a whole answer, whose connection was closed.
	SurplusBehind Surplus = "closed_behind_answer"
	// SurplusSkipped is for a second answer to an earlier request, which was dropped so that the one that is due was read.
	SurplusSkipped Surplus = "skipped"
	// SurplusRejected is for the answer to a request that the connection never carried: the attempt failed.
	SurplusRejected Surplus = "attempt_failed"
)
