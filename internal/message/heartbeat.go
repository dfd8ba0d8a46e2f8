package message

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

// HeartbeatCall hands a heartbeat on to the leader, or the word of a server that it leaves.
type HeartbeatCall struct {
	// Beat is nil for a server that leaves.
	Beat    *heartbeat.Beat       `msgpack:"b,omitempty"`
	Leaving directory.Incarnation `msgpack:"l"`
}

// HeartbeatAnswer answers a HeartbeatCall.
type HeartbeatAnswer struct {
	Grant heartbeat.Grant `msgpack:"g"`
	// Kind is empty for a call that was taken.
	Kind   fault.Kind `msgpack:"k,omitempty"`
	Detail string     `msgpack:"d,omitempty"`
}
