package planner

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// release plans the release of a request from quarantine, after which it is sent to
// servers again.
func (d *draft) release(request state.ReleaseRequest) error {
	fingerprint, err := directory.ParseFingerprint(request.Fingerprint)
	if err != nil {
		return fault.Newf(fault.InvalidArgument, "release_request.%s", fault.From(err).Detail)
	}
	suspect, found := d.view.Directory().Suspect(fingerprint)
	if !found || !suspect.Quarantined {
		return fault.Newf(fault.NotFound, "release_request.fingerprint: %q is not in quarantine: get suspects shows those that are", request.Fingerprint)
	}
	d.add(state.Operation{Release: &request}, "request %s is sent to servers of service %s again; %d crashed under it, and one more crash puts it back",
		fingerprint, suspect.Service, len(suspect.Crashes))
	return nil
}
