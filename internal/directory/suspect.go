package directory

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Fingerprint stands for a request: a hash, under a key that callers do not know, of all that makes
// two requests the same. Neither path nor body can be found from it.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads what String returned.
func ParseFingerprint(text string) (Fingerprint, error) {
	const digits = 16
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != digits {
		return 0, fault.Newf(fault.InvalidArgument, "fingerprint: %.64q: give the %d hexadecimal digits that get suspects shows", text, digits)
	}
	return Fingerprint(value), nil
}

// PathHash is a hash of the host and path of a request, by which the few requests are found whose
// fingerprints are worth computing.
type PathHash uint64

// Suspect is a request that was in flight at instances when these crashed.
type Suspect struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Path        PathHash    `msgpack:"p"`
	// Service and Crashes, the instances that crashed under it since it was answered last, are left
	// out of what gateways and routers get.
	Service string       `msgpack:"s,omitempty"`
	Crashes []InstanceID `msgpack:"c,omitempty"`
	// Quarantined requests are sent to no instance.
	Quarantined bool `msgpack:"q,omitempty"`
	// Doubtful is true if something else may explain the crashes, so that it may be tried.
	Doubtful bool `msgpack:"d,omitempty"`
	// Trials counts those that were granted, and TrialBy is the gateway or router that may send it once.
	Trials  int    `msgpack:"t,omitempty"`
	TrialBy string `msgpack:"b,omitempty"`
	// Released is true once an operator took it out of quarantine: one more crash puts it back.
	Released bool `msgpack:"e,omitempty"`
}

// Same reports whether two readings of a suspect do not differ.
func (s Suspect) Same(other Suspect) bool {
	return slices.Equal(s.Crashes, other.Crashes) && s.Fingerprint == other.Fingerprint && s.Path == other.Path && s.Service == other.Service &&
		s.Quarantined == other.Quarantined && s.Doubtful == other.Doubtful &&
		s.Trials == other.Trials && s.TrialBy == other.TrialBy && s.Released == other.Released
}

// SameSuspects reports whether two lists do not differ.
func SameSuspects(first, second []Suspect) bool {
	return slices.EqualFunc(first, second, Suspect.Same)
}

// Suspects are all suspected requests, by fingerprint. The list is replaced as a whole and never
// changed.
type Suspects struct {
	List     []Suspect `msgpack:"l,omitempty"`
	Revision Revision  `msgpack:"r"`
}

// PutSuspects replaces the suspects if they are still those of the revision that the list was made
// from.
type PutSuspects struct {
	List    []Suspect `msgpack:"l,omitempty"`
	Follows Revision  `msgpack:"r,omitempty"`
}

// Suspects returns the suspected requests.
func (d *Directory) Suspects() Suspects { return d.suspects }

// Suspect returns the suspected request with a fingerprint.
func (d *Directory) Suspect(fingerprint Fingerprint) (Suspect, bool) {
	position := slices.IndexFunc(d.suspects.List, func(each Suspect) bool { return each.Fingerprint == fingerprint })
	if position < 0 {
		return Suspect{}, false
	}
	return d.suspects.List[position], true
}

func (d *Directory) applySuspects(revision Revision, put PutSuspects) error {
	if put.Follows != d.suspects.Revision {
		return fault.Newf(fault.Conflict, "the suspected requests changed at revision %d, after revision %d", d.suspects.Revision, put.Follows)
	}
	d.suspects = Suspects{List: put.List, Revision: revision}
	d.revision = revision
	return nil
}

// applyRelease takes a request out of quarantine. One that is not there stays as it is, so that the
// same order may come again.
func (d *Directory) applyRelease(revision Revision, fingerprint Fingerprint) {
	suspect, found := d.Suspect(fingerprint)
	if !found || !suspect.Quarantined {
		return
	}
	list := slices.Clone(d.suspects.List)
	for index := range list {
		if list[index].Fingerprint == fingerprint {
			list[index].Quarantined, list[index].Released, list[index].TrialBy = false, true, ""
		}
	}
	d.suspects = Suspects{List: list, Revision: revision}
	d.revision = revision
}

// ForSenders returns the suspects without what gateways and routers need not know.
func (s Suspects) ForSenders() Suspects {
	list := make([]Suspect, 0, len(s.List))
	for _, suspect := range s.List {
		suspect.Service, suspect.Crashes = "", nil
		list = append(list, suspect)
	}
	s.List = list
	return s
}
