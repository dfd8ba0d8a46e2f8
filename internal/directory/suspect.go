package directory

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Fingerprint identifies equal requests. It is a keyed hash, with a key unknown to callers, of
// everything that makes two requests the same. Neither path nor body can be derived from it.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	const digits = 16
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != digits {
		return 0, fault.Newf(fault.InvalidArgument, "fingerprint: %.64q: give the %d hexadecimal digits that get suspects shows", text, digits)
	}
	return Fingerprint(value), nil
}

// PathHash is a hash of the host and path of a request. It selects the few requests for which
// computing the fingerprint is worthwhile.
type PathHash uint64

// Suspect is a request that was in flight at instances when these crashed.
type Suspect struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Path        PathHash    `msgpack:"p"`
	// Crashes are the instances that crashed while processing the request since it was last
	// answered. Gateways and routers get neither Service nor Crashes.
	Service string       `msgpack:"s,omitempty"`
	Crashes []InstanceID `msgpack:"c,omitempty"`
	// Probation is true if the request is sent one attempt at a time, each granted as a trial: one more
	// crash puts it in quarantine.
	Probation bool `msgpack:"o,omitempty"`
	// Quarantined requests are not sent to any instance.
	Quarantined bool `msgpack:"q,omitempty"`
	// Doubtful is true if the crashes may have another cause, so that a trial may be granted.
	Doubtful bool `msgpack:"d,omitempty"`
	// Trials is the number of granted trials. TrialBy is the gateway or router that may send the
	// request once. TrialAsk is the number of its ask that was granted; zero if it did not ask.
	Trials   int    `msgpack:"t,omitempty"`
	TrialBy  string `msgpack:"b,omitempty"`
	TrialAsk uint64 `msgpack:"k,omitempty"`
	// TrialMs is how long the trial lasts at most, in milliseconds.
	TrialMs uint32 `msgpack:"m,omitempty"`
	// TrialLostAt is the instance at which the current trial ended without an answer. The request is not
	// sent until the leader knows whether that instance crashed. Empty for none.
	TrialLostAt InstanceID `msgpack:"l,omitempty"`
	// Callers has, for each of Crashes, the fingerprint of the caller's request, if the suspect stands for equal
	// requests of any caller. Gateways and routers do not get it.
	Callers []Fingerprint `msgpack:"n,omitempty"`
	// Released is true once an operator released the request from quarantine; one more crash puts
	// it back.
	Released bool `msgpack:"e,omitempty"`
}

// NeedsTrial reports whether the request may be sent only by the process that was granted a trial.
// A released request does from its release on, before the leader has written the probation.
func (s Suspect) NeedsTrial() bool { return s.Quarantined || s.Probation || s.Released }

// IsTrial reports whether the current trial was granted to a process for an ask.
func (s Suspect) IsTrial(process string, ask uint64) bool {
	return s.TrialBy != "" && s.TrialBy == process && s.TrialAsk == ask
}

// Same reports whether two records of a suspect are equal.
func (s Suspect) Same(other Suspect) bool {
	return slices.Equal(s.Crashes, other.Crashes) && s.Fingerprint == other.Fingerprint && s.Path == other.Path && s.Service == other.Service &&
		s.Probation == other.Probation && s.Quarantined == other.Quarantined && s.Doubtful == other.Doubtful &&
		s.Trials == other.Trials && s.TrialBy == other.TrialBy && s.TrialAsk == other.TrialAsk &&
		s.TrialMs == other.TrialMs && s.TrialLostAt == other.TrialLostAt && s.Released == other.Released &&
		slices.Equal(s.Callers, other.Callers)
}

// SameSuspects reports whether two lists are equal.
func SameSuspects(first, second []Suspect) bool {
	return slices.EqualFunc(first, second, Suspect.Same)
}

// Suspects has all suspected requests, sorted by fingerprint. The list is replaced as a whole and
// never modified.
type Suspects struct {
	List     []Suspect `msgpack:"l,omitempty"`
	Revision Revision  `msgpack:"r"`
}

// PutSuspects replaces all suspects if the current revision is still the one that the list is based
// on.
type PutSuspects struct {
	List    []Suspect `msgpack:"l,omitempty"`
	Follows Revision  `msgpack:"r,omitempty"`
}

// Suspects returns the suspected requests.
func (d *Directory) Suspects() Suspects { return d.suspects }

// Suspect returns the suspected request with a fingerprint.
func (d *Directory) Suspect(fingerprint Fingerprint) (Suspect, bool) {
	position := slices.IndexFunc(d.suspects.List, func(suspect Suspect) bool { return suspect.Fingerprint == fingerprint })
	if position < 0 {
		return Suspect{}, false
	}
	return d.suspects.List[position], true
}

func (d *Directory) applySuspects(revision Revision, command PutSuspects) error {
	if command.Follows != d.suspects.Revision {
		return fault.Newf(fault.Conflict, "the suspected requests changed at revision %d, after revision %d", d.suspects.Revision, command.Follows)
	}
	d.suspects = Suspects{List: command.List, Revision: revision}
	d.revision = revision
	return nil
}

// applyRelease releases a request from quarantine. It has no effect on one that is not quarantined,
// so the command may be repeated.
func (d *Directory) applyRelease(revision Revision, fingerprint Fingerprint) {
	suspect, found := d.Suspect(fingerprint)
	if !found || !suspect.Quarantined {
		return
	}
	list := slices.Clone(d.suspects.List)
	for index := range list {
		if list[index].Fingerprint == fingerprint {
			list[index].Quarantined, list[index].Released = false, true
			list[index].TrialBy, list[index].TrialLostAt = "", ""
		}
	}
	d.suspects = Suspects{List: list, Revision: revision}
	d.revision = revision
}

// ForSenders returns the suspects without the fields that gateways and routers do not need.
func (s Suspects) ForSenders() Suspects {
	list := make([]Suspect, 0, len(s.List))
	for _, suspect := range s.List {
		suspect.Service, suspect.Crashes, suspect.Callers = "", nil, nil
		list = append(list, suspect)
	}
	s.List = list
	return s
}
