package state

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// IntentKind names what an operator asks for.
type IntentKind string

// Kinds of intent.
const (
	IntentCreateService IntentKind = "create_service"
	IntentUpdateService IntentKind = "update_service"
	IntentAddServers    IntentKind = "add_servers"
	IntentMoveKey       IntentKind = "move_key"
	IntentRetireServer  IntentKind = "retire_server"
	IntentRebalance     IntentKind = "rebalance"
	IntentSetMode       IntentKind = "set_mode"
	IntentMergeShards   IntentKind = "merge_shards"
	IntentEvacuateZone  IntentKind = "evacuate_zone"
	IntentRestoreZone   IntentKind = "restore_zone"
	IntentRelease       IntentKind = "release_request"
)

// Intent is what an operator asks for. Exactly one of the pointer fields is
// set, the one that Kind names.
type Intent struct {
	// ID is chosen by the operator. A retry with the same content gets the
	// original answer; with different content it gets a conflict.
	ID            IntentID         `json:"intent_id"`
	Operator      string           `json:"operator"`
	Kind          IntentKind       `json:"kind"`
	CreateService *CreateService   `json:"create_service,omitempty"`
	UpdateService *UpdateService   `json:"update_service,omitempty"`
	AddServers    *AddServers      `json:"add_servers,omitempty"`
	MoveKey       *MoveKey         `json:"move_key,omitempty"`
	RetireServer  *RetireServer    `json:"retire_server,omitempty"`
	Rebalance     *Rebalance       `json:"rebalance,omitempty"`
	SetMode       *SetMode         `json:"set_mode,omitempty"`
	MergeShards   *MergeNeighbours `json:"merge_shards,omitempty" msgpack:",omitempty"`
	EvacuateZone  *ZoneRequest     `json:"evacuate_zone,omitempty" msgpack:",omitempty"`
	RestoreZone   *ZoneRequest     `json:"restore_zone,omitempty" msgpack:",omitempty"`
	Release       *ReleaseRequest  `json:"release_request,omitempty" msgpack:",omitempty"`
}

// ServiceSettings are the operator's settings of a service.
type ServiceSettings struct {
	DefaultTimeoutMs int64   `json:"default_timeout_ms"`
	QueueLimit       int     `json:"queue_limit"`
	RequestLimit     int     `json:"request_limit"`
	RetryRatio       float64 `json:"retry_ratio"`
	MaxMoves         int     `json:"max_moves"`
	Weights          Weights `json:"weights"`
	// Placement is the policy for moves that the controllers make without a plan.
	Placement PlacementPolicy `json:"placement"`
}

// CreateService requests a new service. Shards is the initial number of equal key
// ranges; zero for services without keys.
type CreateService struct {
	Name  ServiceName `json:"name"`
	Keyed bool        `json:"keyed"`
	// Mode defaults to managed. An observed service with keys requires Map instead
	// of Shards.
	Mode     ServiceMode     `json:"mode,omitempty"`
	Shards   int             `json:"shards"`
	Settings ServiceSettings `json:"settings"`
	Servers  []ServerSpec    `json:"servers,omitempty"`
	Map      OwnershipMap    `json:"map"`
}

// UpdateService replaces a service's settings.
type UpdateService struct {
	Name     ServiceName     `json:"name"`
	Settings ServiceSettings `json:"settings"`
}

// ServerSpec describes one server.
type ServerSpec struct {
	ID          ServerID `json:"id"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}

// AddServers requests that servers are added to a service.
type AddServers struct {
	Service ServiceName  `json:"service"`
	Servers []ServerSpec `json:"servers"`
}

// MoveKey requests another owner for one key. The key's shard is split so that only
// the key moves. If To is empty, placement chooses the new owner.
type MoveKey struct {
	Service ServiceName `json:"service"`
	Key     string      `json:"key"`
	To      ServerID    `json:"to"`
}

// RetireServer requests that a server releases its shards and gets no new work.
type RetireServer struct {
	Server ServerID `json:"server"`
}

// Rebalance requests the moves whose gain in balance exceeds their cost under the
// service's Weights.
type Rebalance struct {
	Service ServiceName `json:"service"`
}

// SetMode switches a service between observed and managed.
type SetMode struct {
	Service ServiceName `json:"service"`
	Mode    ServiceMode `json:"mode"`
	// Map is the ownership decided by the team's scripts, for services that are already
	// observed.
	Map OwnershipMap `json:"map"`
}

// MergeNeighbours requests that two adjacent shards with the same owner are merged.
// Their order does not matter.
type MergeNeighbours struct {
	Service ServiceName `json:"service"`
	First   ShardID     `json:"first"`
	Second  ShardID     `json:"second"`
}

// ZoneRequest requests that the servers and instances of a zone stop receiving requests and
// keys, or that they receive them again.
type ZoneRequest struct {
	Zone string `json:"zone"`
}

// ReleaseRequest requests that a quarantined request is sent to servers again. One more crash
// returns it to quarantine.
type ReleaseRequest struct {
	// Fingerprint identifies the request, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
}

// OwnershipMap is the ownership decided by a team's own scripts. Keys take precedence
// over Ranges, and both over Rest.
type OwnershipMap struct {
	Ranges []OwnedRange `json:"ranges,omitempty"`
	Keys   []OwnedKey   `json:"keys,omitempty"`
	// Rest owns every key that is in neither list; empty if the ranges cover the
	// whole key space.
	Rest ServerID `json:"rest,omitempty"`
}

// OwnedRange assigns a range of key hashes to a server.
type OwnedRange struct {
	Range  KeyRange `json:"range"`
	Server ServerID `json:"server"`
}

// OwnedKey assigns one key to a server.
type OwnedKey struct {
	Key    string   `json:"key"`
	Server ServerID `json:"server"`
}

// ObserveRanges sets the observed ownership of a service. The ranges are in order and
// cover its key space.
type ObserveRanges struct {
	Service ServiceName  `json:"service"`
	Ranges  []OwnedRange `json:"ranges"`
}

// ChangeMode switches a service to a mode. Revision is the service's revision that
// the plan is based on.
type ChangeMode struct {
	Service  ServiceName `json:"service"`
	Mode     ServiceMode `json:"mode"`
	Revision Revision    `json:"revision"`
}

// Operation is one step of a plan; exactly one field is set.
type Operation struct {
	PutService    *Service        `json:"put_service,omitempty"`
	PutServer     *Server         `json:"put_server,omitempty"`
	CreateShards  *CreateShards   `json:"create_shards,omitempty"`
	IsolateKey    *IsolateKey     `json:"isolate_key,omitempty"`
	MoveShard     *MoveShard      `json:"move_shard,omitempty"`
	ObserveRanges *ObserveRanges  `json:"observe_ranges,omitempty"`
	ChangeMode    *ChangeMode     `json:"change_mode,omitempty"`
	MergeShards   *ShardMerge     `json:"merge_shards,omitempty" msgpack:",omitempty"`
	PutZone       *directory.Zone `json:"put_zone,omitempty" msgpack:",omitempty"`
	Release       *ReleaseRequest `json:"release_request,omitempty" msgpack:",omitempty"`
}

// ChangesDirectory reports whether the plan changes the directory that gateways route by.
func (p Plan) ChangesDirectory() bool {
	return slices.ContainsFunc(p.Operations, func(operation Operation) bool {
		return operation.PutZone != nil || operation.Release != nil
	})
}

// CreateShards divides a service's key space into Count equal ranges.
type CreateShards struct {
	Service ServiceName `json:"service"`
	Count   int         `json:"count"`
}

// IsolateKey splits Shard so that Hash gets a shard of its own, which then moves to
// To.
type IsolateKey struct {
	Shard ShardID  `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	Hash  uint64   `json:"hash"`
	To    ServerID `json:"to"`
}

// MoveShard moves a whole shard. Epoch is the epoch that the decision is based on.
type MoveShard struct {
	Shard ShardID  `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	From  ServerID `json:"from"`
	To    ServerID `json:"to"`
}

// Prediction is the expected effect and cost of a plan.
type Prediction struct {
	Moves int `json:"moves"`
	// ImbalanceBefore and ImbalanceAfter are maximum load / mean load.
	ImbalanceBefore float64 `json:"imbalance_before"`
	ImbalanceAfter  float64 `json:"imbalance_after"`
	// Churn is the fraction of the service's key space that changes owner.
	Churn float64 `json:"churn"`
	// Unavailable is the expected time during which a moved shard has no owner.
	Unavailable time.Duration `json:"unavailable_ns"`
	// Measured is true if Unavailable is based on earlier moves of the service.
	Measured bool `json:"measured"`
}

// PlanStatus is the stage of a plan's life cycle.
type PlanStatus string

// Plan statuses.
const (
	PlanStored    PlanStatus = "stored"
	PlanConfirmed PlanStatus = "confirmed"
	PlanStale     PlanStatus = "stale"
)

// Plan is the stored plan for an intent. It has no effect until it is confirmed.
type Plan struct {
	ID     PlanID     `json:"id"`
	Intent Intent     `json:"intent"`
	Status PlanStatus `json:"status"`
	// Base is the revision of the service at the time of planning. The plan becomes
	// stale when the service's configuration or a shard that the plan moves changes.
	Base       Revision    `json:"base"`
	Operations []Operation `json:"operations"`
	Prediction Prediction  `json:"prediction"`
	// Reasons explain the operations to the operator, one line each.
	Reasons []string `json:"reasons"`
	// Digest is the xxhash of the operations, shown to the operator.
	Digest string `json:"digest"`
	// Accepted is the revision at which the plan was confirmed.
	Accepted Revision `json:"accepted"`
	// ConfirmedBy is the operator who confirmed the plan.
	ConfirmedBy string `json:"confirmed_by,omitempty"`
	// Forgotten is true if the intent was answered earlier and only the status, the
	// digest, the revision and the confirming operator are still known.
	Forgotten bool `json:"forgotten,omitempty" msgpack:",omitempty"`
}
