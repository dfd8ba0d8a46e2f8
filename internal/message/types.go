package message

import (
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// ClusterID identifies a group of controllers. It is generated when the group is formed.
type ClusterID string

// Purpose is the purpose of a connection.
type Purpose string

// Purposes of a connection.
const (
	// PurposeConsensus carries consensus messages between controllers in one direction.
	PurposeConsensus Purpose = "consensus"
	// PurposeFormation carries a controller's questions about the formation of the group.
	PurposeFormation Purpose = "formation"
	// PurposeHeartbeats forwards heartbeats of instances to the leader.
	PurposeHeartbeats Purpose = "heartbeats"
	// PurposeTable subscribes a router to the routing table.
	PurposeTable Purpose = "table"
	// PurposeDirectory subscribes a gateway to the directory.
	PurposeDirectory Purpose = "directory"
	// PurposeDemand carries a gateway's demand reports to the leader.
	PurposeDemand Purpose = "demand"
	// PurposePlaces carries requests for places to a keeper; see PlaceRequest.
	PurposePlaces Purpose = "places"
	// PurposeRelay carries HTTP requests that the accepting gateway sends to instances for the connecting one.
	PurposeRelay Purpose = "relay"
	// PurposeRouter carries requests between routers.
	PurposeRouter Purpose = "router"
)

// Hello is the first message on each connection.
type Hello struct {
	Purpose Purpose
	Cluster ClusterID
	// From is the name of the connecting process.
	From string
}

// RelayWelcome is the first message from a gateway that accepts a connection for relayed requests.
type RelayWelcome struct{}

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

// FormationAnswer describes what the answering controller knows of the group.
type FormationAnswer struct {
	Member  consensus.Member
	Cluster ClusterID
	// Founders are the initial members, in effect at log index 0; empty until the group is formed.
	Founders []consensus.Member
	// Current is the newest membership known to the answering controller.
	Current []consensus.Member
	// Leader is the address of the leader; empty if unknown.
	Leader string
	// MayFound is true if the answering controller may form a group.
	MayFound bool `msgpack:",omitempty"`
}

// RouterHello introduces a router on a table connection.
type RouterHello struct {
	Router state.Router
	// Cluster and Revision identify the table that the router has; zero for none.
	Cluster  ClusterID
	Revision state.Revision
	Digest   uint64
	// Resync asks for a whole table that is not older than Revision.
	Resync bool
	// Times are the settings of the router that must be compatible with those of the controllers;
	// nil from a process that does not send them.
	Times *config.RouterTimes `msgpack:",omitempty"`
	// Services are the services that the router routes; empty for all. Digest then covers only
	// their sections and the common one.
	Services []state.ServiceName `msgpack:",omitempty"`
}

// RouterFrame is a message from a router on a table connection; exactly one field is set. The names
// of pings and pongs on the wire are short because they are most of the control traffic.
type RouterFrame struct {
	Hello *RouterHello `msgpack:"h,omitempty"`
	Ping  *Ping        `msgpack:"p,omitempty"`
}

// Ping asks for proof that the router's table is current.
type Ping struct {
	Nonce uint64 `msgpack:"n,omitempty"`
	// SentNs is the time of sending by the router's monotonic clock, echoed in Pong.
	SentNs int64 `msgpack:"t,omitempty"`
	// Revision is the table revision in effect on the router.
	Revision state.Revision `msgpack:"r,omitempty"`
	// SyncedPartitions lists the record partitions with this router as primary whose backup now has
	// every record.
	SyncedPartitions []PartitionSync `msgpack:"s,omitempty"`
	// FailedBackups lists the partitions whose backup does not answer the primary.
	FailedBackups []PartitionSync `msgpack:"f,omitempty"`
	// FailedFormers lists the partitions whose former copy does not answer the primary.
	// KeepsFormers is true if the router's version supports former copies.
	FailedFormers []PartitionSync `msgpack:"o,omitempty"`
	KeepsFormers  bool            `msgpack:"k,omitempty"`
	// Leaving is true while the router shuts down and needs its partitions moved.
	Leaving bool `msgpack:"l,omitempty"`
	// Stopped guarantees that the router process will never act as a primary again, so that its
	// lease does not have to expire first.
	Stopped bool `msgpack:"x,omitempty"`
	// Unreachable lists the routers that do not answer this one.
	Unreachable []state.RouterID `msgpack:"u,omitempty"`
	// Quarantine reports requests under which servers crash. Suspects is the revision of the
	// suspected requests that the router has.
	Quarantine *quarantine.Report `msgpack:"q,omitempty"`
	Suspects   directory.Revision `msgpack:"d,omitempty"`
}

// PartitionSync identifies a record partition at an epoch.
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

// Notice reports that a router's settings are incompatible with those of the controllers or of
// other routers. It is sent only to routers that sent their settings.
type Notice struct {
	// Problems has one problem per element, with its field, value and remedy.
	Problems []string
}

// TableSnapshot is a part of the whole routing table. Parts arrive in order; the table is complete
// after the part with Last.
type TableSnapshot struct {
	Cluster  ClusterID
	Revision state.Revision
	Objects  []state.Object
	Digest   uint64
	First    bool
	Last     bool
}

// TableDelta changes the table from revision From to revision To.
type TableDelta struct {
	From    state.Revision
	To      state.Revision
	Objects []state.Object
	// Digest is the digest of the table after the delta.
	Digest uint64
}

// Pong proves that Revision covered every change that was acknowledged before the ping was
// received: the leader confirmed its leadership with a quorum after that.
type Pong struct {
	Nonce    uint64         `msgpack:"n,omitempty"`
	SentNs   int64          `msgpack:"t,omitempty"`
	Revision state.Revision `msgpack:"r,omitempty"`
	// Session is the router's session; zero if it has none.
	Session state.SessionNumber `msgpack:"s,omitempty"`
	// LeaseNs is the time for which the router may act as a record primary, counted from SentNs on
	// the router's clock. Zero grants nothing.
	LeaseNs int64 `msgpack:"l,omitempty"`
	// Heard is the number of the quarantine report in the ping; zero for none. Suspects are all
	// suspected requests, sent if the router does not have the newest revision.
	Heard    uint64              `msgpack:"h,omitempty"`
	Suspects *directory.Suspects `msgpack:"u,omitempty"`
}

// Refusal ends a connection and gives the reason.
type Refusal struct {
	Kind fault.Kind
	// Detail is the address of the leader with fault.NotLeader, if it is known.
	Detail string
	// From is the address that the refusing controller announces. Routers may reach it by another
	// one.
	From string
}
