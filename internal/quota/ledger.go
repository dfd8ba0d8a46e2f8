package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// maxGatewaySilence is how long a gateway may be silent before the leader reserves the rate
	// that the gateway may use without it. Gateways report at least once per second.
	maxGatewaySilence = 1500 * time.Millisecond
	// reserveInterval is the minimum time between two checks for silent gateways.
	reserveInterval = 200 * time.Millisecond
	// maxTokenWait bounds the expected time until the next token that is reported to a gateway.
	maxTokenWait = 5 * time.Second
	// maxGrants bounds the subjects in one answer to some 4 KB.
	maxGrants = 128
)

func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
}

// Ledger accounts for the tokens of all subjects while this process leads.
type Ledger struct {
	policy Policy
	// slack is the number of requests beyond a subject's limit that are tolerated. Half of it is
	// added to the bucket depth, so that random bursts of a subject within its limit are not
	// rejected.
	slack    float64
	buckets  map[string]*bucket
	gateways map[string]*gateway
	// exhausted holds the subjects that have no token left. Each gateway is notified of them, so that
	// none uses tokens of theirs before they are granted.
	exhausted map[string]bool
	// leadSince is when the leadership term began, reserveCheckedAt when silent gateways were last
	// checked.
	leadSince        time.Duration
	reserveCheckedAt time.Duration
}

// bucket holds the tokens of one subject that are not granted to any gateway.
type bucket struct {
	limit     Limit
	tokens    float64
	updatedAt time.Duration
	// outstanding are tokens granted to gateways that have not yet reported their use.
	outstanding float64
	// reserved is the rate, in tokens per second, that silent gateways may be using.
	reserved float64
	// granted is the rate at which all gateways take tokens, unmet the rate of tokens that were
	// wanted but not granted.
	granted smoothedRate
	unmet   smoothedRate
}

// gateway holds the allocations of one gateway, by subject.
type gateway struct {
	reportedAt  time.Duration
	allocations map[string]*allocation
}

// allocation is what one gateway holds of one subject.
type allocation struct {
	outstanding float64
	used        smoothedRate
	// granted are the on-demand tokens that may still be returned, at most one bucket depth.
	granted float64
}

// NewLedger returns a ledger without gateways or buckets.
func NewLedger(policy Policy, slack float64) *Ledger {
	ledger := &Ledger{policy: policy, slack: slack}
	ledger.StartTerm(0)
	return ledger
}

// StartTerm begins a leadership term. The gateways' tokens are unknown and all buckets are empty.
func (l *Ledger) StartTerm(now time.Duration) {
	l.leadSince = now
	l.buckets = make(map[string]*bucket)
	l.gateways = make(map[string]*gateway)
	l.exhausted = make(map[string]bool)
	l.reserveCheckedAt = 0
}

// Connect records a new connection of a gateway. The gateway will not report the use of the tokens
// it held before, so they count as used.
func (l *Ledger) Connect(gatewayName string) {
	gw, ok := l.gateways[gatewayName]
	if !ok {
		return
	}
	for subject, held := range gw.allocations {
		l.discardOutstanding(subject, held)
		held.outstanding = 0
	}
}

// HandleAsks processes the asks of a gateway and returns its grants. Without asks it only records that
// the gateway is alive. LimitOf returns the limit of a subject, or false if it has none.
func (l *Ledger) HandleAsks(now time.Duration, gatewayName string, asks []Ask, limitOf func(subject string) (Limit, bool)) []Grant {
	gw, ok := l.gateways[gatewayName]
	if !ok {
		gw = &gateway{allocations: make(map[string]*allocation)}
		l.gateways[gatewayName] = gw
	}
	gw.reportedAt = now
	l.reserve(now)
	var grants []Grant
	for _, ask := range asks {
		limit, limited := limitOf(ask.Subject)
		switch {
		case !limited:
			// Granted in full: the gateway may not know yet that the limit was removed.
			grants = append(grants, Grant{Subject: ask.Subject, Tokens: ask.Want})
			l.Forget(ask.Subject)
		case l.policy.OnDemand:
			grants = append(grants, l.grantOnDemand(now, gw, ask, limit))
		default:
			grants = append(grants, l.grant(now, gw, ask, limit))
		}
	}
	if l.policy.OnDemand {
		return grants
	}
	return l.appendExhausted(now, grants)
}

// grantOnDemand grants tokens for waiting requests and counts them as used. The last tokens of a
// bucket are reserved for the most urgent requests.
func (l *Ledger) grantOnDemand(now time.Duration, gw *gateway, ask Ask, limit Limit) Grant {
	bucket := l.bucket(now, ask.Subject, limit)
	held := gw.allocation(ask.Subject)
	returned := min(float64(ask.Returned), held.granted)
	// Requests sent without the leader are charged to the bucket, up to a debt of one burst.
	owed := l.owed(now, ask, limit)
	bucket.tokens = max(min(bucket.tokens+returned, l.headroom(bucket))-owed, -max(1, limit.Burst))
	reserve := l.urgentReserve(limit, ask.Urgency)
	tokens := math.Floor(min(float64(ask.Want), max(0, bucket.tokens-reserve)))
	bucket.tokens -= tokens
	held.granted = min(held.granted-returned+tokens, l.depth(limit))
	held.used.add(now, tokens)
	bucket.granted.add(now, tokens)
	bucket.unmet.add(now, float64(ask.Want)-tokens)
	return Grant{Subject: ask.Subject, Tokens: uint32(tokens), ShortMs: bucket.shortMs(now, ask, tokens)}
}

// owed returns how many of the requests sent without the leader are charged to the bucket. Requests
// sent before the term began are not charged: the empty bucket at its start accounts for them.
func (l *Ledger) owed(now time.Duration, ask Ask, limit Limit) float64 {
	lastAge := time.Duration(ask.UsedAgoMs) * time.Millisecond
	if lastAge > now-l.leadSince {
		return 0
	}
	return min(float64(ask.Used), limit.Rate+1)
}

// urgentReserve returns how many tokens of a bucket are reserved for requests more urgent than the
// given urgency.
func (l *Ledger) urgentReserve(limit Limit, urgency uint8) float64 {
	depth := l.depth(limit)
	lessUrgent := 1 - float64(min(urgency, MostUrgent))/MostUrgent
	return min(lessUrgent*l.policy.UrgentShare*depth, depth-1)
}

// appendExhausted adds the subjects that have no token left to the grants for a gateway.
func (l *Ledger) appendExhausted(now time.Duration, grants []Grant) []Grant {
	for subject := range l.exhausted {
		bucket := l.bucket(now, subject, l.buckets[subject].limit)
		if bucket.tokens >= 1 {
			delete(l.exhausted, subject)
			continue
		}
		answered := slices.ContainsFunc(grants, func(grant Grant) bool { return grant.Subject == subject })
		if !answered && len(grants) < maxGrants {
			grants = append(grants, Grant{Subject: subject, ShortMs: bucket.nextTokenMs(now)})
		}
	}
	return grants
}

// Forget drops the state of a subject that no longer has a limit.
func (l *Ledger) Forget(subject string) {
	delete(l.buckets, subject)
	delete(l.exhausted, subject)
	for _, gw := range l.gateways {
		delete(gw.allocations, subject)
	}
}

// allocation returns what the gateway holds of a subject.
func (g *gateway) allocation(subject string) *allocation {
	held, ok := g.allocations[subject]
	if !ok {
		held = &allocation{}
		g.allocations[subject] = held
	}
	return held
}

func (l *Ledger) grant(now time.Duration, gw *gateway, ask Ask, limit Limit) Grant {
	bucket := l.bucket(now, ask.Subject, limit)
	held := gw.allocation(ask.Subject)
	// A gateway cannot have used or returned more than this, so larger counts are wrong and capped.
	// Tokens used before they were granted, beyond those outstanding, are taken out of the bucket
	// now.
	used := min(float64(ask.Used), held.outstanding+limit.Rate+1)
	granted := min(used, held.outstanding)
	returned := min(float64(ask.Returned), held.outstanding-granted)
	held.outstanding -= granted + returned
	held.used.add(now, used)
	bucket.outstanding -= granted + returned
	bucket.tokens = min(bucket.tokens+returned-(used-granted), l.headroom(bucket))
	tokens := math.Floor(min(float64(ask.Want), max(0, bucket.tokens)))
	bucket.tokens -= tokens
	bucket.outstanding += tokens
	bucket.granted.add(now, tokens)
	held.outstanding += tokens
	if bucket.tokens < 1 {
		l.exhausted[ask.Subject] = true
	}
	bucket.unmet.add(now, float64(ask.Want)-tokens)
	return Grant{Subject: ask.Subject, Tokens: uint32(tokens), ShortMs: bucket.shortMs(now, ask, tokens)}
}

// unmetWindow is the time within which gateways are expected to ask again for tokens that they did
// not get.
const unmetWindow = 200 * time.Millisecond

// shortMs returns the value of Grant.ShortMs: the expected time in milliseconds until a token is
// available that no other gateway takes, or zero if all were granted.
func (b *bucket) shortMs(now time.Duration, ask Ask, tokens float64) uint32 {
	if tokens >= float64(ask.Want) {
		return 0
	}
	return b.nextTokenMs(now)
}

// nextTokenMs returns the expected time in milliseconds until a token is available that no other
// gateway takes.
func (b *bucket) nextTokenMs(now time.Duration) uint32 {
	wait := maxTokenWait
	if rate := b.rate(); rate > 0 {
		tokensAhead := max(0, b.unmet.value(now)*unmetWindow.Seconds()-b.tokens)
		wait = min(wait, time.Duration((1+tokensAhead)/rate*float64(time.Second)))
	}
	return uint32(max(1, wait.Milliseconds()))
}

// rate returns the rate at which the bucket fills, in tokens per second.
func (b *bucket) rate() float64 { return max(0, b.limit.Rate-b.reserved) }

// depth returns the maximum number of tokens that the bucket and the gateways may hold together.
func (l *Ledger) depth(limit Limit) float64 { return max(l.policy.MinDepth, limit.Burst+l.slack/2) }

// headroom returns the maximum number of tokens in the bucket, given what gateways hold.
func (l *Ledger) headroom(b *bucket) float64 { return max(0, l.depth(b.limit)-b.outstanding) }

// bucket returns the bucket of a subject, filled up to now.
func (l *Ledger) bucket(now time.Duration, subject string, limit Limit) *bucket {
	b, ok := l.buckets[subject]
	if !ok {
		b = &bucket{limit: limit, updatedAt: l.leadSince}
		l.buckets[subject] = b
	}
	b.tokens += b.rate() * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	b.limit = limit
	b.tokens = min(b.tokens, l.headroom(b))
	return b
}

// reserve updates the rate reserved for gateways that are silent and may continue without the
// leader, and drops gateways that have been silent too long.
func (l *Ledger) reserve(now time.Duration) {
	if now-l.reserveCheckedAt < reserveInterval {
		return
	}
	l.reserveCheckedAt = now
	reserved := make(map[string]float64)
	for name, gw := range l.gateways {
		silence := now - gw.reportedAt
		if silence <= maxGatewaySilence {
			continue
		}
		for subject, held := range gw.allocations {
			if silence > fallbackTime+maxGatewaySilence {
				l.discardOutstanding(subject, held)
				continue
			}
			reserved[subject] += fallbackShare * held.used.value(gw.reportedAt)
		}
		if silence > fallbackTime+maxGatewaySilence {
			delete(l.gateways, name)
		}
	}
	for subject, b := range l.buckets {
		// The bucket is filled up to now at the old rate.
		l.bucket(now, subject, b.limit)
		b.reserved = reserved[subject]
	}
}

// discardOutstanding counts the outstanding tokens of a lost gateway as used.
func (l *Ledger) discardOutstanding(subject string, held *allocation) {
	if b, ok := l.buckets[subject]; ok {
		b.outstanding -= held.outstanding
	}
}

// TokenRate returns the rate at which gateways take tokens of a subject, in tokens per second, for
// operators.
func (l *Ledger) TokenRate(now time.Duration, subject string) float64 {
	b, ok := l.buckets[subject]
	if !ok {
		return 0
	}
	return b.granted.value(now)
}
