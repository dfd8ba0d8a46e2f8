package wal

import (
	"errors"
	"fmt"
)

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("write-ahead log is closed")

// remedy tells the operator what to do about a damaged log.
const remedy = "restore the data folder from an intact copy, or remove it so that " +
	"this controller joins the group again as a new replica"

// DamageError reports that the log cannot be read without losing entries that
// may have been acknowledged.
type DamageError struct {
	// File is the path of the damaged segment, or of the directory if the
	// damage is not confined to one segment.
	File string
	// Offset is the byte offset of the damage in File.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements the error interface.
func (e *DamageError) Error() string {
	return fmt.Sprintf("write-ahead log %s is damaged at byte %d: %s; remedy: %s",
		e.File, e.Offset, e.Reason, remedy)
}
