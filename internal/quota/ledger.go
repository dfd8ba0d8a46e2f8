package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// gatewaySilence is how long a gateway may be silent before what it may use without the
	// leader is kept back for it: gateways report once a second at least.
	gatewaySilence = 1500 * time.Millisecond
	// reserveInterval is the least time between two looks at silent gateways.
	reserveInterval = 200 * time.Millisecond
	// mostShort bounds the time after which a gateway that got too few tokens asks again.
	mostShort = 5 * time.Second
	// mostTold bounds the tenants that one answer tells of, some 4 KB.
	mostTold = 128
)

func decay(elapsed time.Duration) float64 { return math.Exp(-elapsed.Seconds() / rateMemory.Seconds()) }

// Ledger counts the tokens of all tenants while this process leads.
type Ledger struct {
	// slack is how many requests of a tenant beyond its limit do no harm: half of them
	// deepen its bucket, so that chance does not reject requests of one that stays within.
	slack    float64
	buckets  map[string]*bucket
	gateways map[string]*gateway
	// short are the tenants that have no token left: each gateway is told of them, so that none
	// takes any in advance.
	short map[string]bool
	// leadSince is when the term of leadership began, and reservedAt when silent gateways were
	// looked at last.
	leadSince  time.Duration
	reservedAt time.Duration
}

// bucket has the tokens of one tenant that no gateway has.
type bucket struct {
	limit  Limit
	tokens float64
	at     time.Duration
	// outstanding are tokens that gateways got and have not told the use of.
	outstanding float64
	// reserved is the rate, in tokens a second, that silent gateways may use.
	reserved float64
	// granted is the rate at which all gateways take tokens, and lacking that of tokens that they
	// wanted and did not get.
	granted smoothedRate
	lacking smoothedRate
}

// gateway is what one gateway has of each tenant.
type gateway struct {
	heardAt time.Duration
	shares  map[string]*share
}

type share struct {
	outstanding float64
	used        smoothedRate
}

// NewLedger returns a ledger that knows of no gateway.
func NewLedger(slack float64) *Ledger {
	ledger := &Ledger{slack: slack}
	ledger.Lead(0)
	return ledger
}

// Lead begins a term of leadership: what gateways have is unknown, and buckets are empty.
func (l *Ledger) Lead(now time.Duration) {
	l.leadSince = now
	l.buckets = make(map[string]*bucket)
	l.gateways = make(map[string]*gateway)
	l.short = make(map[string]bool)
	l.reservedAt = 0
}

// Connect notes a new connection of a gateway: what it has of tokens it will not tell the use
// of, so that they count as used.
func (l *Ledger) Connect(name string) {
	known, met := l.gateways[name]
	if !met {
		return
	}
	for tenant, own := range known.shares {
		l.takeBack(tenant, own)
		own.outstanding = 0
	}
}

// Hear takes the asks of a gateway, none to tell only that it is alive, and returns what it is
// granted. LimitOf returns the limit of a tenant, false for one without.
func (l *Ledger) Hear(now time.Duration, name string, asks []Ask, limitOf func(tenant string) (Limit, bool)) []Grant {
	known, met := l.gateways[name]
	if !met {
		known = &gateway{shares: make(map[string]*share)}
		l.gateways[name] = known
	}
	known.heardAt = now
	l.reserve(now)
	var grants []Grant
	for _, ask := range asks {
		limit, limited := limitOf(ask.Tenant)
		if !limited {
			// Granted at once: a gateway may not know yet that the limit is gone.
			grants = append(grants, Grant{Tenant: ask.Tenant, Tokens: ask.Want})
			l.forget(ask.Tenant)
			continue
		}
		grants = append(grants, l.grant(now, known, ask, limit))
	}
	return l.tellShort(now, grants)
}

// tellShort adds the tenants that have no token left to what a gateway is told.
func (l *Ledger) tellShort(now time.Duration, grants []Grant) []Grant {
	for tenant := range l.short {
		filled := l.bucket(now, tenant, l.buckets[tenant].limit)
		if filled.tokens >= 1 {
			delete(l.short, tenant)
			continue
		}
		asked := slices.ContainsFunc(grants, func(grant Grant) bool { return grant.Tenant == tenant })
		if !asked && len(grants) < mostTold {
			grants = append(grants, Grant{Tenant: tenant, ShortMs: filled.expected(now)})
		}
	}
	return grants
}

func (l *Ledger) forget(tenant string) {
	delete(l.buckets, tenant)
	delete(l.short, tenant)
	for _, each := range l.gateways {
		delete(each.shares, tenant)
	}
}

func (l *Ledger) grant(now time.Duration, known *gateway, ask Ask, limit Limit) Grant {
	filled := l.bucket(now, ask.Tenant, limit)
	own, met := known.shares[ask.Tenant]
	if !met {
		own = &share{}
		known.shares[ask.Tenant] = own
	}
	// Counts beyond what it can have used or have left are wrong, and bounded. Tokens used in
	// advance, beyond those that it had, are taken out of the bucket now.
	used := min(float64(ask.Used), own.outstanding+limit.Rate+1)
	granted := min(used, own.outstanding)
	returned := min(float64(ask.Returned), own.outstanding-granted)
	own.outstanding -= granted + returned
	own.used.add(now, used)
	filled.outstanding -= granted + returned
	filled.tokens = min(filled.tokens+returned-(used-granted), l.room(filled))
	tokens := math.Floor(min(float64(ask.Want), max(0, filled.tokens)))
	filled.tokens -= tokens
	filled.outstanding += tokens
	filled.granted.add(now, tokens)
	own.outstanding += tokens
	if filled.tokens < 1 {
		l.short[ask.Tenant] = true
	}
	filled.lacking.add(now, float64(ask.Want)-tokens)
	return Grant{Tenant: ask.Tenant, Tokens: uint32(tokens), ShortMs: filled.short(now, ask, tokens)}
}

// backlog is the time for which tokens that gateways lacked are expected to be asked for again.
const backlog = 200 * time.Millisecond

// short returns in how many milliseconds a token is expected that no other gateway takes; zero if
// all were granted.
func (b *bucket) short(now time.Duration, ask Ask, tokens float64) uint32 {
	if tokens >= float64(ask.Want) {
		return 0
	}
	return b.expected(now)
}

// expected returns in how many milliseconds a token is expected that no other gateway takes.
func (b *bucket) expected(now time.Duration) uint32 {
	wait := mostShort
	if rate := b.rate(); rate > 0 {
		before := max(0, b.lacking.value(now)*backlog.Seconds()-b.tokens)
		wait = min(wait, time.Duration((1+before)/rate*float64(time.Second)))
	}
	return uint32(max(1, wait.Milliseconds()))
}

// rate is that at which the bucket fills.
func (b *bucket) rate() float64 { return max(0, b.limit.Rate-b.reserved) }

// depth is the most tokens that gateways and the bucket may have together.
func (l *Ledger) depth(limit Limit) float64 { return max(1, limit.Burst+l.slack/2) }

// room is the most that the bucket may hold beside what gateways have.
func (l *Ledger) room(b *bucket) float64 { return max(0, l.depth(b.limit)-b.outstanding) }

// bucket returns the bucket of a tenant, filled up to now.
func (l *Ledger) bucket(now time.Duration, tenant string, limit Limit) *bucket {
	known, met := l.buckets[tenant]
	if !met {
		known = &bucket{limit: limit, at: l.leadSince}
		l.buckets[tenant] = known
	}
	known.tokens += known.rate() * (now - known.at).Seconds()
	known.at = now
	known.limit = limit
	known.tokens = min(known.tokens, l.room(known))
	return known
}

// reserve keeps back what silent gateways may use without the leader, and forgets those that
// have been silent for too long.
func (l *Ledger) reserve(now time.Duration) {
	if now-l.reservedAt < reserveInterval {
		return
	}
	l.reservedAt = now
	reserved := make(map[string]float64)
	for name, each := range l.gateways {
		silent := now - each.heardAt
		if silent <= gatewaySilence {
			continue
		}
		for tenant, own := range each.shares {
			if silent > fallbackTime+gatewaySilence {
				l.takeBack(tenant, own)
				continue
			}
			reserved[tenant] += fallbackShare * own.used.value(each.heardAt)
		}
		if silent > fallbackTime+gatewaySilence {
			delete(l.gateways, name)
		}
	}
	for tenant, known := range l.buckets {
		// Filled at the old rate up to now.
		l.bucket(now, tenant, known.limit)
		known.reserved = reserved[tenant]
	}
}

// takeBack counts the tokens of a gateway that is gone as used.
func (l *Ledger) takeBack(tenant string, own *share) {
	if known, met := l.buckets[tenant]; met {
		known.outstanding -= own.outstanding
	}
}

// Use tells of a tenant how many tokens a second gateways take, for operators.
func (l *Ledger) Use(now time.Duration, tenant string) float64 {
	known, met := l.buckets[tenant]
	if !met {
		return 0
	}
	return known.granted.value(now)
}
