package wire

import (
	"errors"
	"fmt"
)

// Errors of this package; test for them with errors.Is.
var (
	// ErrFrameTooLarge: a frame exceeds Options.MaxFrameBytes.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrNotSent: nothing was written to the peer, so nothing ran there.
	ErrNotSent = errors.New("not sent")
	// ErrConnectionLost: the connection broke after the request was written, in
	// whole or in part. The outcome is unknown.
	ErrConnectionLost = errors.New("connection lost")
	// ErrNoAnswer: the caller's context ended before the answer came. The
	// outcome is unknown.
	ErrNoAnswer = errors.New("no answer in time")
	// ErrClosed: Close or Stop was called.
	ErrClosed = errors.New("closed")
)

// callError joins one of the errors above with what caused it.
type callError struct {
	kind  error
	cause error
}

// Error implements the error interface.
func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.kind, e.cause)
}

// Is reports whether the error is of a kind; the cause is found by Unwrap.
func (e *callError) Is(target error) bool {
	return target == e.kind
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error {
	return e.cause
}

func because(kind, cause error) error {
	return &callError{kind: kind, cause: cause}
}
