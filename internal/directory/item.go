package directory

import (
	"encoding/json"
	"time"
)

// Revision is the log index of the command that made a change.
type Revision uint64

// ItemKind is the kind of object that a named item configures.
type ItemKind string

// Kinds of items.
const (
	KindRoute   ItemKind = "route"
	KindService ItemKind = "service"
	KindTenant  ItemKind = "tenant"
	KindLimits  ItemKind = "limits"
)

// limitsName is the name of the only item of kind limits.
const limitsName = "limits"

// ItemKey identifies an item.
type ItemKey struct {
	Kind ItemKind `msgpack:"k"`
	Name string   `msgpack:"n"`
}

// Item is a named item of the traffic configuration at its newest version.
type Item struct {
	Key     ItemKey `msgpack:"k"`
	Version uint64  `msgpack:"v"`
	// Content is the item as the operator sent it; empty for a dropped one.
	Content json.RawMessage `msgpack:"c,omitempty"`
	// Dropped items are kept as tombstones, so that an older version that arrives late does not
	// restore them.
	Dropped  bool     `msgpack:"d,omitempty"`
	Revision Revision `msgpack:"r"`
}

// RequestKind specifies whether a request may run more than once.
type RequestKind string

// Kinds of requests.
const (
	// Repeatable requests may run more than once.
	Repeatable RequestKind = "repeatable"
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce RequestKind = "at_most_once"
	// Download requests may run more than once and have large answers.
	Download RequestKind = "download"
)

// Known reports whether the kind is one of those above.
func (k RequestKind) Known() bool { return k == Repeatable || k == AtMostOnce || k == Download }

// MayRepeat reports whether a request of the kind may run more than once.
func (k RequestKind) MayRepeat() bool { return k == Repeatable || k == Download }

// Share is one part of a route's traffic split.
type Share struct {
	Service string  `json:"service" msgpack:"s"`
	Weight  float64 `json:"weight" msgpack:"w"`
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string `json:"name" msgpack:"n"`
	// Host is compared with the request's Host header, ignoring case and port.
	Host string `json:"host" msgpack:"h"`
	// Prefix begins and ends with a slash; the longest matching one wins.
	Prefix string `json:"prefix" msgpack:"p"`
	// Service gets the requests unless Split is given.
	Service string      `json:"service,omitempty" msgpack:"s,omitempty"`
	Split   []Share     `json:"split,omitempty" msgpack:"w,omitempty"`
	Kind    RequestKind `json:"kind" msgpack:"k"`
	// TimeoutMs bounds the time that a router holds a request; zero for no bound.
	TimeoutMs float64 `json:"timeout_ms" msgpack:"t"`
	// TargetLatencyMs is the time after which an answer loses value for the caller.
	TargetLatencyMs float64 `json:"target_latency_ms" msgpack:"l"`
	// Priority ranks the requests of a service; 0 is the highest.
	Priority int `json:"priority" msgpack:"o"`
	// MaxAttempts bounds the number of servers that one request may be sent to.
	MaxAttempts int `json:"max_attempts" msgpack:"a"`
	// AllowAnonymous routes also accept requests without an API key.
	AllowAnonymous bool `json:"allow_anonymous,omitempty" msgpack:"y,omitempty"`
	// AllowedRegions restrict the servers that may get the requests; empty for no restriction.
	AllowedRegions []string `json:"allowed_regions,omitempty" msgpack:"g,omitempty"`
	Version        uint64   `json:"version" msgpack:"v"`
}

// Services returns the names of all services that the route sends requests to.
func (r Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		names = append(names, share.Service)
	}
	return names
}

// Service is a group of servers that serve the same requests.
type Service struct {
	Name       string `json:"name" msgpack:"n"`
	HealthPath string `json:"health_path" msgpack:"h"`
	// MaxConnections bounds the connections of all callers to one server.
	MaxConnections int `json:"max_connections" msgpack:"c"`
	// Keyed services run a request only on the server that holds its key.
	Keyed bool `json:"keyed" msgpack:"k"`
	// WarmSeconds is the time for which keys that were taken over without a handover are slow.
	WarmSeconds float64 `json:"warm_seconds" msgpack:"w"`
	// WarmUpSeconds is the time for which an instance is cold after its start, and WarmUpPerSecond
	// the requests per second that it serves meanwhile; zero for no bound.
	WarmUpSeconds   float64 `json:"warm_up_seconds" msgpack:"u"`
	WarmUpPerSecond float64 `json:"warm_up_per_second" msgpack:"p"`
	Version         uint64  `json:"version" msgpack:"v"`
}

// LimitsCold reports whether instances of the service serve fewer requests while they are cold.
func (s Service) LimitsCold() bool { return s.WarmUpPerSecond > 0 }

// WarmUpTime returns the time for which an instance is cold after its start.
func (s Service) WarmUpTime() time.Duration {
	return time.Duration(s.WarmUpSeconds * float64(time.Second))
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes" msgpack:"h"`
	MaxBodyBytes    int     `json:"max_body_bytes" msgpack:"b"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms" msgpack:"t"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms" msgpack:"i"`
	Version         uint64  `json:"version" msgpack:"v"`
}

// ItemSet is a set of items as operators send and read them.
type ItemSet struct {
	Routes   []json.RawMessage `json:"routes"`
	Services []json.RawMessage `json:"services"`
	Tenants  []json.RawMessage `json:"tenants,omitempty"`
	Limits   json.RawMessage   `json:"limits,omitempty"`
}
