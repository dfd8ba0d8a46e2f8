package quota

import "time"

// Limit bounds the requests of one subject.
type Limit struct {
	// Rate is in requests a second, and Burst is how many more may come at once.
	Rate  float64
	Burst float64
}

// MostUrgent is the urgency of the most urgent requests.
const MostUrgent = 100

// Policy says how the tokens of a kind of subject are given out.
type Policy struct {
	// OnDemand tokens are granted for requests that wait and count as used; others are asked
	// for ahead of need, and taken in advance.
	OnDemand bool
	// LeastDepth is the least number of tokens that a bucket holds.
	LeastDepth float64
	// UrgentShare is the share of a bucket's depth that is kept for the most urgent requests.
	UrgentShare float64
	// FloorShare is the share of the limit that all gateways together may use without any
	// leader, in equal parts.
	FloorShare float64
	// SaveUp bounds the time over which a gateway without the leader saves up between two
	// requests, so that many idle ones do not all send at once; zero for no bound.
	SaveUp time.Duration
}

// TenantPolicy is that of the quotas of tenants. Its floor lets a gateway that just started
// serve something.
func TenantPolicy() Policy { return Policy{LeastDepth: 1, FloorShare: 0.08} }

// InstancePolicy is that of the limits that instances name.
func InstancePolicy() Policy {
	return Policy{OnDemand: true, LeastDepth: 2, UrgentShare: 0.5, FloorShare: 0.5, SaveUp: 8 * time.Second}
}

// LimitOfInstance is the limit of an instance that takes a number of requests a second.
func LimitOfInstance(rate float64) Limit {
	const burstTime = 500 * time.Millisecond
	return Limit{Rate: rate, Burst: rate * burstTime.Seconds()}
}

// Ask is what a gateway tells the leader of one subject, and wants.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Subject  string
	// Want is how many tokens the gateway can use soon.
	Want uint32
	// Used and Returned are those of its tokens that requests took, and that it gives back,
	// since its last ask. Tokens on demand count as used when granted: then Used are requests that
	// went without the leader.
	Used     uint32
	Returned uint32
	// Rate is the limit that an instance named, in requests a second; zero for a tenant, whose
	// limit the leader knows.
	Rate float64
	// Urgency is that of the requests that wait for the tokens wanted, higher for more urgent.
	Urgency uint8
	// UsedAgoMs is how long ago the last of the requests went that Used counts without the leader,
	// in milliseconds. It travels beside the asks of a report.
	UsedAgoMs uint32 `msgpack:"-"`
}

// Grant is the answer to an ask.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Subject  string
	Tokens   uint32
	// ShortMs is when the next token is expected if fewer were granted than wanted, in
	// milliseconds; zero if all were granted.
	ShortMs uint32
}

const (
	// horizon is for how long ahead a gateway asks for tokens: two reports to the leader.
	horizon = 400 * time.Millisecond
	// rateMemory is the time over which the rate of a gateway's requests is measured.
	rateMemory = time.Second
	// fallbackShare is the share of its last rate at which a gateway goes on that the leader
	// does not answer: the tenth that is kept back covers what the two ends measure
	// differently.
	fallbackShare = 0.85
	// fallbackTime is for how long it does, and for how long the leader keeps that back for a
	// gateway that is silent: cuts last a few seconds as a rule.
	fallbackTime = 10 * time.Second
)

// smoothedRate is a rate of events that forgets the past exponentially.
type smoothedRate struct {
	perSecond float64
	at        time.Duration
}

func (r *smoothedRate) add(now time.Duration, count float64) {
	r.perSecond = r.value(now) + count/rateMemory.Seconds()
	r.at = now
}

func (r *smoothedRate) value(now time.Duration) float64 {
	return r.perSecond * decay(now-r.at)
}
