package cli

import (
	"errors"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// ExitCode is the program's exit status.
type ExitCode int

// Exit codes. docs/EXIT_CODES.md is made from ExitCodes.
const (
	ExitOK          ExitCode = 0
	ExitFailure     ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitStalePlan   ExitCode = 3
	ExitConflict    ExitCode = 4
	ExitUnavailable ExitCode = 5
	ExitUnknown     ExitCode = 6
)

// ExitCodeRow describes one exit code for operators.
type ExitCodeRow struct {
	Code    ExitCode
	Meaning string
	Remedy  string
}

// ExitCodes returns every exit code in order.
func ExitCodes() []ExitCodeRow {
	return []ExitCodeRow{
		{ExitOK, "The command did what it was asked.", "None is needed."},
		{ExitFailure, "The command failed for another reason than those below.", "Read the message on the standard error stream."},
		{ExitUsage, "A flag, an argument or a file is wrong, or the named object does not exist. Nothing was changed.", "Correct what the message names."},
		{ExitStalePlan, "The state that the plan rests on has changed. Nothing was changed.", "Plan anew under a new intent identifier."},
		{ExitConflict, "The intent identifier was used before with other content, or may have been (intent_expired), or another operation is in the way. Nothing was changed.", "Read the stored plan, or use a new intent identifier."},
		{ExitUnavailable, "No controller could be reached, or none leads. Nothing was changed.", "Check the endpoints, run status, then repeat the command."},
		{ExitUnknown, "A write was sent, but its answer was lost: it may or may not be in force.", "Repeat it with the same intent or plan identifier, which is safe."},
	}
}

// usageError is a wrong flag or argument.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// writeError is a failed write to the controllers. Its outcome may be unknown.
type writeError struct {
	cause error
}

func (e *writeError) Error() string { return e.cause.Error() }
func (e *writeError) Unwrap() error { return e.cause }

// exitCodeOf returns the exit code for the error of a command.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	kind := fault.KindOf(err)
	var write *writeError
	if errors.As(err, &write) && fault.AnswerFor(kind).Outcome == fault.Unknown {
		return ExitUnknown
	}
	return exitCodeOfKind(kind)
}

func exitCodeOfKind(kind fault.Kind) ExitCode {
	switch kind {
	case fault.InvalidArgument, fault.InvalidRequest, fault.NotFound, fault.UnknownService:
		return ExitUsage
	case fault.StalePlan:
		return ExitStalePlan
	case fault.Conflict, fault.IntentExpired:
		return ExitConflict
	case fault.NotLeader, fault.Unavailable, fault.ConnectFailed, fault.ConnectionLost, fault.DeadlineExceeded,
		fault.DeadlineBeforeStart, fault.AnswerTruncated:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
