package callerapi

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Headers of requests that a caller sends to a router.
const (
	// HeaderKey carries the key of a request to a keyed service.
	HeaderKey = "Thorntiller-Key"
	// HeaderTimeout carries the time that the caller allows, in milliseconds,
	// decimal. Absent: the service's default timeout applies.
	HeaderTimeout = "Thorntiller-Timeout-Ms"
	// HeaderIdempotencyKey carries a UUID of version 7 that is the same on each
	// resend of one logical request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable is RepeatableTrue or RepeatableFalse. Absent: GET and
	// HEAD may be repeated, other methods may not.
	HeaderRepeatable = "Thorntiller-Repeatable"
	// HeaderRequestID carries the caller's identifier of one attempt. The
	// answer repeats it.
	HeaderRequestID = "Thorntiller-Request-Id"
)

// Values of HeaderRepeatable.
const (
	RepeatableTrue  = "true"
	RepeatableFalse = "false"
)

// Headers of the router's answers.
const (
	// HeaderOutcome is on each answer; its value is a fault.Outcome.
	HeaderOutcome = "Thorntiller-Outcome"
	// HeaderError is only on refusals; its value is a fault.Kind.
	HeaderError = "Thorntiller-Error"
	// HeaderRetryAfter carries the whole seconds to wait before a resend.
	HeaderRetryAfter = "Retry-After"
	// HeaderKeepAlive carries "timeout=" and KeepAlive in seconds.
	HeaderKeepAlive = "Keep-Alive"
)

// KeepAlive is how long a caller may keep a connection idle and then use it
// again. A router that stops closes no connection that was idle for less.
const KeepAlive = 2 * time.Second

// ContentTypeRefusal is the content type of RefusalBody.
const ContentTypeRefusal = "application/json"

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Kind fault.Kind `json:"kind"`
	// Outcome is fault.NotRun or fault.Unknown.
	Outcome fault.Outcome `json:"outcome"`
	// Detail is plain text for people.
	Detail string `json:"detail"`
	// RetryAfterMs is the wait in milliseconds; zero gives no advice.
	RetryAfterMs int64 `json:"retry_after_ms"`
	// RequestID is the caller's identifier of the attempt.
	RequestID string `json:"request_id"`
}
