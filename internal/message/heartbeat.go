package message

import (
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

// HeartbeatCall forwards a heartbeat to the leader, or a server's announcement that it leaves.
type HeartbeatCall struct {
	// Beat is nil if a server leaves; Leaving then identifies it.
	Beat    *heartbeat.Beat       `msgpack:"b,omitempty"`
	Leaving directory.Incarnation `msgpack:"l"`
}

// HeartbeatAnswer answers a HeartbeatCall.
type HeartbeatAnswer struct {
	Grant heartbeat.Grant `msgpack:"g"`
	// Kind is the kind of the error; empty for a call that was accepted.
	Kind   fault.Kind `msgpack:"k,omitempty"`
	Detail string     `msgpack:"d,omitempty"`
}
