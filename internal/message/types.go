package message

import (
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// ClusterID names one group of controllers. It is drawn at formation.
type ClusterID string

// Purpose tells what a connection is for.
type Purpose string

// Purposes of a connection.
const (
	// PurposeConsensus carries consensus messages one way between controllers.
	PurposeConsensus Purpose = "consensus"
	// PurposeFormation asks a controller for the group's formation.
	PurposeFormation Purpose = "formation"
	// PurposeHeartbeats hands heartbeats of instances on to the leader.
	PurposeHeartbeats Purpose = "heartbeats"
	// PurposeTable subscribes a router to the routing table.
	PurposeTable Purpose = "table"
	// PurposeDirectory subscribes a gateway to the directory.
	PurposeDirectory Purpose = "directory"
	// PurposeDemand carries a gateway's counts of requests to the leader.
	PurposeDemand Purpose = "demand"
	// PurposePlaces asks a gateway for the places of instances.
	PurposePlaces Purpose = "places"
	// PurposeRouter carries requests between routers.
	PurposeRouter Purpose = "router"
)

// Hello is the first message on each connection.
type Hello struct {
	Purpose Purpose
	Cluster ClusterID
	// From names the connecting process.
	From string
}

// ConsensusBatch carries consensus messages to one replica.
type ConsensusBatch struct {
	Cluster  ClusterID           `msgpack:"c"`
	Messages []consensus.Message `msgpack:"m"`
}

// FormationRequest introduces a controller to another one.
type FormationRequest struct {
	Member consensus.Member
	// Cluster is empty while the sender belongs to no group.
	Cluster ClusterID
}

// FormationAnswer tells what the answering controller knows of the group.
type FormationAnswer struct {
	Member  consensus.Member
	Cluster ClusterID
	// Founders are the first members, in force at log index 0. Empty while the
	// group is not formed.
	Founders []consensus.Member
	// Current is the newest membership that the answering controller knows.
	Current []consensus.Member
	// Leader is the address of the leader, if known.
	Leader string
	// MayFound tells whether the answering controller may form a group.
	MayFound bool `msgpack:",omitempty"`
}

// RouterHello introduces a router on a table connection.
type RouterHello struct {
	Router state.Router
	// Cluster and Revision are what the router holds; zero for none.
	Cluster  ClusterID
	Revision state.Revision
	Digest   uint64
	// Resync asks for a whole table, not older than Revision.
	Resync bool
	// Times are the router's settings that must fit those of the controllers; nil
	// from a process that does not tell them.
	Times *config.RouterTimes `msgpack:",omitempty"`
	// Services are the only ones that the router routes; empty for all. Digest is
	// then of their sections and the common one.
	Services []state.ServiceName `msgpack:",omitempty"`
}

// RouterFrame is a message from a router on a table connection; exactly one
// field is set. Pings and pongs have short names on the wire, since they are most
// of what control sends.
type RouterFrame struct {
	Hello *RouterHello `msgpack:"h,omitempty"`
	Ping  *Ping        `msgpack:"p,omitempty"`
}

// Ping asks for proof that the router's table is current.
type Ping struct {
	Nonce uint64 `msgpack:"n,omitempty"`
	// SentNs is the router's own monotonic clock, echoed in Pong.
	SentNs int64 `msgpack:"t,omitempty"`
	// Revision is the table revision in force on the router.
	Revision state.Revision `msgpack:"r,omitempty"`
	// SyncedPartitions lists record partitions, of which this router is the
	// primary, whose backup now holds every record.
	SyncedPartitions []PartitionSync `msgpack:"s,omitempty"`
	// FailedBackups lists partitions whose backup does not answer the primary.
	FailedBackups []PartitionSync `msgpack:"f,omitempty"`
	// FailedFormers lists partitions whose former copy does not answer the primary, and KeepsFormers
	// says that the router knows of former copies.
	FailedFormers []PartitionSync `msgpack:"o,omitempty"`
	KeepsFormers  bool            `msgpack:"k,omitempty"`
	// Leaving says that the router stops and wants its partitions moved.
	Leaving bool `msgpack:"l,omitempty"`
	// Stopped promises that the router process acts as a primary never again, so
	// that its lease need not be waited out.
	Stopped bool `msgpack:"x,omitempty"`
	// Unreachable lists routers that do not answer this one.
	Unreachable []state.RouterID `msgpack:"u,omitempty"`
	// Quarantine tells of requests under which servers crash, and Suspects is the revision of the
	// suspected requests that the router has.
	Quarantine *quarantine.Report `msgpack:"q,omitempty"`
	Suspects   directory.Revision `msgpack:"d,omitempty"`
}

// PartitionSync names one record partition at one epoch.
type PartitionSync struct {
	Number int
	Epoch  state.Epoch
}

// ControllerFrame is a message to a router on a table connection; exactly one
// field is set.
type ControllerFrame struct {
	Snapshot *TableSnapshot `msgpack:",omitempty"`
	Delta    *TableDelta    `msgpack:",omitempty"`
	Pong     *Pong          `msgpack:",omitempty"`
	Refusal  *Refusal       `msgpack:",omitempty"`
	Notice   *Notice        `msgpack:",omitempty"`
}

// Notice tells a router that its settings do not fit those of the controllers or
// of other routers. It is sent only to routers that told their settings.
type Notice struct {
	// Problems name field, value and remedy, one a line.
	Problems []string
}

// TableSnapshot is a part of the whole routing table. Parts come in order; the
// table is complete with Last.
type TableSnapshot struct {
	Cluster  ClusterID
	Revision state.Revision
	Objects  []state.Object
	Digest   uint64
	First    bool
	Last     bool
}

// TableDelta changes the table from one revision to the next.
type TableDelta struct {
	From    state.Revision
	To      state.Revision
	Objects []state.Object
	// Digest is the digest of the table after the delta.
	Digest uint64
}

// Pong proves that Revision covered every change acknowledged before the ping
// was received: the leader confirmed its leadership with a quorum after that.
type Pong struct {
	Nonce    uint64         `msgpack:"n,omitempty"`
	SentNs   int64          `msgpack:"t,omitempty"`
	Revision state.Revision `msgpack:"r,omitempty"`
	// Session is the router's session, zero when it has none.
	Session state.SessionNumber `msgpack:"s,omitempty"`
	// LeaseNs is how long, counted from SentNs on the router's clock, the
	// router may act as a record primary. Zero grants nothing.
	LeaseNs int64 `msgpack:"l,omitempty"`
	// Heard is the number of the quarantine report in the ping; zero for none. Suspects are all
	// suspected requests, if the router has not those of the newest revision.
	Heard    uint64              `msgpack:"h,omitempty"`
	Suspects *directory.Suspects `msgpack:"u,omitempty"`
}

// Refusal ends a connection with a reason.
type Refusal struct {
	Kind fault.Kind
	// Detail names the leader's address, with fault.NotLeader, if it is known.
	Detail string
	// From is the address that the refusing controller announces. Routers may
	// reach it by another one.
	From string
}
