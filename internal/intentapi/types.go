package intentapi

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Paths of the intent API. A follower answers writes, and reads without
// PathStatus, with status 421 and an ErrorBody that names the leader.
const (
	// PathPlans takes state.Intent by POST and answers state.Plan; by GET it
	// answers every stored state.Plan as a list.
	PathPlans = "/v1/plans"
	// PathPlan answers state.Plan by GET.
	PathPlan = "/v1/plans/:id"
	// PathConfirm takes ConfirmRequest by POST and answers state.Plan.
	PathConfirm = "/v1/plans/:id/confirm"
	// PathServices, PathServers and PathShards answer lists of the state's types
	// of these names by GET.
	PathServices = "/v1/services"
	PathServers  = "/v1/servers"
	// PathShards takes the query parameter "service".
	PathShards = "/v1/shards"
	// PathRouters answers a list of RouterStatus by GET.
	PathRouters = "/v1/routers"
	// PathTenants answers a list of Tenant by GET.
	PathTenants = "/v1/tenants"
	// PathDirectory answers directory.Content by GET: items, instances and layouts.
	PathDirectory = "/v1/directory"
	// PathMembers answers a list of consensus.Member by GET.
	PathMembers = "/v1/members"
	// PathStatus answers Status on every replica, leader or not.
	PathStatus = "/v1/status"
	// PathTransfer, by POST, asks the leader to hand over its leadership.
	PathTransfer = "/v1/transfer"
	PathLive     = "/health/live"
	PathReady    = "/health/ready"
	PathMetrics  = "/metrics"
)

// ErrorBody is the JSON body of every failed call.
type ErrorBody struct {
	Kind    fault.Kind    `json:"kind"`
	Outcome fault.Outcome `json:"outcome"`
	Detail  string        `json:"detail"`
	// Leader is the API address of the leader, with kind not_leader.
	Leader string `json:"leader,omitempty"`
}

// ConfirmRequest confirms a stored plan.
type ConfirmRequest struct {
	Operator string `json:"operator"`
	// Digest must equal the plan's digest: the operator confirms what was seen.
	Digest string `json:"digest"`
}

// Status describes one controller replica and what it knows of the cluster.
type Status struct {
	Cluster    string             `json:"cluster"`
	Replica    string             `json:"replica"`
	Role       string             `json:"role"`
	Term       uint64             `json:"term"`
	LeaderName string             `json:"leader_name"`
	LeaderAPI  string             `json:"leader_api"`
	Commit     uint64             `json:"commit"`
	Applied    uint64             `json:"applied"`
	Members    []consensus.Member `json:"members"`
	// Revision is the newest revision of the routing table on this replica.
	Revision state.Revision `json:"revision"`
	// Current is true if the leader confirmed this answer with a quorum.
	Current bool `json:"current"`
	// Services, Servers and Routers summarise what is in force.
	Services []ServiceStatus `json:"services"`
	Servers  []ServerStatus  `json:"servers"`
	Routers  []RouterStatus  `json:"routers"`
}

// ServiceStatus summarises one service.
type ServiceStatus struct {
	Name     state.ServiceName `json:"name"`
	Mode     state.ServiceMode `json:"mode"`
	Keyed    bool              `json:"keyed"`
	Shards   int               `json:"shards"`
	Owned    int               `json:"owned"`
	Revoking int               `json:"revoking"`
	Unowned  int               `json:"unowned"`
}

// ServerStatus summarises one server.
type ServerStatus struct {
	ID      state.ServerID     `json:"id"`
	Service state.ServiceName  `json:"service"`
	Address string             `json:"address"`
	Zone    string             `json:"zone"`
	Intent  state.ServerIntent `json:"intent"`
	Open    bool               `json:"session_open"`
	Shards  int                `json:"shards"`
	// InForce is true once the server holds exactly its assignments.
	InForce bool `json:"in_force"`
	// Observed is true while the server serves by decision of its team's own
	// scripts; Differences then counts the key ranges in which it and the
	// imported map differ.
	Observed    bool `json:"observed"`
	Differences int  `json:"differences"`
}

// RouterStatus summarises one router.
type RouterStatus struct {
	ID       state.RouterID `json:"id"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Open     bool           `json:"session_open"`
	Revision state.Revision `json:"revision"`
	// LagMs is the time since the router last proved that it is current.
	LagMs int64 `json:"lag_ms"`
	// InForce is true if the router has the newest table.
	InForce bool `json:"in_force"`
	// Problems tell how the router's settings do not fit those of the controllers
	// or of other routers: field, value and remedy.
	Problems []string `json:"problems,omitempty"`
	// Services are the only ones that the router routes; empty for all. InForce
	// is said of their part of the table.
	Services []state.ServiceName `json:"services,omitempty"`
}

// Tenant is a tenant as operators see it.
type Tenant struct {
	Name string `json:"name"`
	// Keys is how many API keys it has.
	Keys           int      `json:"keys"`
	Priority       *int     `json:"priority,omitempty"`
	RatePerSecond  float64  `json:"rate_per_second,omitempty"`
	Burst          float64  `json:"burst,omitempty"`
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// UsePerSecond is how many tokens a second gateways take, as the leader counts them; zero
	// for a tenant without a limit.
	UsePerSecond float64 `json:"use_per_second"`
}
