package hollow

import (
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// brief is a message.ControllerFrame without the objects, which a router that
// keeps no table of its own skips.
type brief struct {
	Snapshot *briefSnapshot
	Delta    *briefDelta
	Pong     *message.Pong
	Refusal  *message.Refusal
}

type briefSnapshot struct {
	Cluster  message.ClusterID
	Revision state.Revision
	Digest   uint64
	Last     bool
}

type briefDelta struct {
	From   state.Revision
	To     state.Revision
	Digest uint64
}
