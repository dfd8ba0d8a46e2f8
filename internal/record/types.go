package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Fingerprint identifies the content of a request: a resend must have the
// content of the first.
type Fingerprint [16]byte

// Status is what is known of a request.
type Status uint8

// Statuses of a record.
const (
	// Running: an attempt was granted and has not ended as far as is known.
	Running Status = iota + 1
	// Completed: the back end answered.
	Completed
	// Unknown: the attempt may have run.
	Unknown
	// Released: it is proved that the attempt did not run; another may.
	Released
)

// Record is what is kept of one request.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	// Version rises with each change of the record.
	Version uint64
	Status  Status
	// Attempt names the attempt that was granted last.
	Attempt string
	// Router and Session name the router that makes the attempt.
	Router  state.RouterID
	Session state.SessionNumber
	// Answer is set with Completed.
	Answer *Answer
}

// Answer is a back end's answer as it is kept for resends.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Omitted is true when the answer was too large to be kept; then Headers and
	// Body are empty.
	Omitted bool
	// SkipBody is true when the answer has no body by its method.
	SkipBody bool
}

// size returns the bytes that count towards Settings.MaxAnswerBytes.
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
	// Attempt is unique among all attempts of all routers. A claim may be sent
	// again with the same attempt, as long as the attempt did not begin.
	Attempt string
	Router  state.RouterID
	Session state.SessionNumber
}

// Completion tells how a claimed attempt ended: Completed, Unknown or Released.
// Released of an attempt that was never granted keeps it from being granted
// later, when its claim arrives late.
type Completion struct {
	Claim  Claim
	Status Status
	Answer *Answer
}

// Verdict is the answer to a claim or a completion.
type Verdict uint8

// Verdicts.
const (
	// NotPrimary: this router is not the partition's primary at present, or has
	// no valid lease. Nothing was stored.
	NotPrimary Verdict = iota
	// Granted: the attempt may run, once the record is on the backup.
	Granted
	// Stored: the completion is recorded, once it is on the backup.
	Stored
	// NotStored: the backup did not take the record in time. The claim or
	// completion may be sent again.
	NotStored
	// AnswerKept: the request ran before; its answer is known.
	AnswerKept
	// InProgress: another attempt still runs.
	InProgress
	// OutcomeUnknown: another attempt may have run.
	OutcomeUnknown
	// AttemptOver: this attempt was given up before.
	AttemptOver
	// ContentDiffers: the key was used with another request.
	ContentDiffers
	// TooOld: the key is older than records are kept.
	TooOld
	// FromFuture: the key was drawn later than any clock could say.
	FromFuture
	// RecordsLost: the key was drawn before records were lost.
	RecordsLost
	// Full: the partition holds as many records as it may.
	Full
)

// String returns the verdict's name in metrics.
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

// Moment is a reading of a process's two clocks.
type Moment struct {
	// Now is the process's monotonic clock.
	Now time.Duration
	// UnixMs is the wall clock, in Unix milliseconds.
	UnixMs int64
}

// Settings bound a partition.
type Settings struct {
	// Lifetime is how long after its key was drawn a record is kept.
	Lifetime time.Duration
	// MaxRecords bounds the records of the partition.
	MaxRecords int
	// MaxAnswerBytes bounds the kept answers of the partition together; beyond
	// it, records are kept without their answers.
	MaxAnswerBytes int
}

// maxAgeMs is the age up to which keys are granted: shorter than the lifetime
// by what clocks may differ, so that no router has dropped the record before.
func (s Settings) maxAgeMs() int64 {
	const half = 2
	return max(s.Lifetime-ClockSkew, s.Lifetime/half).Milliseconds()
}

func (s Settings) retentionMs() int64 {
	return (s.Lifetime + ClockSkew).Milliseconds()
}

// Role is a router's part in a partition.
type Role uint8

// Roles.
const (
	// RoleNone: the router holds no records of the partition.
	RoleNone Role = iota
	// RolePrimary: the router grants claims.
	RolePrimary
	// RoleBackup: the router stores what the primary sends.
	RoleBackup
)
