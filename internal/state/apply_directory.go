package state

import (
	"errors"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Directory returns the directory of items, instances and the keys that they
// hold. The caller only reads it.
func (s *State) Directory() *directory.Directory { return s.directory }

func (tx *transaction) changeDirectory(command directory.Command) Result {
	err := tx.state.directory.Apply(directory.Revision(tx.revision), command)
	if err == nil {
		return Result{}
	}
	var refused *fault.Error
	if errors.As(err, &refused) {
		return Result{Err: refused}
	}
	return failure(fault.Internal, err.Error())
}
