package cli

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func TestSuspectLines(t *testing.T) {
	for want, suspect := range map[string]directory.Suspect{
		"suspected": {}, "released": {Released: true}, "in quarantine": {Quarantined: true},
		"in quarantine, doubtful": {Quarantined: true, Doubtful: true},
		"on trial by front-1":     {Quarantined: true, Doubtful: true, TrialBy: "front-1"},
	} {
		suspect.Fingerprint = 255
		lines := suspectLines([]directory.Suspect{suspect})
		if len(lines) != 1 || lines[0].State != want || lines[0].Fingerprint != "00000000000000ff" {
			t.Errorf("%+v, want %q", lines, want)
		}
	}
}
