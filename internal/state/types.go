package state

import (
	"strings"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Names and identifiers.
type (
	// ServiceName names a service; it is unique in the cluster.
	ServiceName string
	// ServerID names a server; it is unique in the cluster.
	ServerID string
	// RouterID names a router; it is unique in the cluster.
	RouterID string
	// ShardID numbers a shard; it is unique in the cluster and never reused.
	ShardID uint64
	// Epoch is the fencing token of a shard. It increases with each change of owner.
	Epoch uint64
	// Revision is the log index of the command that made a change.
	Revision uint64
	// SessionNumber counts the sessions of one server or router.
	SessionNumber uint64
	// PlanID names a stored plan.
	PlanID string
	// IntentID is the operator's identifier of one intent; a retry carries the same
	// one.
	IntentID string
)

// ServiceMode determines who decides which servers own a service's keys.
type ServiceMode string

// Modes of a service.
const (
	// ModeManaged means that the controllers assign the shards.
	ModeManaged ServiceMode = "managed"
	// ModeObserved means that ownership is imported from the team's own scripts and
	// used only for routing.
	ModeObserved ServiceMode = "observed"
)

// Service is the configuration of one service.
type Service struct {
	Name ServiceName `json:"name"`
	// Keyed is true if requests are routed to the owner of their key; otherwise they
	// are routed to any free server.
	Keyed bool        `json:"keyed"`
	Mode  ServiceMode `json:"mode"`
	// DefaultTimeout applies to requests that specify no timeout.
	DefaultTimeout time.Duration `json:"default_timeout_ns"`
	// QueueLimit limits the requests that one router queues per server.
	QueueLimit int `json:"queue_limit"`
	// RetryRatio limits retries as a fraction (0 to 1) of first attempts.
	RetryRatio float64 `json:"retry_ratio"`
	// RequestLimit limits the requests that one router has in flight for the
	// service.
	RequestLimit int     `json:"request_limit"`
	Weights      Weights `json:"weights"`
	// Placement is the policy, confirmed by an operator, for moves that the
	// controllers start without a plan.
	Placement PlacementPolicy `json:"placement"`
	// MaxMoves limits the number of shards that move at the same time.
	MaxMoves int `json:"max_moves"`
	// Adopted is true once the service has been observed. Its servers may still be
	// serving without a lease; that must end before they are granted one.
	Adopted bool `json:"adopted,omitempty"`
	// HandedBack is the revision at which the service last changed from managed to
	// observed, or zero if it never did.
	HandedBack Revision `json:"handed_back,omitempty"`
	Revision   Revision `json:"revision"`
}

// PlacementPolicy determines what the controllers may do without a plan. Shards of
// servers that are lost or leaving are always reassigned.
type PlacementPolicy struct {
	// Automatic lets the controllers split and move shards to balance load, within
	// MaxMoves and where the weights justify the cost. The default is false.
	Automatic bool `json:"automatic"`
	// Merge also lets them merge adjacent shards with low load and the same owner.
	Merge bool `json:"merge,omitempty" msgpack:",omitempty"`
	// MinShards is the number of shards that automatic merges must leave. It does not
	// limit merges that an operator requests.
	MinShards int `json:"min_shards,omitempty" msgpack:",omitempty"`
}

// Weights are the relative costs of the three measures that placement minimizes.
type Weights struct {
	// Imbalance is the cost of one unit of (maximum load / mean load - 1).
	Imbalance float64 `json:"imbalance"`
	// Churn is the cost of moving the whole key space once.
	Churn float64 `json:"churn"`
	// Unavailable is the cost of one second during which no key has an owner.
	Unavailable float64 `json:"unavailable"`
}

// ServerIntent is the state that operators requested for a server.
type ServerIntent string

// Server intents.
const (
	ServerActive   ServerIntent = "active"
	ServerRetiring ServerIntent = "retiring"
	ServerRetired  ServerIntent = "retired"
)

// Session is a period of contact with one server or router process. While the
// session is open, the process may hold a lease.
type Session struct {
	Number      SessionNumber `json:"number"`
	Incarnation string        `json:"incarnation"`
	Open        bool          `json:"open"`
}

// Server is a back end of a service.
type Server struct {
	ID      ServerID    `json:"id"`
	Service ServiceName `json:"service"`
	// Address is the back end's HTTP address, IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the server executes concurrently.
	Slots int `json:"slots"`
	// Connections limits the connections that the server accepts.
	Connections int          `json:"connections"`
	Intent      ServerIntent `json:"intent"`
	// Leaving is true while the platform lists the server's machine as leaving.
	Leaving bool `json:"leaving"`
	// Evacuated is true while the server's zone is evacuated by an operator and gets no
	// requests.
	Evacuated bool    `json:"evacuated,omitempty" msgpack:",omitempty"`
	Session   Session `json:"session"`
	// ConfigRevision is the revision of the last change by an operator.
	ConfigRevision Revision `json:"config_revision"`
	Revision       Revision `json:"revision"`
}

// processSeparator separates a server's identifier from that of its process.
const processSeparator = "#"

// Process identifies the process that opened the server's latest session.
func (s Server) Process() directory.InstanceID {
	return directory.InstanceID(string(s.ID) + processSeparator + s.Session.Incarnation)
}

// ServerOfProcess returns the server of a process as identified by Server.Process.
func ServerOfProcess(id directory.InstanceID) ServerID {
	name, _, _ := strings.Cut(string(id), processSeparator)
	return ServerID(name)
}

// Withdrawn reports whether the server gets no new work although it is not retired, because
// its machine is leaving or its zone is evacuated.
func (s Server) Withdrawn() bool { return s.Leaving || s.Evacuated }

// KeyRange is a contiguous range of 64-bit key hashes, inclusive at both ends.
type KeyRange struct {
	First uint64 `json:"first" msgpack:"f"`
	Last  uint64 `json:"last" msgpack:"l"`
}

// ShardPhase is the ownership phase of a shard.
type ShardPhase string

// Phases of a shard.
const (
	// ShardUnowned means that no server owns the shard.
	ShardUnowned ShardPhase = "unowned"
	// ShardOwned means that Owner owns the shard at Epoch.
	ShardOwned ShardPhase = "owned"
	// ShardRevoking means that Owner must release the shard; until then no other server
	// may own it.
	ShardRevoking ShardPhase = "revoking"
)

// Shard is the unit of ownership: a range of key hashes of one service. Its msgpack
// field names are one letter long because there are very many shards.
type Shard struct {
	ID      ShardID     `json:"id" msgpack:"i"`
	Service ServiceName `json:"service" msgpack:"s"`
	Range   KeyRange    `json:"range" msgpack:"r"`
	Phase   ShardPhase  `json:"phase" msgpack:"p"`
	// Owner is empty while the shard is unowned.
	Owner ServerID `json:"owner" msgpack:"o,omitempty"`
	Epoch Epoch    `json:"epoch" msgpack:"e"`
	// Target is the next owner, if already chosen. An owned shard with a target is
	// waiting for its move to start.
	Target   ServerID `json:"target,omitempty" msgpack:"t,omitempty"`
	Revision Revision `json:"revision" msgpack:"v"`
}

// Router is one router process that registered with the controllers.
type Router struct {
	ID RouterID `json:"id"`
	// Address is the IP:port at which the router accepts HTTP requests from clients.
	Address string `json:"address"`
	// PeerAddress is the IP:port at which it accepts connections from other routers.
	PeerAddress string   `json:"peer_address"`
	Zone        string   `json:"zone"`
	Session     Session  `json:"session"`
	Revision    Revision `json:"revision"`
}

// RecordPartition assigns one partition of the idempotency records to routers.
type RecordPartition struct {
	Number int `json:"number"`
	// Primary is the only router that admits requests of the partition, and only in
	// the session PrimarySession, because a restarted process has no records.
	Primary        RouterID      `json:"primary"`
	PrimarySession SessionNumber `json:"primary_session"`
	// Backup is the router that holds a copy of each record, in the session
	// BackupSession; empty if there is none.
	Backup        RouterID      `json:"backup"`
	BackupSession SessionNumber `json:"backup_session"`
	// Epoch increases with each change of the primary or the backup.
	Epoch Epoch `json:"epoch"`
	// BackupSynced is true once the backup holds every record of the primary.
	BackupSynced bool `json:"backup_synced"`
	// Former is the router that held a complete copy when the backup was replaced, in the
	// session FormerSession; empty if there is none. Changes are replicated to it until the
	// backup holds every record. FormerEpoch is the epoch since which its copy is complete.
	Former        RouterID      `json:"former,omitempty" msgpack:",omitempty"`
	FormerSession SessionNumber `json:"former_session,omitempty" msgpack:",omitempty"`
	FormerEpoch   Epoch         `json:"former_epoch,omitempty" msgpack:",omitempty"`
	// LostBefore is the time, in Unix milliseconds, before which records may have been
	// lost; zero if none were lost. Requests with idempotency keys generated before it
	// are never executed.
	LostBefore int64    `json:"lost_before"`
	Revision   Revision `json:"revision"`
}

// DropFormer clears the former copy.
func (p *RecordPartition) DropFormer() {
	p.Former, p.FormerSession, p.FormerEpoch = "", 0, 0
}

// Object is one routing-visible object. Exactly one of the pointer fields is set.
type Object struct {
	Service   *Service         `json:"service,omitempty" msgpack:",omitempty"`
	Server    *Server          `json:"server,omitempty" msgpack:",omitempty"`
	Shard     *Shard           `json:"shard,omitempty" msgpack:"S,omitempty"`
	Router    *Router          `json:"router,omitempty" msgpack:",omitempty"`
	Partition *RecordPartition `json:"partition,omitempty" msgpack:",omitempty"`
	// Deleted is true if the object was deleted. The object then has only its
	// identifier, its revision and, for a shard, its service.
	Deleted bool `json:"deleted,omitempty" msgpack:",omitempty"`
}
