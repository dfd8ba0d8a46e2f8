package quota

import "time"

// Limit is the rate limit of one subject.
type Limit struct {
	// Rate is in requests per second; Burst is the number of requests allowed at once on top of it.
	Rate  float64
	Burst float64
}

// MostUrgent is the highest urgency of a request.
const MostUrgent = 100

// Policy determines how the tokens of one kind of subject are granted.
type Policy struct {
	// OnDemand grants tokens only for requests that already wait, and counts them as used when
	// granted. Otherwise gateways prefetch tokens and may use some before they are granted.
	OnDemand bool
	// MinDepth is the minimum depth of a bucket, in tokens.
	MinDepth float64
	// UrgentShare is the share of the bucket depth that is reserved for the most urgent requests.
	UrgentShare float64
	// FloorShare is the share of the limit that all gateways together may use without a leader, in
	// equal parts.
	FloorShare float64
	// MaxAccrual bounds the time over which a gateway without a leader accrues tokens between two
	// requests, so that many idle gateways do not all send at once; zero for no bound.
	MaxAccrual time.Duration
}

// TenantPolicy returns the policy for tenant limits. Its floor lets a gateway that has just started
// serve some requests.
func TenantPolicy() Policy { return Policy{MinDepth: 1, FloorShare: 0.08} }

// InstancePolicy returns the policy for limits that instances advertise.
func InstancePolicy() Policy {
	return Policy{OnDemand: true, MinDepth: 2, UrgentShare: 0.5, FloorShare: 0.5, MaxAccrual: 8 * time.Second}
}

// LimitOfInstance returns the limit of an instance that accepts rate requests per second.
func LimitOfInstance(rate float64) Limit {
	const burstTime = 500 * time.Millisecond
	return Limit{Rate: rate, Burst: rate * burstTime.Seconds()}
}

// Ask is a gateway's usage report and token request to the leader for one subject.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Subject  string
	// Want is the number of tokens that the gateway can use soon.
	Want uint32
	// Used and Returned are the tokens that requests took and that the gateway gives back, since
	// its last ask. On-demand tokens count as used when they are granted, so for those Used counts
	// the requests sent without the leader.
	Used     uint32
	Returned uint32
	// Rate is the limit that an instance advertised, in requests per second; zero for a tenant,
	// whose limit the leader knows.
	Rate float64
	// Urgency is that of the requests that wait for the wanted tokens; higher is more urgent.
	Urgency uint8
	// UsedAgoMs is the age in milliseconds of the last request that Used counts as sent without the
	// leader. A report carries it in a field beside its asks.
	UsedAgoMs uint32 `msgpack:"-"`
}

// Grant is the leader's answer to an Ask.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Subject  string
	Tokens   uint32
	// ShortMs is the expected time until the next token, in milliseconds, if fewer tokens were
	// granted than wanted; zero if all were granted.
	ShortMs uint32
}

const (
	// horizon is how far ahead a gateway requests tokens: two reporting intervals.
	horizon = 400 * time.Millisecond
	// rateTimeConstant is the time constant of the exponential decay of measured rates.
	rateTimeConstant = time.Second
	// fallbackShare is the share of its last rate at which a gateway continues while the leader
	// does not answer. The rest is a margin for differences between the rates that the gateway and
	// the leader measure.
	fallbackShare = 0.85
	// fallbackTime is how long a gateway continues at that rate without the leader, and how long
	// the leader reserves the rate for a silent gateway. Partitions usually last a few seconds.
	fallbackTime = 10 * time.Second
)

// smoothedRate is an event rate with exponential decay.
type smoothedRate struct {
	perSecond float64
	updatedAt time.Duration
}

func (r *smoothedRate) add(now time.Duration, count float64) {
	r.perSecond = r.value(now) + count/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *smoothedRate) value(now time.Duration) float64 {
	return r.perSecond * decay(now-r.updatedAt)
}
