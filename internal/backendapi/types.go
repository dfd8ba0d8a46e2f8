package backendapi

// Paths that a back end serves besides its own.
const (
	// PathLease takes LeaseRequest by POST and answers LeaseAnswer.
	PathLease = "/.thorntiller/lease"
	// PathCancel takes CancelRequest by POST and answers CancelAnswer.
	PathCancel = "/.thorntiller/cancel"
	// PathHealth answers 200 when the back end thinks it is well.
	PathHealth = "/.thorntiller/health"
	// PathLoad answers LoadReport.
	PathLoad = "/.thorntiller/load"
	// PathDrain, by POST, tells the back end to refuse new work.
	PathDrain = "/.thorntiller/drain"
)

// Headers of requests that a router sends to a back end.
const (
	// HeaderRequestID carries the identifier of one attempt; the answer must
	// repeat it.
	HeaderRequestID = "Thorntiller-Request-Id"
	// HeaderShard and HeaderEpoch carry the fencing token in decimal. Both are
	// absent for services without keys.
	HeaderShard = "Thorntiller-Shard"
	HeaderEpoch = "Thorntiller-Epoch"
	// HeaderKey carries the key as the caller sent it.
	HeaderKey = "Thorntiller-Key"
	// HeaderTimeout carries the time left in milliseconds, decimal.
	HeaderTimeout = "Thorntiller-Timeout-Ms"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of a back end's answer.
const (
	// HeaderRefusal is present only on an answer which says that the request
	// was not executed. Its value is one of the Refusal constants.
	HeaderRefusal = "Thorntiller-Refusal"
	// HeaderLoad carries running/slots/queued, three decimals with slashes.
	HeaderLoad = "Thorntiller-Load"
)

// Refusal is a back end's reason not to execute a request.
type Refusal string

// Reasons of refusal. Each one is a promise that the request did not execute.
const (
	RefusalWrongEpoch   Refusal = "wrong_epoch"
	RefusalLeaseExpired Refusal = "lease_expired"
	RefusalDraining     Refusal = "draining"
	RefusalShedding     Refusal = "shedding"
	RefusalQueueFull    Refusal = "queue_full"
	RefusalDeadline     Refusal = "deadline"
	RefusalCancelled    Refusal = "cancelled"
)

// Fence orders the controllers' messages to one server. A server refuses a
// message whose (Term, Sequence) is not above the highest it has taken.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// LeaseRequest renews a server's lease and, when Assignments is present,
// replaces the set of shards that the server may serve.
type LeaseRequest struct {
	Server string `json:"server"`
	Fence  Fence  `json:"fence"`
	// Incarnation is the server process that the message is meant for. Empty
	// in a probe, which only asks for the process's state.
	Incarnation string `json:"incarnation"`
	// Session is the number of the agreed session. A server drops every
	// assignment of a lower session.
	Session uint64 `json:"session"`
	// ReadingNs is a clock reading of this server process, in nanoseconds,
	// taken from one of its earlier answers. The lease ends at ReadingNs +
	// DurationNs on the server's own clock. Zero renews nothing.
	ReadingNs  int64 `json:"reading_ns"`
	DurationNs int64 `json:"duration_ns"`
	// Version numbers the wanted assignment set.
	Version uint64 `json:"version"`
	// Replace is true when Assignments is the whole wanted set.
	Replace     bool         `json:"replace"`
	Assignments []Assignment `json:"assignments,omitempty"`
	// Drain asks the server to take no new work, whatever its assignments.
	Drain bool `json:"drain,omitempty"`
	// ReportLoads asks for LoadReport.ShardLoads in the answer. It comes every
	// few seconds rather than with each renewal, since the list is long.
	ReportLoads bool `json:"report_loads,omitempty"`
	// Observed is true while the team's own scripts decide about the service's
	// ownership. A server that holds a lease gives it up and claims Assignments
	// instead; one that claims already goes on as it is. Without Observed, a
	// server that claims gives up its claims, whatever the session.
	Observed bool `json:"observed,omitempty"`
}

// Assignment lets a server serve one shard. First and Last bound the 64-bit
// xxhash of the key, both included, in decimal strings, since JSON numbers
// lose precision beyond 53 bits.
type Assignment struct {
	Shard uint64 `json:"shard,string"`
	Epoch uint64 `json:"epoch,string"`
	First uint64 `json:"first,string"`
	Last  uint64 `json:"last,string"`
}

// LeaseAnswer is a server's state after it took, or refused, a LeaseRequest.
type LeaseAnswer struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	// Accepted is false when the fence, incarnation or session was out of date.
	Accepted bool `json:"accepted"`
	// Fence is the highest that the server has taken.
	Fence   Fence  `json:"fence"`
	Session uint64 `json:"session"`
	// ClockNs is the server process's monotonic clock, in nanoseconds.
	ClockNs int64 `json:"clock_ns"`
	// Version is the version of the assignment set in force.
	Version uint64 `json:"version"`
	// Running lists shards that are no longer assigned but still execute
	// requests. A shard counts as released once Version is in force and the
	// shard is not in this list.
	Running []Assignment `json:"running,omitempty"`
	// Draining is true when the server refuses new work.
	Draining bool       `json:"draining"`
	Load     LoadReport `json:"load"`
	// Observed is true while the server serves Claims, or everything if the
	// service has no keys, by decision of its team's own scripts and without a
	// lease.
	Observed bool `json:"observed,omitempty"`
	// Claims are the key ranges of an observed server; shard and epoch are zero.
	Claims []Assignment `json:"claims,omitempty"`
}

// CancelRequest asks a back end to give up one attempt.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CancelOutcome is what became of an attempt that was to be cancelled.
type CancelOutcome string

// Outcomes of a cancel.
const (
	// CancelNeverStarted promises that the attempt never started and never
	// will, also if it arrives later.
	CancelNeverStarted CancelOutcome = "never_started"
	CancelRunning      CancelOutcome = "running"
	CancelFinished     CancelOutcome = "finished"
)

// CancelAnswer answers CancelRequest.
type CancelAnswer struct {
	RequestID string        `json:"request_id"`
	Outcome   CancelOutcome `json:"outcome"`
}

// LoadReport is a back end's own view of its load. It may lag or mislead.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// ShardLoads gives the executed requests of each shard since the last
	// report, in decimal; at most MaxShardLoads entries, the busiest first. In an
	// answer to a lease message it is there only if ReportLoads asked for it.
	ShardLoads []ShardLoad `json:"shard_loads,omitempty"`
}

// MaxShardLoads bounds LoadReport.ShardLoads.
const MaxShardLoads = 256

// ShardLoad counts the executed requests of one shard.
type ShardLoad struct {
	Shard    uint64 `json:"shard,string"`
	Requests uint64 `json:"requests"`
	// HotHash is the hash of the busiest key and HotRequests a lower bound of its
	// requests; zero when the back end does not count by key.
	HotHash     uint64 `json:"hot_hash,omitempty,string"`
	HotRequests uint64 `json:"hot_requests,omitempty"`
}
