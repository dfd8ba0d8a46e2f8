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
	// ID is chosen by the operator. A resend with the same content gets the
	// first answer again; with other content it gets a conflict.
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
	// Placement is the policy for moves without a plan.
	Placement PlacementPolicy `json:"placement"`
}

// CreateService asks for a new service. Shards is the number of equal key
// ranges that it starts with; zero for services without keys.
type CreateService struct {
	Name  ServiceName `json:"name"`
	Keyed bool        `json:"keyed"`
	// Mode is managed when empty. An observed service with keys needs Map in
	// place of Shards.
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

// AddServers asks for more servers in a service.
type AddServers struct {
	Service ServiceName  `json:"service"`
	Servers []ServerSpec `json:"servers"`
}

// MoveKey asks that one key gets another owner. The key's shard is split so
// that the key moves alone. To may be empty: placement then chooses.
type MoveKey struct {
	Service ServiceName `json:"service"`
	Key     string      `json:"key"`
	To      ServerID    `json:"to"`
}

// RetireServer asks that a server gives up its shards and gets no new work.
type RetireServer struct {
	Server ServerID `json:"server"`
}

// Rebalance asks placement for moves that pay for themselves.
type Rebalance struct {
	Service ServiceName `json:"service"`
}

// SetMode switches a service between observed and managed.
type SetMode struct {
	Service ServiceName `json:"service"`
	Mode    ServiceMode `json:"mode"`
	// Map is the scripts' ownership, for services that are observed already.
	Map OwnershipMap `json:"map"`
}

// MergeNeighbours asks that two neighbours with the same owner become one shard.
// Their order does not matter.
type MergeNeighbours struct {
	Service ServiceName `json:"service"`
	First   ShardID     `json:"first"`
	Second  ShardID     `json:"second"`
}

// ZoneRequest asks that the servers and instances of a zone get no requests and no keys,
// or that they get them again.
type ZoneRequest struct {
	Zone string `json:"zone"`
}

// ReleaseRequest asks that a request in quarantine is sent to servers again. One more crash puts it
// back.
type ReleaseRequest struct {
	// Fingerprint names the request, in hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
}

// OwnershipMap is the ownership that a team's own scripts decided. Keys go
// before Ranges, and both before Rest.
type OwnershipMap struct {
	Ranges []OwnedRange `json:"ranges,omitempty"`
	Keys   []OwnedKey   `json:"keys,omitempty"`
	// Rest owns every key that neither list names; empty if the ranges cover
	// the whole key space.
	Rest ServerID `json:"rest,omitempty"`
}

// OwnedRange gives a range of key hashes to a server.
type OwnedRange struct {
	Range  KeyRange `json:"range"`
	Server ServerID `json:"server"`
}

// OwnedKey gives one key to a server.
type OwnedKey struct {
	Key    string   `json:"key"`
	Server ServerID `json:"server"`
}

// ObserveRanges routes a service by ranges that cover its key space in order.
type ObserveRanges struct {
	Service ServiceName  `json:"service"`
	Ranges  []OwnedRange `json:"ranges"`
}

// ChangeMode switches a service to a mode. Revision is the one of the service
// that the plan rests on.
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

// ChangesDirectory reports whether the plan changes what gateways route by.
func (p Plan) ChangesDirectory() bool {
	return slices.ContainsFunc(p.Operations, func(operation Operation) bool {
		return operation.PutZone != nil || operation.Release != nil
	})
}

// CreateShards cuts a service's key space into Count equal ranges.
type CreateShards struct {
	Service ServiceName `json:"service"`
	Count   int         `json:"count"`
}

// IsolateKey splits Shard so that Hash stands alone in a shard of its own,
// which then moves to To.
type IsolateKey struct {
	Shard ShardID  `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	Hash  uint64   `json:"hash"`
	To    ServerID `json:"to"`
}

// MoveShard moves a whole shard. Epoch is the epoch that the plan rests on.
type MoveShard struct {
	Shard ShardID  `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	From  ServerID `json:"from"`
	To    ServerID `json:"to"`
}

// Prediction is what a plan is expected to cost.
type Prediction struct {
	Moves int `json:"moves"`
	// ImbalanceBefore and ImbalanceAfter are maximum load / mean load.
	ImbalanceBefore float64 `json:"imbalance_before"`
	ImbalanceAfter  float64 `json:"imbalance_after"`
	// Churn is the share of the service's key space that changes owner.
	Churn float64 `json:"churn"`
	// Unavailable is the expected time that each moved shard has no owner.
	Unavailable time.Duration `json:"unavailable_ns"`
	// Measured is true if Unavailable rests on earlier moves of the service.
	Measured bool `json:"measured"`
}

// PlanStatus is the step of a plan's life.
type PlanStatus string

// Steps of a plan's life.
const (
	PlanStored    PlanStatus = "stored"
	PlanConfirmed PlanStatus = "confirmed"
	PlanStale     PlanStatus = "stale"
)

// Plan is the stored answer to an intent. It changes nothing until confirmed.
type Plan struct {
	ID     PlanID     `json:"id"`
	Intent Intent     `json:"intent"`
	Status PlanStatus `json:"status"`
	// Base is the revision of the service at the time of planning: the plan is
	// stale once the service's configuration or a shard that it moves changed.
	Base       Revision    `json:"base"`
	Operations []Operation `json:"operations"`
	Prediction Prediction  `json:"prediction"`
	// Reasons explain the operations to a person, one line each.
	Reasons []string `json:"reasons"`
	// Digest is the xxhash of the operations, shown to the operator.
	Digest string `json:"digest"`
	// Accepted is the revision at which the plan was confirmed.
	Accepted Revision `json:"accepted"`
	// Operator who confirmed.
	ConfirmedBy string `json:"confirmed_by,omitempty"`
	// Forgotten says that the intent was answered before and that only status,
	// digest and revision are still known.
	Forgotten bool `json:"forgotten,omitempty" msgpack:",omitempty"`
}
