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
}

// Answered is a request that an instance answered AgoMs before the report.
type Answered struct {
	Fingerprint directory.Fingerprint `msgpack:"f"`
	AgoMs       uint32                `msgpack:"a"`
}

func (r Report) empty() bool {
	return len(r.Crashes) == 0 && len(r.Answered) == 0 && len(r.Rejected) == 0
}
