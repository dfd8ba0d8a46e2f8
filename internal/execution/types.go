package execution

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/table"
)

// ErrSessionEnded is the result of a queue wait when the server's session has ended. The
// request is planned again.
var ErrSessionEnded = eris.New("the server's session ended")

// Reading is the router's clock and routing table at one moment.
type Reading struct {
	// Now is a reading of the router's clock.
	Now time.Duration
	// Table is the current routing table.
	Table *table.Table
	// Fresh is true while the table is proved to be current.
	Fresh bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions, each with the method that the caller calls afterwards.
const (
	// Plan: call Plan with a new reading.
	Plan ActionKind = iota
	// Wait for a change of the routing table, but no longer than Until; then
	// call Plan, or Stopped if the router shuts down.
	Wait
	// Acquire a place in the queue of Decision.Server before the request's
	// deadline; then call Acquired.
	Acquire
	// Attempt: send the request to Decision.Server within Timeout, unless MaySend forbids
	// it; then call Answered or Withdrawn.
	Attempt
	// Cancel: ask the back end within Timeout to cancel the attempt; then call
	// Cancelled.
	Cancel
	// Finish: answer the caller at once, with Failure if it is set, else with the back
	// end's complete answer.
	Finish
)

// Event is a change of a server's health state caused by an attempt.
type Event int

// Events.
const (
	// ServerDraining: the server accepts no new requests.
	ServerDraining Event = iota
	// ServerEjected: the server gets no requests until its ejection ends.
	ServerEjected
	// ServerReadmitted: the server gets requests again.
	ServerReadmitted
)

// Action is the next step of a request.
type Action struct {
	Kind ActionKind
	// Until is set with Wait.
	Until time.Duration
	// Decision is set with Acquire and Attempt.
	Decision *dispatch.Decision
	// Timeout is set with Attempt and Cancel.
	Timeout time.Duration
	// Failure with Finish is the error for the caller, nil if the back end answered.
	// With Plan it is the failure of the attempt after which the request is sent again.
	Failure *fault.Error
	// Events are the changes of the server's health state caused by the attempt.
	Events []Event
}
