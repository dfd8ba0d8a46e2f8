package fault

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Error is a failure of a known kind. Detail is human-readable text; for invalid
// input it names the field, the value and the remedy.
type Error struct {
	Kind   Kind
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// New returns an error of the given kind.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail}
}

// Newf returns an error of the given kind with a formatted detail.
func Newf(kind Kind, format string, arguments ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, arguments...)}
}

// KindOf returns the kind of the first Error in the error's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var typed *Error
	if eris.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is reports whether the first Error in the error's chain is of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return eris.As(err, &typed) && typed.Kind == kind
}

// From returns the first Error in the error's chain, or a new one of kind
// Internal if there is none.
func From(err error) *Error {
	var typed *Error
	if eris.As(err, &typed) {
		return typed
	}
	return New(Internal, eris.ToString(err, false))
}
