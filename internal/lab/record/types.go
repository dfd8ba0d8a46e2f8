package record

import "github.com/thorntiller/thorntiller/internal/fault"

// ExecutionKind tells what an Execution line says.
type ExecutionKind string

// Kinds of Execution lines.
const (
	// ExecutionStart: the request's effect took place.
	ExecutionStart ExecutionKind = "start"
	// ExecutionFinish: the request finished, and its answer goes out next.
	ExecutionFinish ExecutionKind = "finish"
	// ExecutionRefuse: the request was refused and did not execute.
	ExecutionRefuse ExecutionKind = "refuse"
)

// Execution is one line of a back end's record file.
type Execution struct {
	Kind        ExecutionKind `json:"kind"`
	Server      string        `json:"server"`
	Incarnation string        `json:"incarnation"`
	Service     string        `json:"service"`
	// Keyed is true when Shard, Epoch and Key are meant.
	Keyed bool   `json:"keyed"`
	Shard uint64 `json:"shard,string"`
	Epoch uint64 `json:"epoch,string"`
	Key   string `json:"key"`
	// Request is the caller's identifier of the logical request, the last
	// segment of the path.
	Request string `json:"request"`
	// Attempt is the caller's identifier of one attempt, from HeaderAttempt;
	// empty where the router did not forward that header.
	Attempt string `json:"attempt,omitempty"`
	// RequestID is the router's identifier of its attempt.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Repeatable     bool   `json:"repeatable"`
	// Number counts the executions of one incarnation, from 1.
	Number uint64 `json:"number"`
	// Session and LeaseEndNs are those in force at the check before execution.
	Session    uint64 `json:"session"`
	LeaseEndNs int64  `json:"lease_end_ns"`
	// Observed is true when the server ran the request by decision of its
	// team's own scripts; Shard and Epoch are then zero and no lease counts.
	Observed bool `json:"observed,omitempty"`
	// MonotonicNs of a start is the reading that the lease was checked with.
	MonotonicNs int64 `json:"monotonic_ns"`
	UnixNs      int64 `json:"unix_ns"`
	// Reason is set on refusals.
	Reason string `json:"reason,omitempty"`
}

// HeaderAttempt carries the stand-in caller's identifier of one attempt. A
// router forwards it as it does each header that it does not know.
const HeaderAttempt = "Thorntiller-Lab-Attempt"

// AttemptKind tells what an Attempt line says.
type AttemptKind string

// Kinds of Attempt lines.
const (
	// AttemptSent is written before the first byte goes out. An attempt
	// without an AttemptDone line counts as unknown.
	AttemptSent AttemptKind = "sent"
	// AttemptDone is written once the attempt ended.
	AttemptDone AttemptKind = "done"
)

// Transport tells how the exchange of an attempt ended below HTTP.
type Transport string

// Ends of an exchange.
const (
	// TransportAnswered: a whole HTTP answer came.
	TransportAnswered Transport = "answered"
	// TransportRefused: no connection was made, so nothing was sent.
	TransportRefused Transport = "refused"
	// TransportLost: the connection ended without a whole HTTP answer.
	TransportLost Transport = "lost"
	// TransportTimeout: the caller gave up waiting.
	TransportTimeout Transport = "timeout"
)

// BodyCheck is the caller's check of a completed answer.
type BodyCheck string

// Results of the check.
const (
	BodyUnchecked BodyCheck = ""
	BodyOwn       BodyCheck = "own"
	// BodyDamaged: the answer is not whole.
	BodyDamaged BodyCheck = "damaged"
	// BodyForeign: the answer is to another request.
	BodyForeign BodyCheck = "foreign"
)

// Attempt is one line of a caller's record file.
type Attempt struct {
	Kind    AttemptKind `json:"kind"`
	Caller  string      `json:"caller"`
	Attempt string      `json:"attempt"`
	// Request is the logical request, the same on each resend.
	Request        string `json:"request"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Service        string `json:"service"`
	Key            string `json:"key,omitempty"`
	Repeatable     bool   `json:"repeatable"`
	Router         string `json:"router"`
	SentNs         int64  `json:"sent_ns"`
	// ReceivedNs and the fields below are set on done lines.
	ReceivedNs int64         `json:"received_ns,omitempty"`
	Transport  Transport     `json:"transport,omitempty"`
	Outcome    fault.Outcome `json:"outcome,omitempty"`
	ErrorKind  fault.Kind    `json:"error_kind,omitempty"`
	Status     int           `json:"status,omitempty"`
	Body       BodyCheck     `json:"body,omitempty"`
	Detail     string        `json:"detail,omitempty"`
	// RetryAfterMs is the wait of the header Retry-After of a refusal; zero for
	// none.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// EventKind tells what an Event line says.
type EventKind string

// Kinds of Event lines.
const (
	// EventDrain marks that Server is to get no new work.
	EventDrain EventKind = "drain"
	// EventPlannedStop spans a planned stop of Router or Server.
	EventPlannedStop EventKind = "planned_stop"
)

// Event is one line of the fleet's events file.
type Event struct {
	Kind   EventKind `json:"kind"`
	Server string    `json:"server,omitempty"`
	// Router is the router's address as callers use it.
	Router string `json:"router,omitempty"`
	// FromNs is the time of the mark or the start of the span.
	FromNs int64 `json:"from_ns"`
	// ToNs is the end of the span or of the mark; zero for none.
	ToNs int64 `json:"to_ns,omitempty"`
}
