package record

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

const recordFileMode = 0o644

// Line is a type that a record file holds.
type Line interface {
	Execution | Attempt | Event
}

// Writer appends lines to one record file; each line is one write, so that a
// killed process leaves whole lines. It is safe for concurrent use.
type Writer[L Line] struct {
	file *os.File
}

// OpenWriter opens, or creates, a record file for appending.
func OpenWriter[L Line](path string) (*Writer[L], error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordFileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open record file %s", path)
	}
	return &Writer[L]{file: file}, nil
}

// Write appends one line and returns after the kernel took it.
func (w *Writer[L]) Write(line L) error {
	encoded, err := json.Marshal(line)
	if err != nil {
		return eris.Wrap(err, "encode record line")
	}
	if _, err := w.file.Write(append(encoded, '\n')); err != nil {
		return eris.Wrapf(err, "write record file %s", w.file.Name())
	}
	return nil
}

// Close closes the file.
func (w *Writer[L]) Close() error {
	return eris.Wrapf(w.file.Close(), "close record file %s", w.file.Name())
}
