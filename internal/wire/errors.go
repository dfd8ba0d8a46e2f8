package wire

import (
	"errors"
	"fmt"
)

// Errors of this package; match them with errors.Is.
var (
	// ErrFrameTooLarge means that a frame exceeds Options.MaxFrameBytes.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrNotSent means that nothing was written to the peer, so nothing ran there.
	ErrNotSent = errors.New("not sent")
	// ErrConnectionLost means that the connection broke after the request was written,
	// in whole or in part. The outcome is unknown.
	ErrConnectionLost = errors.New("connection lost")
	// ErrNoAnswer means that the caller's context ended before the answer came, or that the
	// answer could not be decoded. The outcome is unknown.
	ErrNoAnswer = errors.New("no answer in time")
	// ErrClosed means that the client or the connection is closed.
	ErrClosed = errors.New("closed")
)

// callError combines one of the errors above with its cause.
type callError struct {
	kind  error
	cause error
}

// Error implements the error interface.
func (e *callError) Error() string {
	return fmt.Sprintf("%v: %v", e.kind, e.cause)
}

// Is reports whether target is the error's kind; errors.Is finds the cause through Unwrap.
func (e *callError) Is(target error) bool {
	return target == e.kind
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error {
	return e.cause
}

func newCallError(kind, cause error) error {
	return &callError{kind: kind, cause: cause}
}
