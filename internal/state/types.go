package state

import "time"

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
	// Epoch is the fencing token of a shard. It rises at each change of owner.
	Epoch uint64
	// Revision is the log index of the command that made a change.
	Revision uint64
	// SessionNumber counts the sessions of one server or router.
	SessionNumber uint64
	// PlanID names a stored plan.
	PlanID string
	// IntentID is the operator's identifier of one intent; a resend carries
	// the same one.
	IntentID string
)

// ServiceMode tells who decides about a service's ownership.
type ServiceMode string

// Modes of a service.
const (
	// ModeManaged: the controllers own the assignment of shards.
	ModeManaged ServiceMode = "managed"
	// ModeObserved: ownership is imported from the team's own scripts and only
	// routed by.
	ModeObserved ServiceMode = "observed"
)

// Service is the configuration of one service.
type Service struct {
	Name ServiceName `json:"name"`
	// Keyed services route by the owner of the key; others to any free server.
	Keyed bool        `json:"keyed"`
	Mode  ServiceMode `json:"mode"`
	// DefaultTimeout applies to requests that carry no timeout of their own.
	DefaultTimeout time.Duration `json:"default_timeout_ns"`
	// QueueLimit bounds the requests that one router holds waiting per server.
	QueueLimit int `json:"queue_limit"`
	// RetryRatio bounds resends as a share of fresh requests, 0 to 1.
	RetryRatio float64 `json:"retry_ratio"`
	// RequestLimit bounds the requests that one router has in flight for the
	// service.
	RequestLimit int     `json:"request_limit"`
	Weights      Weights `json:"weights"`
	// Placement is the policy that an operator confirmed for moves which the
	// controllers begin by themselves.
	Placement PlacementPolicy `json:"placement"`
	// MaxMoves bounds the shards that are moving at the same time.
	MaxMoves int `json:"max_moves"`
	// Adopted is true once the service was observed. Its servers may serve by
	// their own authority, which must end before they get a lease.
	Adopted bool `json:"adopted,omitempty"`
	// HandedBack is the revision at which the service last changed from managed
	// to observed; zero for never.
	HandedBack Revision `json:"handed_back,omitempty"`
	Revision   Revision `json:"revision"`
}

// PlacementPolicy says what the controllers may do without a plan. Shards of
// servers that are lost or leaving always get other owners.
type PlacementPolicy struct {
	// Automatic lets the controllers split and move shards for the sake of
	// balance, within MaxMoves and as the weights price it. Off unless set.
	Automatic bool `json:"automatic"`
	// Merge lets them, besides, merge cold neighbours with the same owner.
	Merge bool `json:"merge,omitempty" msgpack:",omitempty"`
	// MinShards is the number of shards below which they merge none. It bounds
	// no merge that an operator asks for.
	MinShards int `json:"min_shards,omitempty" msgpack:",omitempty"`
}

// Weights price the three measures of placement against each other.
type Weights struct {
	// Imbalance is the cost of one unit of (maximum load / mean load - 1).
	Imbalance float64 `json:"imbalance"`
	// Churn is the cost of moving the whole key space once.
	Churn float64 `json:"churn"`
	// Unavailable is the cost of one second without an owner for all keys.
	Unavailable float64 `json:"unavailable"`
}

// ServerIntent is what operators want of a server.
type ServerIntent string

// Intents for a server.
const (
	ServerActive   ServerIntent = "active"
	ServerRetiring ServerIntent = "retiring"
	ServerRetired  ServerIntent = "retired"
)

// Session is one agreed period of contact with a server or router process.
// While it is open the process may hold a lease.
type Session struct {
	Number      SessionNumber `json:"number"`
	Incarnation string        `json:"incarnation"`
	Open        bool          `json:"open"`
}

// Server is one back end of a service.
type Server struct {
	ID      ServerID    `json:"id"`
	Service ServiceName `json:"service"`
	// Address is the back end's HTTP address, IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests the server executes at the same time.
	Slots int `json:"slots"`
	// Connections bounds the connections that the server accepts.
	Connections int          `json:"connections"`
	Intent      ServerIntent `json:"intent"`
	// Leaving is true while the platform's list says that the machine leaves.
	Leaving bool `json:"leaving"`
	// Evacuated is true while operators want nothing sent to the server's zone.
	Evacuated bool    `json:"evacuated,omitempty" msgpack:",omitempty"`
	Session   Session `json:"session"`
	// ConfigRevision is the revision of the last change by an operator.
	ConfigRevision Revision `json:"config_revision"`
	Revision       Revision `json:"revision"`
}

// Withdrawn reports whether the server gets no new work though its operators did not retire
// it: its machine leaves, or its zone is evacuated.
func (s Server) Withdrawn() bool { return s.Leaving || s.Evacuated }

// KeyRange is a contiguous range of the 64-bit hash of the key, both ends
// included.
type KeyRange struct {
	First uint64 `json:"first" msgpack:"f"`
	Last  uint64 `json:"last" msgpack:"l"`
}

// ShardPhase is the step of a shard's life.
type ShardPhase string

// Phases of a shard.
const (
	// ShardUnowned: no server owns the shard.
	ShardUnowned ShardPhase = "unowned"
	// ShardOwned: Owner holds the shard at Epoch.
	ShardOwned ShardPhase = "owned"
	// ShardRevoking: Owner must release the shard; nobody else may have it.
	ShardRevoking ShardPhase = "revoking"
)

// Shard is the unit of ownership: a range of keys of one service. There are
// very many, so that msgpack names their fields by one letter.
type Shard struct {
	ID      ShardID     `json:"id" msgpack:"i"`
	Service ServiceName `json:"service" msgpack:"s"`
	Range   KeyRange    `json:"range" msgpack:"r"`
	Phase   ShardPhase  `json:"phase" msgpack:"p"`
	// Owner is empty while the shard is unowned.
	Owner ServerID `json:"owner" msgpack:"o,omitempty"`
	Epoch Epoch    `json:"epoch" msgpack:"e"`
	// Target is the server that is to own the shard next, if already chosen. An
	// owned shard with a target waits for its move to begin.
	Target   ServerID `json:"target,omitempty" msgpack:"t,omitempty"`
	Revision Revision `json:"revision" msgpack:"v"`
}

// Router is one router process that registered with the controllers.
type Router struct {
	ID RouterID `json:"id"`
	// Address accepts callers' HTTP, IP:port.
	Address string `json:"address"`
	// PeerAddress accepts connections from other routers, IP:port.
	PeerAddress string   `json:"peer_address"`
	Zone        string   `json:"zone"`
	Session     Session  `json:"session"`
	Revision    Revision `json:"revision"`
}

// RecordPartition places one partition of the idempotency records on routers.
type RecordPartition struct {
	Number int `json:"number"`
	// Primary alone admits requests of the partition, in the session
	// PrimarySession only: a process that restarted holds no records.
	Primary        RouterID      `json:"primary"`
	PrimarySession SessionNumber `json:"primary_session"`
	// Backup holds a copy of each record, in the session BackupSession; empty
	// while there is none.
	Backup        RouterID      `json:"backup"`
	BackupSession SessionNumber `json:"backup_session"`
	// Epoch rises at each change of the primary or the backup.
	Epoch Epoch `json:"epoch"`
	// BackupSynced is true once the backup holds every record of the primary.
	BackupSynced bool `json:"backup_synced"`
	// Former is the router whose copy was whole when the backup was replaced, in the session
	// FormerSession. It gets each change of a record until the backup holds every record; empty
	// for none. FormerEpoch is the epoch from which on it held every record.
	Former        RouterID      `json:"former,omitempty" msgpack:",omitempty"`
	FormerSession SessionNumber `json:"former_session,omitempty" msgpack:",omitempty"`
	FormerEpoch   Epoch         `json:"former_epoch,omitempty" msgpack:",omitempty"`
	// LostBefore is the time, in Unix milliseconds, before which records may
	// have been lost; zero when none was lost. Keys drawn before it never run.
	LostBefore int64    `json:"lost_before"`
	Revision   Revision `json:"revision"`
}

// DropFormer forgets the former copy.
func (p *RecordPartition) DropFormer() {
	p.Former, p.FormerSession, p.FormerEpoch = "", 0, 0
}

// Object is one routing-visible object, exactly one field of which is set.
type Object struct {
	Service   *Service         `json:"service,omitempty" msgpack:",omitempty"`
	Server    *Server          `json:"server,omitempty" msgpack:",omitempty"`
	Shard     *Shard           `json:"shard,omitempty" msgpack:"S,omitempty"`
	Router    *Router          `json:"router,omitempty" msgpack:",omitempty"`
	Partition *RecordPartition `json:"partition,omitempty" msgpack:",omitempty"`
	// Deleted names an object that is gone; its other fields are zero but for
	// the identifier, the revision and, of a shard, the service.
	Deleted bool `json:"deleted,omitempty" msgpack:",omitempty"`
}
