package config

import "time"

// RoleGateway is a router that finds services by the host and path of a request.
const RoleGateway Role = "gateway"

// Gateway holds the settings of one gateway.
type Gateway struct {
	Role              Role          `koanf:"role" validate:"eq=gateway" doc:"Kind of process; always gateway here."`
	Name              string        `koanf:"name" validate:"name" doc:"Name of this gateway, unique in the cluster."`
	Zone              string        `koanf:"zone" validate:"name" doc:"Zone that the machine stands in."`
	Dialect           string        `koanf:"dialect" validate:"name" doc:"Names of the headers that callers and instances use; thorntiller for our own."`
	Address           string        `koanf:"address" validate:"address" doc:"IP:port that accepts callers' HTTP."`
	AdminAddress      string        `koanf:"admin_address" validate:"address" doc:"IP:port of the health checks and the metrics."`
	MetricsAddress    string        `koanf:"metrics_address" validate:"omitempty,address" doc:"Further IP:port of the metrics; empty for none."`
	AllowNonLoopback  bool          `koanf:"allow_non_loopback" doc:"Allows addresses beyond the loopback interface."`
	Seeds             []string      `koanf:"seeds" validate:"required,max=16,dive,address" doc:"Controllers by which the group is found, IP:port; only the IP number counts. Read again whenever no controller answers."`
	ControllerPort    int           `koanf:"controller_port" validate:"min=1,max=65535" doc:"Port at which the controllers accept peers."`
	PeerAddress       string        `koanf:"peer_address" validate:"omitempty,address" doc:"IP:port at which other gateways take the directory while no controller answers them, ask for places, and have requests relayed to instances that they cannot reach; empty for none of it."`
	PingInterval      time.Duration `koanf:"ping_interval" validate:"min=10ms,max=20s" doc:"Time between two pings to the controllers."`
	PongTimeout       time.Duration `koanf:"pong_timeout" validate:"min=10ms,max=30s" doc:"Longest wait for a proof that the directory is current; other controllers are asked beside this one then."`
	StalenessLimit    time.Duration `koanf:"staleness_limit" validate:"min=100ms,max=10m" doc:"Time within which a change must be in force at all gateways. Requests are rejected once the last proof that the directory is current is older, unless other gateways answer that they get none either."`
	StopTimeout       time.Duration `koanf:"stop_timeout" validate:"min=100ms,max=10m" doc:"Longest time that a graceful stop may take."`
	StopNotice        time.Duration `koanf:"stop_notice" validate:"min=0s,max=10m" doc:"How long new connections are still accepted once a stop began, until the platform has noticed it."`
	DrainTime         time.Duration `koanf:"drain_time" validate:"min=0s,max=10m" doc:"How long a draining instance still gets requests for keys that it holds."`
	EvacuationLimit   time.Duration `koanf:"evacuation_limit" validate:"min=0s,max=10m" doc:"Longest time after the order to evacuate a zone in which its instances still get requests."`
	WarmUp            WarmUp        `koanf:"warm_up" doc:"Requests to cold instances."`
	Revocation        Revocation    `koanf:"revocation" doc:"API keys that were taken away."`
	Regions           []ZoneRegion  `koanf:"regions" validate:"max=256,dive" doc:"Region of each zone. Requests stay in the own zone, then in the own region, where they can."`
	LinkMegabits      float64       `koanf:"link_megabits" validate:"min=0,max=1000000" doc:"What the machine's network link carries in each direction, in Mbit/s. Requests that it has no room for are rejected at once, the least urgent first; 0 for no bound."`
	KeepPlaces        bool          `koanf:"keep_places" doc:"Takes part in giving out the places of instances: each instance has one gateway that counts what all of them send to it. Needs peer_address."`
	MaxTimeout        time.Duration `koanf:"max_timeout" validate:"min=10ms,max=1h" doc:"Longest time that a request is held, also when neither caller nor route give one."`
	MaxConnections    int           `koanf:"max_connections" validate:"min=1,max=1000000" doc:"Bound of callers' open connections."`
	DescriptorLimit   int           `koanf:"descriptor_limit" validate:"min=0,max=10000000" doc:"File descriptors that the process may have open, if fewer than its own limit (RLIMIT_NOFILE); 0 for that limit. Callers and other processes of the system leave a part of them to back ends, health checks and files."`
	RetryRatio        float64       `koanf:"retry_ratio" validate:"min=0,max=1" doc:"Resends of a service as a share of its requests through this gateway."`
	RetryBurst        int           `koanf:"retry_burst" validate:"min=0,max=1000" doc:"Resends of a service beyond that share, until requests have made up for them."`
	RetrySlack        float64       `koanf:"retry_slack" validate:"min=0,max=1000000" doc:"Resends of a service that all gateways together may send at once beyond their share, which bounds retry_burst by the number of gateways; 0 if it is not bounded."`
	QuarantineCrashes int           `koanf:"quarantine_crashes" validate:"min=2,max=8" doc:"Servers that crash under a request before this gateway by itself, while no controller tells it more, sends it to none any more."`
	MemoryLimitBytes  int           `koanf:"memory_limit_bytes" validate:"min=0,max=1099511627776" doc:"Memory that this process may use, in bytes: the collector aims at seven tenths of it, since the program itself and garbage come on top; 0 for no limit."`
	RequestMemory     int           `koanf:"request_memory" validate:"min=0,max=1099511627776" doc:"Memory in bytes that callers' connections, the bodies of their requests, heads above 16 KiB and the answers that wait until a caller takes them may use together. Beyond it callers that make no progress are disconnected, and requests with a body above 8 KiB rejected; 0 for half of memory_limit_bytes, or 512 MiB without one."`
	CollectorPercent  int           `koanf:"collector_percent" validate:"min=5,max=1000" doc:"Growth of the heap, in percent, after which the collector runs: less memory for more processor time."`
	BackEnd           BackEnd       `koanf:"back_end" doc:"Connections to the instances."`
	Log               Log           `koanf:"log" doc:"Log lines."`
}

// WarmUp bounds the requests that a cold instance may get in a second from all gateways
// together, beyond what its service says that it carries.
type WarmUp struct {
	Overrun float64 `koanf:"overrun" validate:"min=0,max=100" doc:"Factor on the requests that a cold instance carries in a second."`
	Slack   float64 `koanf:"slack" validate:"min=0,max=100000" doc:"Requests a second beyond that."`
}

// ZoneRegion names the region of a zone.
type ZoneRegion struct {
	Zone   string `koanf:"zone" validate:"name" doc:"Name of the zone."`
	Region string `koanf:"region" validate:"name" doc:"Name of its region."`
}

// Revocation says for how long a gateway without a controller trusts API keys.
type Revocation struct {
	Limit      time.Duration `koanf:"limit" validate:"min=0s,max=10m" doc:"Longest time in which a revoked API key may still be taken; 0 for no bound."`
	FailClosed bool          `koanf:"fail_closed" doc:"Rejects requests with API keys once no controller has confirmed the directory for that time; else the keys that were known are taken on."`
}

const (
	// requestMemoryPercent is the share of memory_limit_bytes that requests may take by default: the largest body that
	// is allowed by default fits into it on a machine of 144 MB, and the rest is for the program, answers that are
	// being received and garbage.
	requestMemoryPercent = 50
	// defaultRequestMemory applies without a limit of the memory.
	defaultRequestMemory = 512 * mebibyte
)

// EffectiveRequestMemory returns the bytes that requests may take together.
func (g Gateway) EffectiveRequestMemory() int64 {
	switch {
	case g.RequestMemory > 0:
		return int64(g.RequestMemory)
	case g.MemoryLimitBytes > 0:
		return int64(g.MemoryLimitBytes) / 100 * requestMemoryPercent
	default:
		return defaultRequestMemory
	}
}

// CollectorTarget returns the memory in bytes that the collector aims at, and false for none.
func (g Gateway) CollectorTarget() (int64, bool) {
	return int64(g.MemoryLimitBytes) / 10 * 7, g.MemoryLimitBytes > 0
}

// DefaultGateway returns the settings that hold where a file says nothing. Fields
// without a default are empty.
func DefaultGateway() Gateway {
	return Gateway{
		Role:           RoleGateway,
		Zone:           "default",
		Dialect:        "thorntiller",
		Address:        "127.0.0.1:7301",
		AdminAddress:   "127.0.0.1:7501",
		ControllerPort: 7101,
		PingInterval:   500 * time.Millisecond,
		PongTimeout:    900 * time.Millisecond,
		StalenessLimit: 2 * time.Second,
		StopTimeout:    10 * time.Second,
		StopNotice:     2500 * time.Millisecond,
		DrainTime:      1200 * time.Millisecond,
		MaxTimeout:     time.Minute,

		EvacuationLimit: 5 * time.Second,
		WarmUp:          WarmUp{Overrun: 1},
		MaxConnections:  2048,

		CollectorPercent:  defaultCollectorPercent,
		QuarantineCrashes: defaultQuarantineCrashes,
		RetryRatio:        0.18,
		RetryBurst:        2,
		BackEnd: BackEnd{
			ConnectTimeout: 300 * time.Millisecond,
			IdleTimeout:    8 * time.Second,
			MaxConnections: 16,
			MaxAnswerBytes: 64 * mebibyte,
			AnswerMemory:   128 * mebibyte,
		},
		Log: Log{Level: "info"},
	}
}

// LoadGateway reads and checks a gateway's settings. The error is Problems and
// holds every problem.
func LoadGateway(path string, overrides ...Override) (Gateway, error) {
	settings := DefaultGateway()
	report := load(path, &settings, overrides)
	report.gateway(settings)
	if len(report.problems) > 0 {
		return Gateway{}, report.sorted()
	}
	return settings, nil
}

// gateway checks what concerns more than one field of a gateway.
func (r *report) gateway(settings Gateway) {
	if len(r.lines) == 0 {
		return
	}
	addresses := newClashes(r)
	addresses.take("address", settings.Address)
	addresses.take("admin_address", settings.AdminAddress)
	if settings.MetricsAddress != "" {
		addresses.take("metrics_address", settings.MetricsAddress)
	}
	if settings.PeerAddress != "" {
		addresses.take("peer_address", settings.PeerAddress)
	}
	if settings.KeepPlaces && settings.PeerAddress == "" {
		r.add("keep_places", "true", "needs peer_address", "give the address at which other gateways ask")
	}
	if settings.StopNotice >= settings.StopTimeout {
		r.add("stop_notice", settings.StopNotice.String(), "must be below stop_timeout", "use a shorter time")
	}
	if settings.AllowNonLoopback {
		return
	}
	r.loopback("address", settings.Address)
	r.loopback("admin_address", settings.AdminAddress)
	if settings.PeerAddress != "" {
		r.loopback("peer_address", settings.PeerAddress)
	}
	if settings.MetricsAddress != "" {
		r.loopback("metrics_address", settings.MetricsAddress)
	}
}
