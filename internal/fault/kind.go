package fault

import "time"

// Kind names one class of failure. The list is closed: every kind has a row in
// the answer table, and a test checks each row.
type Kind string

// Kinds of failure on the request path.
const (
	// InvalidRequest: the caller's request is malformed.
	InvalidRequest Kind = "invalid_request"
	// Unauthenticated: the request has no known API key.
	Unauthenticated Kind = "unauthenticated"
	// QuotaExceeded: the tenant exceeded its quota.
	QuotaExceeded Kind = "quota_exceeded"
	// UnknownService: no service of that name is configured.
	UnknownService Kind = "unknown_service"
	// ServiceNotRouted: this router's settings exclude the service.
	ServiceNotRouted Kind = "service_not_routed"
	// NoOwner: the shard of the key currently has no owner.
	NoOwner Kind = "no_owner"
	// WrongEpoch: the back end does not own the shard at the epoch in the request.
	WrongEpoch Kind = "wrong_epoch"
	// LeaseExpired: the back end's lease expired before execution started.
	LeaseExpired Kind = "lease_expired"
	// Draining: the back end is draining and accepts no new requests.
	Draining Kind = "draining"
	// Shedding: the back end refused the request to shed load.
	Shedding Kind = "shedding"
	// QueueFull: a bounded queue of the router or the back end was full.
	QueueFull Kind = "queue_full"
	// RateLimited: the service's admission limit was reached.
	RateLimited Kind = "rate_limited"
	// LinkCongested: the router's own network link is nearly saturated, so the request was
	// not accepted.
	LinkCongested Kind = "link_congested"
	// MemoryExhausted: no memory is left for the request beside those of other callers, so it was
	// not accepted.
	MemoryExhausted Kind = "memory_exhausted"
	// ServerLimited: the request rate limit that the server announced is used up.
	ServerLimited Kind = "server_limited"
	// ServerResting: the server rejected a request and asked this gateway to send none for some time.
	ServerResting Kind = "server_resting"
	// RequestQuarantined: servers crashed while they executed the same request before, so it is
	// not sent to any server.
	RequestQuarantined Kind = "request_quarantined"
	// RequestOnProbation: servers crashed while they executed the same request before, so it is sent one
	// attempt at a time, and another attempt is under way.
	RequestOnProbation Kind = "request_on_probation"
	// ConnectFailed: no connection was established, so nothing was sent.
	ConnectFailed Kind = "connect_failed"
	// SocketUnavailable: this machine lacked a descriptor, a port or memory for a connection, so
	// nothing was sent; it says nothing of the back end.
	SocketUnavailable Kind = "socket_unavailable"
	// DeadlineBeforeStart: the deadline passed before execution started.
	DeadlineBeforeStart Kind = "deadline_before_start"
	// CancelledBeforeStart: the back end acknowledged a cancel as "never started".
	CancelledBeforeStart Kind = "cancelled_before_start"
	// DeadlineExceeded: the deadline passed while the outcome was unknown.
	DeadlineExceeded Kind = "deadline_exceeded"
	// ConnectionLost: the connection broke after the first byte was sent.
	ConnectionLost Kind = "connection_lost"
	// AnswerTruncated: the back end's answer ended early.
	AnswerTruncated Kind = "answer_truncated"
	// AnswerDropped: this router had no memory left for the answer, which says nothing of the back end.
	AnswerDropped Kind = "answer_dropped"
	// AnswerMismatched: the answer carried another request's identifier.
	AnswerMismatched Kind = "answer_mismatched"
	// StaleRouter: the router cannot prove its configuration is current.
	StaleRouter Kind = "stale_router"
	// RouterStopping: the router is shutting down and accepts no new requests.
	RouterStopping Kind = "router_stopping"
	// RecordUnavailable: the idempotency record could not be stored, so the
	// request was not dispatched.
	RecordUnavailable Kind = "record_unavailable"
	// RecordLost: an earlier request with this Idempotency-Key may have run,
	// but its record is gone.
	RecordLost Kind = "record_lost"
	// KeyExpired: the Idempotency-Key is older than the record lifetime.
	KeyExpired Kind = "key_expired"
	// KeyReused: the Idempotency-Key was used before with another request.
	KeyReused Kind = "key_reused"
	// DuplicateInProgress: the first request with this Idempotency-Key is still
	// running and did not finish before this one's deadline.
	DuplicateInProgress Kind = "duplicate_in_progress"
	// OutcomeUnknown: the first request with this Idempotency-Key ended with
	// an unknown outcome, which is also the answer to the resend.
	OutcomeUnknown Kind = "outcome_unknown"
)

// Kinds of failure on the intent API.
const (
	// InvalidArgument: a field of the intent is invalid.
	InvalidArgument Kind = "invalid_argument"
	// NotFound: the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict: the request identifier was used before with other content.
	Conflict Kind = "conflict"
	// IntentExpired: the intent's identifier is as old as identifiers that are no longer
	// stored, so it is unknown whether the intent was already carried out.
	IntentExpired Kind = "intent_expired"
	// StalePlan: the state that the plan is based on has changed.
	StalePlan Kind = "stale_plan"
	// NotLeader: this controller replica is not the leader.
	NotLeader Kind = "not_leader"
	// Unavailable: the controllers cannot reach a quorum.
	Unavailable Kind = "unavailable"
	// Unauthorized: the operator does not have permission for this call.
	Unauthorized Kind = "unauthorized"
	// Internal: a defect of this program.
	Internal Kind = "internal"
)

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	// NotRun is used only if it is proved that the request did not execute.
	NotRun Outcome = "not_run"
	// Completed means the back end answered.
	Completed Outcome = "completed"
	// Unknown means that the request may or may not have executed.
	Unknown Outcome = "unknown"
)

// Answer is the row of the answer table for one kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is what the caller may conclude about execution.
	Outcome Outcome
	// Resend is true if the router may resend the request on its own.
	// It is true only for kinds whose outcome is NotRun.
	Resend bool
	// RetryAfter is the value of the Retry-After header; zero means that the
	// header is not sent.
	RetryAfter time.Duration
}

const (
	retrySoon  = 1 * time.Second
	retryLater = 2 * time.Second
)

var answers = map[Kind]Answer{
	InvalidRequest:       {Status: 400, Outcome: NotRun},
	Unauthenticated:      {Status: 401, Outcome: NotRun},
	QuotaExceeded:        {Status: 429, Outcome: NotRun, RetryAfter: retrySoon},
	UnknownService:       {Status: 404, Outcome: NotRun},
	ServiceNotRouted:     {Status: 421, Outcome: NotRun},
	NoOwner:              {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	WrongEpoch:           {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	LeaseExpired:         {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	Draining:             {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	Shedding:             {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retryLater},
	QueueFull:            {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retryLater},
	LinkCongested:        {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	MemoryExhausted:      {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	RateLimited:          {Status: 429, Outcome: NotRun, RetryAfter: retryLater},
	ServerLimited:        {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	ServerResting:        {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	RequestQuarantined:   {Status: 503, Outcome: NotRun},
	RequestOnProbation:   {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	ConnectFailed:        {Status: 502, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	SocketUnavailable:    {Status: 503, Outcome: NotRun, Resend: true, RetryAfter: retrySoon},
	DeadlineBeforeStart:  {Status: 504, Outcome: NotRun, RetryAfter: retrySoon},
	CancelledBeforeStart: {Status: 504, Outcome: NotRun, RetryAfter: retrySoon},
	DeadlineExceeded:     {Status: 504, Outcome: Unknown, RetryAfter: retrySoon},
	ConnectionLost:       {Status: 502, Outcome: Unknown, RetryAfter: retrySoon},
	AnswerTruncated:      {Status: 502, Outcome: Unknown, RetryAfter: retrySoon},
	AnswerDropped:        {Status: 502, Outcome: Unknown, RetryAfter: retrySoon},
	AnswerMismatched:     {Status: 502, Outcome: Unknown, RetryAfter: retrySoon},
	StaleRouter:          {Status: 503, Outcome: NotRun, RetryAfter: retryLater},
	RouterStopping:       {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	RecordUnavailable:    {Status: 503, Outcome: NotRun, RetryAfter: retrySoon},
	RecordLost:           {Status: 409, Outcome: Unknown},
	KeyExpired:           {Status: 409, Outcome: Unknown},
	KeyReused:            {Status: 422, Outcome: NotRun},
	DuplicateInProgress:  {Status: 409, Outcome: Unknown, RetryAfter: retrySoon},
	OutcomeUnknown:       {Status: 409, Outcome: Unknown},

	InvalidArgument: {Status: 400, Outcome: NotRun},
	NotFound:        {Status: 404, Outcome: NotRun},
	Conflict:        {Status: 409, Outcome: NotRun},
	StalePlan:       {Status: 409, Outcome: NotRun},
	IntentExpired:   {Status: 409, Outcome: NotRun},
	NotLeader:       {Status: 421, Outcome: NotRun, RetryAfter: retrySoon},
	Unavailable:     {Status: 503, Outcome: Unknown, RetryAfter: retrySoon},
	Unauthorized:    {Status: 403, Outcome: NotRun},
	Internal:        {Status: 500, Outcome: Unknown},
}

// AnswerFor returns the table row of a kind. A kind outside the closed list
// gets the row of Internal.
func AnswerFor(kind Kind) Answer {
	answer, found := answers[kind]
	if !found {
		return answers[Internal]
	}
	return answer
}

// Kinds returns every kind of the closed list, in no fixed order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}
