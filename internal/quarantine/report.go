package quarantine

import "github.com/thorntiller/thorntiller/internal/directory"

// Report is sent by a gateway or router to the leading controller.
type Report struct {
	// Number increases with each report; the leader returns it as an acknowledgement.
	Number uint64 `msgpack:"n"`
	// Crashes are the requests that were in flight at crashed instances.
	Crashes []Crash `msgpack:"c,omitempty"`
	// Answered are the suspected requests that an instance answered, and Rejected the quarantined requests
	// that were received again.
	Answered []Answered              `msgpack:"a,omitempty"`
	Rejected []directory.Fingerprint `msgpack:"r,omitempty"`
	// LostTrials are the trials that ended without an answer, as long as no crash is proved: the leader finds out
	// whether the instance crashed.
	LostTrials []Crash `msgpack:"l,omitempty"`
	// Asks are for trials of requests that wait in this process, and TrialEnds are the trials that were not used,
	// or were answered.
	Asks      []Ask      `msgpack:"q,omitempty"`
	TrialEnds []TrialEnd `msgpack:"t,omitempty"`
}

// Crash is a request that was in flight at an instance when the instance crashed. Times are relative to
// the time of the report.
type Crash struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	Path        directory.PathHash    `msgpack:"p"`
	Service     string                `msgpack:"s"`
	Instance    directory.InstanceID  `msgpack:"i"`
	// EndedAgoMs is how long ago the attempt ended, and TookMs how long it had been in flight.
	EndedAgoMs uint32 `msgpack:"e"`
	TookMs     uint32 `msgpack:"t"`
	// TrialAsk is the number of the ask under whose trial the request was sent; zero for none.
	TrialAsk AskNumber `msgpack:"k,omitempty"`
	// Number distinguishes the attempts that one process reports.
	Number uint64 `msgpack:"u,omitempty"`
	// OfAnyCaller is the fingerprint of equal requests of any caller; zero if it is the same.
	OfAnyCaller directory.Fingerprint `msgpack:"y,omitempty"`
}

// Answered is a request that an instance answered AgoMs before the report.
type Answered struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	AgoMs       uint32                `msgpack:"a"`
}

// concerns reports whether a fingerprint is one of the request's.
func (c *Crash) concerns(fingerprint directory.Fingerprint) bool {
	return c.Fingerprint == fingerprint || c.OfAnyCaller == fingerprint
}

// AskNumber identifies an ask of a process. It increases with each ask, also over restarts of the process.
type AskNumber = uint64

// noAsk stands for a request that was sent without an ask.
const noAsk AskNumber = 0

// Ask asks the leader for a trial of a request that waits for it.
type Ask struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	Number      AskNumber             `msgpack:"n"`
	// WaitMs is how long the request waits for the grant, and RemainingMs the time until its deadline, after which
	// the trial is not used.
	WaitMs      uint32 `msgpack:"w"`
	RemainingMs uint32 `msgpack:"r"`
}

// TrialEnd tells that the trial granted for an ask is over without a crash: it was not used, was answered, or was
// lost at an instance that is leaving.
type TrialEnd struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	Number      AskNumber             `msgpack:"n"`
}

func (r Report) empty() bool {
	return len(r.Crashes) == 0 && len(r.LostTrials) == 0 && len(r.Answered) == 0 && len(r.Rejected) == 0 && len(r.Asks) == 0 && len(r.TrialEnds) == 0
}
