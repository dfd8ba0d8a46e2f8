package quarantine

import "github.com/thorntiller/thorntiller/internal/directory"

// Report is what a gateway or router tells the leading controller.
type Report struct {
	// Number rises with each report, and is repeated by the leader that heard it.
	Number uint64 `msgpack:"n"`
	// Crashes are the requests that were in flight at instances that crashed.
	Crashes []Crash `msgpack:"c,omitempty"`
	// Answered are the suspected requests that an instance answered, and Rejected those in
	// quarantine that came again.
	Answered []Answered              `msgpack:"a,omitempty"`
	Rejected []directory.Fingerprint `msgpack:"r,omitempty"`
}

// Crash is a request that was in flight at an instance when this crashed. Times are counted back
// from the report.
type Crash struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	Path        directory.PathHash    `msgpack:"p"`
	Service     string                `msgpack:"s"`
	Instance    directory.InstanceID  `msgpack:"i"`
	// EndedAgoMs is how long ago its connection ended, and TookMs how long it had been in flight.
	EndedAgoMs uint32 `msgpack:"e"`
	TookMs     uint32 `msgpack:"t"`
}

// Answered is a request that an instance answered. Time is counted back from the report.
type Answered struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	AgoMs       uint32                `msgpack:"a"`
}

func (r Report) empty() bool {
	return len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Rejected) == 0
}
