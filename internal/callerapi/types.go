package callerapi

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Headers of requests that a caller sends to a router.
const (
	// HeaderKey carries the key of a request to a keyed service.
	HeaderKey = "Thorntiller-Key"
	// HeaderTimeout carries the caller's timeout in milliseconds, decimal. If it is
	// absent, the service's default timeout applies.
	HeaderTimeout = "Thorntiller-Timeout-Ms"
	// HeaderIdempotencyKey carries a UUID of version 7 that is the same on each
	// resend of one logical request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeatable is RepeatableTrue or RepeatableFalse. If it is absent,
	// GET and HEAD may be repeated, and other methods may not.
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
	// HeaderOutcome is present on every answer; its value is a fault.Outcome.
	HeaderOutcome = "Thorntiller-Outcome"
	// HeaderError is present only on refusals; its value is a fault.Kind.
	HeaderError = "Thorntiller-Error"
	// HeaderRetryAfter carries the time to wait before a resend, in whole seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderKeepAlive carries "timeout=" and KeepAlive in seconds.
	HeaderKeepAlive = "Keep-Alive"
)

// KeepAlive is how long a caller may keep a connection idle before reusing it. A
// router that shuts down does not close connections that were idle for less time.
const KeepAlive = 2 * time.Second

// ContentTypeRefusal is the content type of RefusalBody.
const ContentTypeRefusal = "application/json"

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Kind fault.Kind `json:"kind"`
	// Outcome is fault.NotRun or fault.Unknown.
	Outcome fault.Outcome `json:"outcome"`
	// Detail is human-readable text.
	Detail string `json:"detail"`
	// RetryAfterMs is the time to wait before a resend, in milliseconds; zero means no
	// recommendation.
	RetryAfterMs int64 `json:"retry_after_ms"`
	// RequestID is the caller's identifier of the attempt.
	RequestID string `json:"request_id"`
}
