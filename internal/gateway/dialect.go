package gateway

import (
	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
)

// Dialect names the headers between callers, gateways and instances. It changes only the names; their meaning
// is the same in each dialect.
type Dialect struct {
	// RequestID carries the caller's identifier of the attempt; the instance returns it in its answer.
	RequestID string
	// Deadline carries how long the caller waits, in milliseconds.
	Deadline string
	// ExpectInstance names the only instance that may run the request.
	ExpectInstance string
	// NotExecuted on an answer proves that the instance did not run the request.
	NotExecuted string
	// Key carries the key of a request to a keyed service.
	Key string
	// Tenant tells the instance the tenant whose API key the caller presented.
	Tenant string
	// Limit on an answer carries the number of requests per second that the instance accepts from all gateways
	// together, as a decimal number.
	Limit string
	// Leaving on an answer signals that the instance is leaving.
	Leaving string
}

// DefaultDialect is the name of the built-in dialect.
const DefaultDialect = "thorntiller"

// ownDialect returns the built-in dialect.
func ownDialect() Dialect {
	return Dialect{
		RequestID:      callerapi.HeaderRequestID,
		Deadline:       callerapi.HeaderTimeout,
		ExpectInstance: "Thorntiller-Instance",
		NotExecuted:    backendapi.HeaderRefusal,
		Key:            callerapi.HeaderKey,
		Tenant:         "Thorntiller-Tenant",
		Limit:          "Thorntiller-Limit",
		Leaving:        "Thorntiller-Leaving",
	}
}
