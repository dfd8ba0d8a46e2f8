package dispatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Request holds the properties of a caller's request on which a decision depends. Times
// are readings of the router's clock.
type Request struct {
	Service state.ServiceName
	// Keyed is true if the request goes to the owner of KeyHash.
	Keyed   bool
	KeyHash uint64
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	Deadline   time.Duration
}

// Attempt is one finished attempt of a request.
type Attempt struct {
	Server state.ServerID
	// Shard and Epoch are zero for services without keys.
	Shard state.ShardID
	Epoch state.Epoch
	Kind  fault.Kind
	// EndedAt is the clock reading at the attempt's end.
	EndedAt time.Duration
	// NotBefore is the end of the back-off after this attempt.
	NotBefore time.Duration
}

// History records a request's finished attempts and its wait for an owner.
type History struct {
	Attempts []Attempt
	// Waiting is true once the request has started to wait for an owner, which it did at
	// WaitingSince.
	Waiting      bool
	WaitingSince time.Duration
}

// last returns the newest attempt.
func (h *History) last() (Attempt, bool) {
	if len(h.Attempts) == 0 {
		return Attempt{}, false
	}
	return h.Attempts[len(h.Attempts)-1], true
}

// Action is the kind of a Decision.
type Action int

// Actions of a decision.
const (
	// Send the request to Server.
	Send Action = iota
	// Wait for a change of the routing table, but no longer than Until.
	Wait
	// Refuse the request with Kind.
	Refuse
)

// Decision is the next step for a request.
type Decision struct {
	Action Action
	// Server, Shard and Epoch are set with Send. Shard and Epoch are zero for
	// services without keys.
	Server *state.Server
	Shard  state.ShardID
	Epoch  state.Epoch
	// Unfenced is true with Send when the service is observed, so that its servers do not
	// check shard and epoch.
	Unfenced bool
	// Until is set with Wait.
	Until time.Duration
	// Buffered is true with Wait when the request waits for an owner and counts against
	// the service's queue limit; false during a plain back-off.
	Buffered bool
	// Kind and Detail are set with Refuse.
	Kind   fault.Kind
	Detail string
}

// Load is a server's load as the router sees it.
type Load struct {
	// InFlight is the number of this router's own requests to the server, including
	// queued ones.
	InFlight int
	// Limit is the number of requests that the router may send to the server at the
	// same time.
	Limit int
	// Reported is the number of running and queued requests per slot that the server
	// last reported. It may be outdated or wrong, so it only breaks ties.
	Reported float64
	// Age is the time since the router learned of the server's current session.
	Age time.Duration
}

// Fleet provides the load and health of servers.
type Fleet interface {
	// Load returns the load of one server.
	Load(server *state.Server) Load
	// Choose returns the servers that should get new requests, judged by their health.
	Choose(servers []*state.Server, now time.Duration) []*state.Server
}
