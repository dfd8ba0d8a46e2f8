package room

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Asker names a gateway that asks.
type Asker string

// Number tells the requests of one gateway apart.
type Number uint64

// PlaceID names a place, or the request that waits for one.
type PlaceID struct {
	Asker  Asker
	Number Number
}

// Ask is a request for a place.
type Ask struct {
	ID PlaceID
	// Queue is where requests for the same servers wait: the pool of a service, or one holder
	// of keys.
	Queue string
	// Servers are those of which any may serve the request.
	Servers []directory.Instance
	// Urgency is the rank of its route, from 0 for the least urgent to 1.
	Urgency float64
	// TargetLeft is the time within which an answer is of full use, and DeadlineLeft that
	// until the request is given up.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Outcome is how a request that had a place ended.
type Outcome int

// Outcomes.
const (
	// Unused places were given back without a request having been sent.
	Unused Outcome = iota
	// Answered: the server answered by its own work.
	Answered
	// Failed: the server was at fault.
	Failed
	// Full: the server rejected the request for want of room, or as not its own.
	Full
)

// Valid reports whether an outcome is one of those above.
func (o Outcome) Valid() bool { return o >= Unused && o <= Full }

// End gives a place back, or ends the wait for one.
type End struct {
	ID      PlaceID
	Outcome Outcome
	// Took is how long the server needed.
	Took time.Duration
}

// Verdict is what becomes of an ask.
type Verdict int

// Verdicts.
const (
	// Granted: the request is to be sent to the server now.
	Granted Verdict = iota + 1
	// Queued: the request waits, and another answer follows.
	Queued
	// Rejected: there is no place in time.
	Rejected
	// Unknown: the keeper knows no server that the ask is for.
	Unknown
)

// Answer tells one asker what became of an ask.
type Answer struct {
	ID      PlaceID
	Verdict Verdict
	// Server has the place of a granted one.
	Server directory.InstanceID
	// Wait is when a place is expected for the next request of the queue.
	Wait time.Duration
}
