package intentapi

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Paths of the intent API. A follower answers writes, and all reads except
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
	// Digest must equal the plan's digest, so that the operator confirms the plan that was displayed.
	Digest string `json:"digest"`
}

// Status describes one controller replica and its view of the cluster.
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
	// Services, Servers and Routers summarise the configuration in force.
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
	// Observed is true while the scripts of the server's team, not the controllers, decide
	// what the server serves; Differences then counts the key ranges in which the server
	// and the imported map differ.
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
	// LagMs is the time in milliseconds since the router was last proved current.
	LagMs int64 `json:"lag_ms"`
	// InForce is true if the router has the newest table.
	InForce bool `json:"in_force"`
	// Problems lists settings of the router that conflict with those of the controllers
	// or of other routers, each with field, value and remedy.
	Problems []string `json:"problems,omitempty"`
	// Services lists the services that the router routes; empty means all. InForce
	// refers only to their part of the table.
	Services []state.ServiceName `json:"services,omitempty"`
}

// Tenant describes a tenant to operators.
type Tenant struct {
	Name string `json:"name"`
	// Keys is the number of API keys of the tenant.
	Keys           int      `json:"keys"`
	Priority       *int     `json:"priority,omitempty"`
	RatePerSecond  float64  `json:"rate_per_second,omitempty"`
	Burst          float64  `json:"burst,omitempty"`
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// UsePerSecond is the number of tokens that gateways take per second, as counted by the leader;
	// zero for a tenant without a limit.
	UsePerSecond float64 `json:"use_per_second"`
}
