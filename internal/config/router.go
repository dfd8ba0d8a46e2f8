package config

import "time"

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Router holds the settings of one router.
type Router struct {
	Role              Role          `koanf:"role" validate:"eq=router" doc:"Kind of process; always router here."`
	Name              string        `koanf:"name" validate:"name" doc:"Name of this router, unique in the cluster."`
	Zone              string        `koanf:"zone" validate:"name" doc:"Zone that the machine stands in."`
	Address           string        `koanf:"address" validate:"address" doc:"IP:port that accepts callers' HTTP."`
	PeerAddress       string        `koanf:"peer_address" validate:"address" doc:"IP:port that accepts other routers."`
	AdvertisedPeer    string        `koanf:"advertised_peer_address" validate:"omitempty,address" doc:"IP:port by which other routers reach peer_address; empty if they are the same."`
	AdminAddress      string        `koanf:"admin_address" validate:"address" doc:"IP:port of the health checks and the metrics."`
	AllowNonLoopback  bool          `koanf:"allow_non_loopback" doc:"Allows addresses beyond the loopback interface."`
	Controllers       []string      `koanf:"controllers" validate:"required,max=7,dive,address" doc:"Peer addresses of the controllers, IP:port."`
	Services          []string      `koanf:"services" validate:"max=1024,dive,name" doc:"Services that this router routes; empty for all. It then holds only their part of the routing table and refuses requests to others."`
	StalenessLimit    time.Duration `koanf:"staleness_limit" validate:"min=100ms,max=1m" doc:"Time without proof of a current table after which requests are refused."`
	PingInterval      time.Duration `koanf:"ping_interval" validate:"min=10ms,max=20s" doc:"Time between two pings to the controllers."`
	StopTimeout       time.Duration `koanf:"stop_timeout" validate:"min=100ms,max=10m" doc:"Longest time that a graceful stop may take."`
	MaxBodyBytes      int           `koanf:"max_body_bytes" validate:"min=1024,max=1073741824" doc:"Bound of a caller's request body, in bytes."`
	MaxConnections    int           `koanf:"max_connections" validate:"min=1,max=1000000" doc:"Bound of callers' open connections."`
	RequestMemory     int           `koanf:"request_memory" validate:"min=65536,max=1099511627776" doc:"Memory in bytes that the bodies of callers' requests and the answers that wait until a caller takes them may use together. Beyond it callers that make no progress are disconnected, and requests with a body above 8 KiB rejected."`
	DescriptorLimit   int           `koanf:"descriptor_limit" validate:"min=0,max=10000000" doc:"File descriptors that the process may have open, if fewer than its own limit (RLIMIT_NOFILE); 0 for that limit. Callers and other processes of the system leave a part of them to back ends, health checks and files."`
	MaxInFlight       int           `koanf:"max_in_flight" validate:"min=1,max=1000000" doc:"Bound of requests that the router holds at the same time."`
	MaxTimeout        time.Duration `koanf:"max_timeout" validate:"min=10ms,max=1h" doc:"Longest timeout that a request may ask for."`
	IdleTimeout       time.Duration `koanf:"idle_timeout" validate:"min=1s,max=1h" doc:"Time after which a caller's idle connection is closed."`
	MemoryLimitBytes  int           `koanf:"memory_limit_bytes" validate:"min=0,max=1099511627776" doc:"Memory that the collector aims at while the live heap is below 60 % of it, in bytes; 0 for none. The program itself adds about 13 MB."`
	BackEnd           BackEnd       `koanf:"back_end" doc:"Connections to the back ends."`
	Retry             Retry         `koanf:"retry" doc:"Resends of requests that are proved not to have run."`
	Health            Health        `koanf:"health" doc:"Judgement of the back ends' health."`
	Records           Records       `koanf:"records" doc:"Idempotency records."`
	QuarantineCrashes int           `koanf:"quarantine_crashes" validate:"min=2,max=8" doc:"Servers that crash under a request before this router by itself, while no controller tells it more, sends it to none any more."`
	TLS               TLS           `koanf:"tls" doc:"Certificates."`
	Log               Log           `koanf:"log" doc:"Log lines."`
}

// BackEnd holds the settings of connections to back ends.
type BackEnd struct {
	ConnectTimeout time.Duration `koanf:"connect_timeout" validate:"min=1ms,max=1m" doc:"Longest time to make a connection."`
	IdleTimeout    time.Duration `koanf:"idle_timeout" validate:"min=100ms,max=1h" doc:"Time after which an idle connection is closed."`
	MaxConnections int           `koanf:"max_connections" validate:"min=1,max=10000" doc:"Bound of connections from this router to one server."`
	MaxAnswerBytes int           `koanf:"max_answer_bytes" validate:"min=1024,max=1073741824" doc:"Bound of a back end's answer, in bytes."`
	AnswerMemory   int           `koanf:"answer_memory" validate:"min=1048576,max=1099511627776" doc:"Memory that answers beyond 64 KiB may take together while they are received, in bytes; one that needs more than is left is broken off. An answer without a length takes twice its size."`
}

// Retry holds the settings of resends.
type Retry struct {
	MaxAttempts int           `koanf:"max_attempts" validate:"min=1,max=10" doc:"Bound of attempts of one request, the first included."`
	BackoffBase time.Duration `koanf:"backoff_base" validate:"min=1ms,max=10s" doc:"Wait before the second attempt; doubled for each further one."`
	BackoffMax  time.Duration `koanf:"backoff_max" validate:"min=1ms,max=1m" doc:"Bound of the wait between two attempts."`
}

// Health holds the settings of the passive and active health checks.
type Health struct {
	ProbeInterval   time.Duration `koanf:"probe_interval" validate:"min=50ms,max=10m" doc:"Time between two probes of one server."`
	ProbeTimeout    time.Duration `koanf:"probe_timeout" validate:"min=10ms,max=1m" doc:"Longest wait for the answer to a probe."`
	EjectFailures   int           `koanf:"eject_failures" validate:"min=1,max=1000" doc:"Consecutive failures after which a server is ejected."`
	EjectDuration   time.Duration `koanf:"eject_duration" validate:"min=10ms,max=10m" doc:"Length of the first ejection; doubled for each further one."`
	MaxEjectedRatio float64       `koanf:"max_ejected_ratio" validate:"min=0,max=0.9" doc:"Bound of the share of a service's servers that are ejected at the same time."`
	RampUp          time.Duration `koanf:"ramp_up" validate:"min=0s,max=10m" doc:"Time over which a cold server gets its full share."`
}

// Records holds the settings of the idempotency records.
type Records struct {
	Lifetime        time.Duration `koanf:"lifetime" validate:"min=1s,max=24h" doc:"Time that a record is kept; older Idempotency-Keys are refused."`
	MaxPerPartition int           `koanf:"max_per_partition" validate:"min=1,max=10000000" doc:"Bound of records in one partition."`
	MaxAnswerBytes  int           `koanf:"max_answer_bytes" validate:"min=0,max=16777216" doc:"Bound of an answer that is kept for resends, in bytes."`
	PeerTimeout     time.Duration `koanf:"peer_timeout" validate:"min=10ms,max=1m" doc:"Longest wait for another router."`
}

// DefaultRouter returns the settings that hold where a file says nothing.
// Fields without a default (name, controllers and the like) are empty.
func DefaultRouter() Router {
	return Router{
		Role:           RoleRouter,
		Zone:           "default",
		Address:        "127.0.0.1:7301",
		PeerAddress:    "127.0.0.1:7401",
		AdminAddress:   "127.0.0.1:7501",
		StalenessLimit: 4 * time.Second,
		PingInterval:   150 * time.Millisecond,
		StopTimeout:    10 * time.Second,
		MaxBodyBytes:   16 * mebibyte,
		MaxConnections: 4096,
		RequestMemory:  64 * mebibyte,
		MaxInFlight:    4096,
		MaxTimeout:     time.Minute,
		IdleTimeout:    time.Minute,

		QuarantineCrashes: defaultQuarantineCrashes,

		MemoryLimitBytes: 40 * mebibyte,

		BackEnd: BackEnd{
			ConnectTimeout: 200 * time.Millisecond,
			IdleTimeout:    30 * time.Second,
			MaxConnections: 16,
			MaxAnswerBytes: 64 * mebibyte,
			AnswerMemory:   128 * mebibyte,
		},
		Retry: Retry{MaxAttempts: 3, BackoffBase: 20 * time.Millisecond, BackoffMax: 500 * time.Millisecond},
		Health: Health{
			ProbeInterval:   2 * time.Second,
			ProbeTimeout:    500 * time.Millisecond,
			EjectFailures:   5,
			EjectDuration:   time.Second,
			MaxEjectedRatio: 0.5,
			RampUp:          10 * time.Second,
		},
		Records: Records{
			Lifetime:        10 * time.Minute,
			MaxPerPartition: 100000,
			MaxAnswerBytes:  64 * kibibyte,
			PeerTimeout:     500 * time.Millisecond,
		},
		TLS: defaultTLS(),
		Log: Log{Level: "info"},
	}
}
