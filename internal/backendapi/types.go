package backendapi

// Paths that a back end serves in addition to its own.
const (
	// PathLease takes LeaseRequest by POST and answers LeaseAnswer.
	PathLease = "/.thorntiller/lease"
	// PathCancel takes CancelRequest by POST and answers CancelAnswer.
	PathCancel = "/.thorntiller/cancel"
	// PathHealth answers 200 if the back end considers itself healthy.
	PathHealth = "/.thorntiller/health"
	// PathLoad answers LoadReport.
	PathLoad = "/.thorntiller/load"
	// PathDrain, by POST, tells the back end to refuse new requests.
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
	// HeaderTimeout carries the remaining time in milliseconds, decimal.
	HeaderTimeout = "Thorntiller-Timeout-Ms"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of a back end's answer.
const (
	// HeaderRefusal is present only if the request was not executed. Its value is one of the Refusal constants.
	HeaderRefusal = "Thorntiller-Refusal"
	// HeaderLoad carries running/slots/queued: three decimal numbers separated by
	// slashes.
	HeaderLoad = "Thorntiller-Load"
)

// Refusal is a back end's reason for not executing a request.
type Refusal string

// Refusal reasons. Each one guarantees that the request was not executed.
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
// message whose (Term, Sequence) is not above the highest that it has accepted.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// LeaseRequest renews a server's lease and, if Replace is true,
// replaces the set of shards that the server may serve with Assignments.
type LeaseRequest struct {
	Server string `json:"server"`
	Fence  Fence  `json:"fence"`
	// Incarnation identifies the server process that the message is for. It is empty
	// in a probe, which only requests the process's state.
	Incarnation string `json:"incarnation"`
	// Session is the number of the agreed session. A server drops all
	// assignments of lower sessions.
	Session uint64 `json:"session"`
	// ReadingNs is a clock reading of this server process, in nanoseconds,
	// taken from one of its earlier answers. The lease ends at ReadingNs +
	// DurationNs on the server's own clock. Zero does not renew the lease.
	ReadingNs  int64 `json:"reading_ns"`
	DurationNs int64 `json:"duration_ns"`
	// Version is the version of the desired assignment set.
	Version uint64 `json:"version"`
	// Replace is true if Assignments is the complete desired set.
	Replace     bool         `json:"replace"`
	Assignments []Assignment `json:"assignments,omitempty"`
	// Drain asks the server to accept no new requests, regardless of its assignments.
	Drain bool `json:"drain,omitempty"`
	// ReportLoads asks for LoadReport.ShardLoads in the answer. It is set every
	// few seconds rather than with each renewal, since the list is long.
	ReportLoads bool `json:"report_loads,omitempty"`
	// Observed is true while the scripts of the service's team, not the controllers,
	// decide the ownership of its keys. A server that holds a lease gives it up and
	// claims Assignments instead; a server that already has claims keeps them
	// unchanged. If Observed is false, a server with claims gives them up, regardless
	// of the session.
	Observed bool `json:"observed,omitempty"`
}

// Assignment lets a server serve one shard. First and Last bound the 64-bit
// xxhash of the key, both inclusive, as decimal strings, since JSON numbers lose
// precision beyond 53 bits.
type Assignment struct {
	Shard uint64 `json:"shard,string"`
	Epoch uint64 `json:"epoch,string"`
	First uint64 `json:"first,string"`
	Last  uint64 `json:"last,string"`
}

// LeaseAnswer is a server's state after it accepted or refused a LeaseRequest.
type LeaseAnswer struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	// Accepted is false if the fence, incarnation or session was out of date.
	Accepted bool `json:"accepted"`
	// Fence is the highest fence that the server has accepted.
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
	// Draining is true if the server refuses new requests.
	Draining bool       `json:"draining"`
	Load     LoadReport `json:"load"`
	// Observed is true while the server serves without a lease, as decided by the
	// scripts of its team: it serves Claims, or all requests if the service has no
	// keys.
	Observed bool `json:"observed,omitempty"`
	// Claims are the key ranges of an observed server; shard and epoch are zero.
	Claims []Assignment `json:"claims,omitempty"`
}

// CancelRequest asks a back end to cancel one attempt.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CancelOutcome is the result of a CancelRequest.
type CancelOutcome string

// Outcomes of a cancel.
const (
	// CancelNeverStarted guarantees that the attempt never started and never
	// will, even if it arrives later.
	CancelNeverStarted CancelOutcome = "never_started"
	CancelRunning      CancelOutcome = "running"
	CancelFinished     CancelOutcome = "finished"
)

// CancelAnswer is the answer to a CancelRequest.
type CancelAnswer struct {
	RequestID string        `json:"request_id"`
	Outcome   CancelOutcome `json:"outcome"`
}

// LoadReport is a back end's own view of its load. It may be outdated or wrong.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// ShardLoads gives the executed requests of each shard since the last
	// report, in decimal; at most MaxShardLoads entries, the busiest first. In an
	// answer to a lease message it is present only if ReportLoads was set.
	ShardLoads []ShardLoad `json:"shard_loads,omitempty"`
}

// MaxShardLoads is the maximum length of LoadReport.ShardLoads.
const MaxShardLoads = 256

// ShardLoad counts the executed requests of one shard.
type ShardLoad struct {
	Shard    uint64 `json:"shard,string"`
	Requests uint64 `json:"requests"`
	// HotHash is the hash of the busiest key and HotRequests a lower bound of its
	// requests; zero if the back end does not count by key.
	HotHash     uint64 `json:"hot_hash,omitempty,string"`
	HotRequests uint64 `json:"hot_requests,omitempty"`
}
