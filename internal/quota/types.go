package quota

import "time"

// Limit bounds the requests of one tenant.
type Limit struct {
	// Rate is in requests a second, and Burst is how many more may come at once.
	Rate  float64
	Burst float64
}

// Ask is what a gateway tells the leader of one tenant, and wants.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Tenant   string
	// Want is how many tokens the gateway can use soon.
	Want uint32
	// Used and Returned are those of its tokens that requests took, and that it gives back,
	// since its last ask.
	Used     uint32
	Returned uint32
}

// Grant is the answer to an ask.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Tenant   string
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
	// floorShare is the share of the limit that all gateways together may use without any
	// leader, in equal parts, so that a gateway that just started serves something.
	floorShare = 0.08
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
