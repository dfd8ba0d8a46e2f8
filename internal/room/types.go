package room

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Asker identifies a gateway that asks for places.
type Asker string

// Number distinguishes the requests of one gateway.
type Number uint64

// PlaceID identifies a place, or the request that waits for one.
type PlaceID struct {
	Asker  Asker
	Number Number
}

// Ask is a request for a place.
type Ask struct {
	ID PlaceID
	// Queue names the queue that requests for the same servers share: the pool of a service, or one
	// holder of keys.
	Queue string
	// Servers are the servers any one of which may serve the request.
	Servers []directory.Instance
	// Urgency is the rank of the request's route, from 0 for the least urgent to 1.
	Urgency float64
	// TargetLeft is the time left until the target latency, within which an answer is of full use,
	// and DeadlineLeft the time left until the request is abandoned.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Outcome is the result of a request that had a place.
type Outcome int

// Outcomes.
const (
	// Unused: no request was sent, or it ended for a reason unrelated to the server, such as a caller
	// that left.
	Unused Outcome = iota
	// Answered: the server processed the request.
	Answered
	// Failed: the server was at fault.
	Failed
	// Full: the server rejected the request for lack of capacity, or because it does not hold the
	// key.
	Full
)

// Valid reports whether the outcome is one of the above.
func (o Outcome) Valid() bool { return o >= Unused && o <= Full }

// End returns a place, or ends the wait for one.
type End struct {
	ID      PlaceID
	Outcome Outcome
	// Took is the time from sending the request to its answer.
	Took time.Duration
}

// Verdict is the decision on an ask.
type Verdict int

// Verdicts.
const (
	// Granted: the request may be sent to the server now.
	Granted Verdict = iota + 1
	// Queued: the request waits; another answer follows.
	Queued
	// Rejected: no place is expected in time.
	Rejected
	// Unknown: the keeper knows no server for the ask, or its ID already holds a place.
	Unknown
)

// Answer is the decision on an ask, for one asker.
type Answer struct {
	ID      PlaceID
	Verdict Verdict
	// Server is the server to use if the verdict is Granted.
	Server directory.InstanceID
	// Wait is the expected wait of the next request of the queue for a place.
	Wait time.Duration
}
