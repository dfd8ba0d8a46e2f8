package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Fingerprint identifies the content of a request. A resend must have the same
// content as the first request with its key.
type Fingerprint [16]byte

// Status is the known state of a request.
type Status uint8

// Statuses of a record.
const (
	// Running: an attempt was granted and is not known to have ended.
	Running Status = iota + 1
	// Completed: the back end answered.
	Completed
	// Unknown: the attempt may have run.
	Unknown
	// Released: the attempt is proven not to have run; another one may.
	Released
)

// Record is the idempotency record of one request.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	// Version rises with each change of the record.
	Version uint64
	Status  Status
	// Attempt identifies the attempt that was granted last.
	Attempt string
	// Router and Session identify the router process that makes the attempt.
	Router  state.RouterID
	Session state.SessionNumber
	// Answer is set if Status is Completed.
	Answer *Answer
}

// Answer is a back end's answer, kept to answer resends.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Omitted is true if the answer was too large to be kept. Headers and Body are
	// empty then.
	Omitted bool
	// SkipBody is true if an answer to the request's method has no body.
	SkipBody bool
}

// size returns the number of bytes that count toward Settings.MaxAnswerBytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, header := range a.Headers {
		total += len(header.Name) + len(header.Value)
	}
	return total
}

// Header is one header of a kept answer.
type Header struct {
	Name  string
	Value string
}

// Claim asks for the right to run a request.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	// Attempt is unique among the attempts of all routers. A claim may be resent
	// with the same attempt as long as the attempt has not started.
	Attempt string
	Router  state.RouterID
	Session state.SessionNumber
}

// Completion reports how a claimed attempt ended: Completed, Unknown or Released.
// Releasing an attempt that was never granted keeps it from being granted when its
// claim arrives late.
type Completion struct {
	Claim  Claim
	Status Status
	Answer *Answer
}

// Verdict is the result of a claim or a completion.
type Verdict uint8

// Verdicts.
const (
	// NotPrimary: this router is not currently the partition's primary, or has no
	// valid lease. Nothing was stored.
	NotPrimary Verdict = iota
	// Granted: the attempt may run once the backup has stored the record.
	Granted
	// Stored: the completion counts as recorded once the backup has stored it.
	Stored
	// NotStored: the backup did not store the record in time. The claim or
	// completion may be resent.
	NotStored
	// AnswerKept: the request already ran and its answer is kept.
	AnswerKept
	// InProgress: another attempt is still running.
	InProgress
	// OutcomeUnknown: another attempt may have run.
	OutcomeUnknown
	// AttemptOver: this attempt was already released or is no longer the latest.
	AttemptOver
	// ContentDiffers: the key was used for a different request.
	ContentDiffers
	// TooOld: the key is older than the time for which records are kept.
	TooOld
	// FromFuture: the key's timestamp is more than ClockSkew in the future.
	FromFuture
	// RecordsLost: the key was generated before records were lost.
	RecordsLost
	// Full: the partition holds the maximum number of records.
	Full
)

// String returns the verdict's name as used in metrics.
func (v Verdict) String() string {
	names := [...]string{
		NotPrimary: "not_primary", Granted: "granted", Stored: "stored", NotStored: "not_stored",
		AnswerKept: "answer_kept", InProgress: "in_progress", OutcomeUnknown: "outcome_unknown",
		AttemptOver: "attempt_over", ContentDiffers: "content_differs", TooOld: "too_old",
		FromFuture: "from_future", RecordsLost: "records_lost", Full: "full",
	}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Moment is a simultaneous reading of a process's two clocks.
type Moment struct {
	// Now is the reading of the process's monotonic clock.
	Now time.Duration
	// UnixMs is the wall clock time, in Unix milliseconds.
	UnixMs int64
}

// Settings are the limits of a partition.
type Settings struct {
	// Lifetime is how long a record is kept after its key was generated.
	Lifetime time.Duration
	// MaxRecords is the maximum number of records in the partition.
	MaxRecords int
	// MaxAnswerBytes limits the total size of the answers kept in the partition.
	// Records beyond it are kept without their answers.
	MaxAnswerBytes int
}

// maxAgeMs returns the age up to which keys are granted. It is shorter than the
// lifetime by the clock skew, so that no router can have dropped the record already.
func (s Settings) maxAgeMs() int64 {
	const half = 2
	return max(s.Lifetime-ClockSkew, s.Lifetime/half).Milliseconds()
}

// retentionMs returns the age above which records are deleted. It is longer than the
// lifetime by the clock skew, so that every router rejects the key by then.
func (s Settings) retentionMs() int64 {
	return (s.Lifetime + ClockSkew).Milliseconds()
}

// Role is a router's role in a partition.
type Role uint8

// Roles.
const (
	// RoleNone: the router holds no copy of the partition.
	RoleNone Role = iota
	// RolePrimary: the router grants claims.
	RolePrimary
	// RoleBackup: the router stores the records that the primary sends.
	RoleBackup
)
