package execution

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/table"
)

// ErrSessionEnded sends requests that wait in a server's queue back to Plan.
var ErrSessionEnded = eris.New("the server's session ended")

// Reading is what the router sees at one moment.
type Reading struct {
	// Now is a reading of the router's clock.
	Now time.Duration
	// Table is the routing table in force.
	Table *table.Table
	// Fresh is true while the table is proved current.
	Fresh bool
}

// ActionKind says what the router does next for a request.
type ActionKind int

// Kinds of actions.
const (
	// Plan: call Plan with a new reading.
	Plan ActionKind = iota
	// Wait for a change of the routing table, but no longer than Until; then
	// call Plan, or Stopped if the router's life ended.
	Wait
	// Acquire a place in the queue of Decision.Server until the request's
	// deadline; then call Acquired.
	Acquire
	// Attempt: send the request to Decision.Server within Timeout; then call
	// Answered.
	Attempt
	// Cancel: ask the back end within Timeout to give up the attempt; then call
	// Cancelled.
	Cancel
	// Finish: answer the caller at once, with the back end's whole answer or,
	// when it is set, with Failure.
	Finish
)

// Event is a change of a server's standing that an attempt brought about.
type Event int

// Events.
const (
	// ServerDraining: the server takes no new work.
	ServerDraining Event = iota
	// ServerEjected: the server gets no requests for a while.
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
	// Failure is set with Finish, nil when the back end answered. With Plan it
	// is the failure of the attempt after which the request is sent again.
	Failure *fault.Error
	// Events are what the attempt said of its server.
	Events []Event
}
