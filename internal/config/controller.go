package config

import "time"

// defaultCollectorPercent is the runtime's own.
const defaultCollectorPercent = 100

// Role names the kind of process that a settings file is for.
type Role string

// Roles of a process.
const (
	RoleController Role = "controller"
	RoleRouter     Role = "router"
)

// Controller holds the settings of one controller replica.
type Controller struct {
	Role             Role             `koanf:"role" validate:"eq=controller" doc:"Kind of process; always controller here."`
	Name             string           `koanf:"name" validate:"name" doc:"Name of this replica, one of the names in controllers."`
	ClusterName      string           `koanf:"cluster_name" validate:"name" doc:"Name of the cluster, for people; the same on each process."`
	Zone             string           `koanf:"zone" validate:"name" doc:"Zone that the machine stands in."`
	Zones            []string         `koanf:"zones" validate:"max=1024,dive,name" doc:"Zones of the deployment, by which an order about a zone that does not exist is found out; empty if only zones in which instances have announced themselves are known."`
	DataDirectory    string           `koanf:"data_directory" validate:"required" doc:"Folder of the log, the snapshots and the replica's identity."`
	PeerAddress      string           `koanf:"peer_address" validate:"address" doc:"IP:port that accepts other controllers and routers."`
	APIAddress       string           `koanf:"api_address" validate:"address" doc:"IP:port of the intent API, the health checks and the metrics."`
	AllowNonLoopback bool             `koanf:"allow_non_loopback" doc:"Allows addresses beyond the loopback interface."`
	Controllers      []ControllerPeer `koanf:"controllers" validate:"max=5,dive" doc:"The configured group, this replica included: 1, 3 or 5 entries. Empty where seeds are given."`
	Seeds            []string         `koanf:"seeds" validate:"max=16,dive,address" doc:"Controllers by which the group is found or formed, IP:port, in place of controllers; only the IP number counts, peers listen at the port of peer_address. Read again while this controller belongs to no group or knows no leader."`
	FirstStart       bool             `koanf:"first_start" doc:"With seeds: true only where the whole system starts for the first time, so that a new group may be formed."`
	ControllerUnit   string           `koanf:"controller_unit" validate:"name" doc:"With seeds and certificates: the organizational unit (OU) that the certificates of controllers bear, and those of no other process. Only they take part in consensus and formation."`
	Consensus        Consensus        `koanf:"consensus" doc:"Replicated log."`
	Lease            Lease            `koanf:"lease" doc:"Leases of the servers."`
	Heartbeat        Heartbeat        `koanf:"heartbeat" doc:"Instances that announce themselves and renew leases by heartbeats."`
	Quota            Quota            `koanf:"quota" doc:"Limits of tenants."`
	Quarantine       Quarantine       `koanf:"quarantine" doc:"Requests that crash their servers."`
	Platform         Platform         `koanf:"platform" doc:"The platform's list of machines."`
	Table            Table            `koanf:"table" doc:"Routing table streams to the routers."`
	Partitions       Partitions       `koanf:"partitions" doc:"Placement of the idempotency records on routers."`
	API              API              `koanf:"api" doc:"Intent API."`
	TLS              TLS              `koanf:"tls" doc:"Certificates."`
	Maintenance      Maintenance      `koanf:"maintenance" doc:"Background work of the leader."`
	CollectorPercent int              `koanf:"collector_percent" validate:"min=5,max=1000" doc:"Growth of the heap, in percent, after which the collector runs: less memory for more processor time."`
	DescriptorLimit  int              `koanf:"descriptor_limit" validate:"min=0,max=10000000" doc:"File descriptors that the process may have open, if fewer than its own limit (RLIMIT_NOFILE); 0 for that limit. Connections leave a part of them to files, and clients one to other processes of the system."`
	StopTimeout      time.Duration    `koanf:"stop_timeout" validate:"min=100ms,max=10m" doc:"Longest time that a graceful stop may take."`
	Log              Log              `koanf:"log" doc:"Log lines."`
}

// ControllerPeer is one entry of the configured group of controllers.
type ControllerPeer struct {
	Name        string `koanf:"name" validate:"name" doc:"Name of the replica."`
	PeerAddress string `koanf:"peer_address" validate:"address" doc:"IP:port that accepts other controllers and routers."`
	APIAddress  string `koanf:"api_address" validate:"address" doc:"IP:port of the replica's intent API."`
}

// Consensus holds the settings of the replicated log.
type Consensus struct {
	TickInterval        time.Duration `koanf:"tick_interval" validate:"min=1ms,max=1s" doc:"Unit of the two tick counts below."`
	HeartbeatTicks      int           `koanf:"heartbeat_ticks" validate:"min=1,max=1000" doc:"Ticks between two heartbeats of the leader."`
	ElectionTicks       int           `koanf:"election_ticks" validate:"min=2,max=10000" doc:"Ticks without a leader before an election; randomised up to twice as many."`
	SnapshotEntries     int           `koanf:"snapshot_entries" validate:"min=10,max=1000000" doc:"Applied log entries after which a snapshot is taken."`
	SnapshotBytes       int           `koanf:"snapshot_bytes" validate:"min=65536,max=1073741824" doc:"Applied log bytes after which a snapshot is taken."`
	MaxAppendBytes      int           `koanf:"max_append_bytes" validate:"min=4096,max=16777216" doc:"Bound of the entry data in one append message, in bytes."`
	MaxInflight         int           `koanf:"max_inflight" validate:"min=1,max=1024" doc:"Bound of unacknowledged append messages to one replica."`
	MaxUncommittedBytes int           `koanf:"max_uncommitted_bytes" validate:"min=65536,max=1073741824" doc:"Bound of proposals that are not yet committed, in bytes."`
	ProposalTimeout     time.Duration `koanf:"proposal_timeout" validate:"min=10ms,max=1m" doc:"Longest wait for a proposal or a confirmed read."`
}

// Lease holds the settings of the leases that servers hold.
type Lease struct {
	Duration       time.Duration `koanf:"duration" validate:"min=50ms,max=1m" doc:"Length of a server's lease, from the server's own clock reading."`
	RenewInterval  time.Duration `koanf:"renew_interval" validate:"min=10ms,max=20s" doc:"Time between two renewals; at most a third of duration."`
	ClockRateBound float64       `koanf:"clock_rate_bound" validate:"min=0,max=0.1" doc:"Largest difference in speed of two machines' clocks, as a share."`
	Margin         time.Duration `koanf:"margin" validate:"min=1ms,max=10s" doc:"Time added before a lease counts as ended."`
	RequestTimeout time.Duration `koanf:"request_timeout" validate:"min=10ms,max=30s" doc:"Longest wait for a server's answer to a renewal; below duration."`
	MaxAnswerBytes int           `koanf:"max_answer_bytes" validate:"min=4096,max=67108864" doc:"Bound of a server's answer, in bytes."`
}

// Heartbeat holds the settings of leases that instances renew by heartbeats.
type Heartbeat struct {
	Lease          time.Duration `koanf:"lease" validate:"min=500ms,max=1m" doc:"How long an instance holds its keys, from the sending of a heartbeat."`
	Interval       time.Duration `koanf:"interval" validate:"min=0s,max=1m" doc:"Longest regular time between two heartbeats of an instance, as the platform tells it; 0s if it does not. The lease is at least that and 2.5 s, so that one heartbeat may fail, or a leader be replaced, before keys are lost."`
	LeaseLimit     time.Duration `koanf:"lease_limit" validate:"min=500ms,max=1m" doc:"Longest lease that the instances take; bounds lease."`
	MaxLease       time.Duration `koanf:"max_lease" validate:"min=0s,max=1m" doc:"Longest lease that any controller of the group grants or has granted, waited out after a change of leader; 0s for the lease of these settings. Set it to the longer one while lease is changed from one controller to the next."`
	ClockRateBound float64       `koanf:"clock_rate_bound" validate:"min=0,max=0.1" doc:"Largest difference in speed of two machines' clocks, as a share."`
	Margin         time.Duration `koanf:"margin" validate:"min=1ms,max=10s" doc:"Time added before a lease counts as ended."`
	Gather         time.Duration `koanf:"gather" validate:"min=0s,max=1m" doc:"How long a new keyed service waits for its instances before its keys are given out."`
	AddressReuse   time.Duration `koanf:"address_reuse" validate:"min=0s,max=1h" doc:"Shortest time after which the platform gives an instance's address to another service."`
	Stripes        int           `koanf:"stripes" validate:"min=1,max=120" doc:"Ranges of keys that each instance of a new keyed service gets, far apart from each other."`
	MaxMoves       int           `koanf:"max_moves" validate:"min=0,max=1000" doc:"Bound of key ranges of a service that move at the same time for the sake of balance; half the number of its instances if that is more, 0 for none."`
	HoldBack       time.Duration `koanf:"hold_back" validate:"min=0s,max=30s" doc:"How long the answer to a heartbeat waits for keys that the instance is to get or to let go; below answer_timeout, 0s for not at all. At most half of the lease, and less where the lease would end before the answer."`
	AnswerTimeout  time.Duration `koanf:"answer_timeout" validate:"min=10ms,max=30s" doc:"Time after which a heartbeat is not answered any more, since the instance has given it up."`
}

// Quota holds the settings of the limits of tenants, which are counted over all gateways.
type Quota struct {
	Slack float64 `koanf:"slack" validate:"min=0,max=100000" doc:"Requests of a tenant beyond its limit that do no harm; half of them are let through, so that chance rejects nothing within the limit."`
}

// Quarantine holds the settings for requests that crash the servers that run them.
type Quarantine struct {
	Crashes     int           `koanf:"crashes" validate:"min=2,max=8" doc:"Servers that crash under a request before it is put in quarantine: it is sent to none any more."`
	SuspectTime time.Duration `koanf:"suspect_time" validate:"min=10s,max=24h" doc:"How long after a crash the requests that were in flight are remembered."`
	Time        time.Duration `koanf:"time" validate:"min=1m,max=8760h" doc:"How long after it came last a request stays in quarantine."`
}

// defaultQuarantineCrashes is the number of servers that a request may take down: one crash may have
// any cause, and two may meet by chance.
const defaultQuarantineCrashes = 3

// leaseBeyondInterval is by how much a lease is longer than the time between two heartbeats: a
// heartbeat that fails is given up after a second, and a new leader takes about one to answer.
const leaseBeyondInterval = 2500 * time.Millisecond

// EffectiveLease returns the lease that is granted.
func (h Heartbeat) EffectiveLease() time.Duration {
	lease := h.Lease
	if h.Interval > 0 {
		lease = max(lease, h.Interval+leaseBeyondInterval)
	}
	return min(lease, h.LeaseLimit)
}

// LongestLease returns the longest lease that may have been granted.
func (h Heartbeat) LongestLease() time.Duration { return max(h.MaxLease, h.EffectiveLease()) }

// Platform holds the settings of the platform's list of machines.
type Platform struct {
	URL            string        `koanf:"url" validate:"omitempty,platform_url" doc:"Where the list is served, http://IP:port/path; empty for none."`
	PollInterval   time.Duration `koanf:"poll_interval" validate:"min=50ms,max=10m" doc:"Time between two reads of the list."`
	RequestTimeout time.Duration `koanf:"request_timeout" validate:"min=10ms,max=1m" doc:"Longest wait for the list."`
	MaxAnswerBytes int           `koanf:"max_answer_bytes" validate:"min=4096,max=67108864" doc:"Bound of the list, in bytes."`
}

// Table holds the settings of the routing table streams.
type Table struct {
	StreamLimit     int           `koanf:"stream_limit" validate:"min=1,max=100000" doc:"Bound of routers connected to one controller."`
	HistoryDeltas   int           `koanf:"history_deltas" validate:"min=1,max=100000" doc:"Deltas kept for routers that reconnect; older ones get a snapshot."`
	SnapshotObjects int           `koanf:"snapshot_objects" validate:"min=1,max=100000" doc:"Objects in one part of a table snapshot."`
	QueueFrames     int           `koanf:"queue_frames" validate:"min=1,max=100000" doc:"Bound of frames that wait for one router; a slower router is disconnected."`
	WriteTimeout    time.Duration `koanf:"write_timeout" validate:"min=10ms,max=1m" doc:"Longest time for one write to a router."`
}

// Partitions holds the settings of the placement of idempotency records.
type Partitions struct {
	Count         int           `koanf:"count" validate:"min=1,max=4096" doc:"Number of record partitions; fixed once the cluster is formed."`
	LeaseDuration time.Duration `koanf:"lease_duration" validate:"min=100ms,max=1m" doc:"Length of a router's lease as a record primary, from its ping."`
}

// API holds the settings of the intent API.
type API struct {
	BodyLimit      int           `koanf:"body_limit" validate:"min=1024,max=67108864" doc:"Bound of a request body, in bytes."`
	MaxConnections int           `koanf:"max_connections" validate:"min=1,max=100000" doc:"Bound of open connections."`
	RequestMemory  int           `koanf:"request_memory" validate:"min=65536,max=1099511627776" doc:"Memory in bytes that the bodies of calls and the answers that wait until a client takes them may use together. Beyond it clients that make no progress are disconnected, and calls with a body above 8 KiB rejected."`
	RequestTimeout time.Duration `koanf:"request_timeout" validate:"min=100ms,max=1m" doc:"Longest time for one call."`
	IdleTimeout    time.Duration `koanf:"idle_timeout" validate:"min=100ms,max=10m" doc:"Time after which a connection without a call is closed; above the time between two heartbeats of an instance."`
	Operators      []Operator    `koanf:"operators" validate:"max=1000,dive" doc:"Rights of operators, by their certificates."`
}

// Maintenance holds the settings of the leader's background work.
type Maintenance struct {
	Interval time.Duration `koanf:"interval" validate:"min=5ms,max=10s" doc:"Time between two looks at what is wanted and what is in force."`
}

// Log holds the settings of the log lines.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warning error" doc:"Least severe level that is written: debug, info, warning or error."`
}

// DefaultController returns the settings that hold where a file says nothing.
// Fields without a default (name, controllers and the like) are empty.
func DefaultController() Controller {
	return Controller{
		Role:           RoleController,
		ClusterName:    "thorntiller",
		Zone:           "default",
		DataDirectory:  "data",
		PeerAddress:    "127.0.0.1:7101",
		APIAddress:     "127.0.0.1:7201",
		ControllerUnit: "controllers",
		Consensus: Consensus{
			TickInterval:        10 * time.Millisecond,
			HeartbeatTicks:      4,
			ElectionTicks:       20,
			SnapshotEntries:     500,
			SnapshotBytes:       8 * mebibyte,
			MaxAppendBytes:      256 * kibibyte,
			MaxInflight:         64,
			MaxUncommittedBytes: 16 * mebibyte,
			ProposalTimeout:     2 * time.Second,
		},
		Lease: Lease{
			Duration:       700 * time.Millisecond,
			RenewInterval:  150 * time.Millisecond,
			ClockRateBound: 0.01,
			Margin:         20 * time.Millisecond,
			RequestTimeout: 200 * time.Millisecond,
			MaxAnswerBytes: mebibyte,
		},
		Heartbeat: Heartbeat{
			Lease:          4 * time.Second,
			LeaseLimit:     10 * time.Second,
			ClockRateBound: 0.02,
			Margin:         100 * time.Millisecond,
			Gather:         2 * time.Second,
			AddressReuse:   2 * time.Second,
			Stripes:        110,
			MaxMoves:       16,
			HoldBack:       700 * time.Millisecond,
			AnswerTimeout:  850 * time.Millisecond,
		},
		Quarantine: Quarantine{Crashes: defaultQuarantineCrashes, SuspectTime: 10 * time.Minute, Time: 24 * time.Hour},
		Platform: Platform{
			PollInterval:   500 * time.Millisecond,
			RequestTimeout: time.Second,
			MaxAnswerBytes: 4 * mebibyte,
		},
		Table: Table{
			StreamLimit:     1024,
			HistoryDeltas:   1024,
			SnapshotObjects: 1000,
			QueueFrames:     256,
			WriteTimeout:    2 * time.Second,
		},
		Partitions:  Partitions{Count: 16, LeaseDuration: 800 * time.Millisecond},
		API:         API{BodyLimit: mebibyte, MaxConnections: 256, RequestMemory: 64 * mebibyte, RequestTimeout: 5 * time.Second, IdleTimeout: 6 * time.Second},
		TLS:         defaultTLS(),
		Maintenance: Maintenance{Interval: 20 * time.Millisecond},
		StopTimeout: 10 * time.Second,

		CollectorPercent: defaultCollectorPercent,
		Log:              Log{Level: "info"},
	}
}
