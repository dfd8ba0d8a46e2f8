package state

import (
	"errors"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Directory returns the directory of items, instances and the keys that they
// hold. The caller must not modify it.
func (s *State) Directory() *directory.Directory { return s.directory }

func (tx *transaction) changeDirectory(command directory.Command) Result {
	err := tx.state.directory.Apply(directory.Revision(tx.revision), command)
	if err == nil {
		if command.Zone != nil {
			tx.changeZone(*command.Zone)
		}
		return Result{}
	}
	var refused *fault.Error
	if errors.As(err, &refused) {
		return Result{Err: refused}
	}
	return failure(fault.Internal, err.Error())
}

// changeZone updates the servers of a zone that was evacuated or restored.
func (tx *transaction) changeZone(zone directory.Zone) {
	for _, server := range tx.state.Servers() {
		if server.Zone == zone.Name && server.Evacuated != zone.Evacuated {
			server.Evacuated = zone.Evacuated
			tx.putServer(server)
		}
	}
}

// checkRelease verifies that a request is in quarantine.
func (tx *transaction) checkRelease(request ReleaseRequest) *fault.Error {
	fingerprint, err := directory.ParseFingerprint(request.Fingerprint)
	if err != nil {
		return fault.From(err)
	}
	if suspect, found := tx.state.directory.Suspect(fingerprint); !found || !suspect.Quarantined {
		return stalePlan("request " + request.Fingerprint + " is no longer in quarantine")
	}
	return nil
}

// releaseFromQuarantine takes a request out of quarantine. checkRelease must have accepted it.
func (tx *transaction) releaseFromQuarantine(request ReleaseRequest) {
	if fingerprint, err := directory.ParseFingerprint(request.Fingerprint); err == nil {
		tx.changeDirectory(directory.Command{Release: &fingerprint})
	}
}
