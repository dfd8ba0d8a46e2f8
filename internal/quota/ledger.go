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
	// mostTold bounds the subjects that one answer tells of, some 4 KB.
	mostTold = 128
)

func decay(elapsed time.Duration) float64 { return math.Exp(-elapsed.Seconds() / rateMemory.Seconds()) }

// Ledger counts the tokens of all subjects while this process leads.
type Ledger struct {
	policy Policy
	// slack is how many requests of a subject beyond its limit do no harm: half of them
	// deepen its bucket, so that chance does not reject requests of one that stays within.
	slack    float64
	buckets  map[string]*bucket
	gateways map[string]*gateway
	// short are the subjects that have no token left: each gateway is told of them, so that none
	// takes any in advance.
	short map[string]bool
	// leadSince is when the term of leadership began, and reservedAt when silent gateways were
	// looked at last.
	leadSince  time.Duration
	reservedAt time.Duration
}

// bucket has the tokens of one subject that no gateway has.
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

// gateway is what one gateway has of each subject.
type gateway struct {
	heardAt time.Duration
	shares  map[string]*share
}

type share struct {
	outstanding float64
	used        smoothedRate
	// granted are tokens on demand that may be given back, a bucket of them at most.
	granted float64
}

// NewLedger returns a ledger that knows of no gateway.
func NewLedger(policy Policy, slack float64) *Ledger {
	ledger := &Ledger{policy: policy, slack: slack}
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
	for subject, own := range known.shares {
		l.takeBack(subject, own)
		own.outstanding = 0
	}
}

// Hear takes the asks of a gateway, none to tell only that it is alive, and returns what it is
// granted. LimitOf returns the limit of a subject, false for one without.
func (l *Ledger) Hear(now time.Duration, name string, asks []Ask, limitOf func(subject string) (Limit, bool)) []Grant {
	known, met := l.gateways[name]
	if !met {
		known = &gateway{shares: make(map[string]*share)}
		l.gateways[name] = known
	}
	known.heardAt = now
	l.reserve(now)
	var grants []Grant
	for _, ask := range asks {
		limit, limited := limitOf(ask.Subject)
		switch {
		case !limited:
			// Granted at once: a gateway may not know yet that the limit is gone.
			grants = append(grants, Grant{Subject: ask.Subject, Tokens: ask.Want})
			l.Forget(ask.Subject)
		case l.policy.OnDemand:
			grants = append(grants, l.grantOnDemand(now, known, ask, limit))
		default:
			grants = append(grants, l.grant(now, known, ask, limit))
		}
	}
	if l.policy.OnDemand {
		return grants
	}
	return l.tellShort(now, grants)
}

// grantOnDemand grants tokens for requests that wait, and counts them as used. The last tokens of
// a bucket are kept for the most urgent requests.
func (l *Ledger) grantOnDemand(now time.Duration, known *gateway, ask Ask, limit Limit) Grant {
	filled := l.bucket(now, ask.Subject, limit)
	own := known.share(ask.Subject)
	returned := min(float64(ask.Returned), own.granted)
	// What went without the leader is owed, a burst at most.
	owed := l.owed(now, ask, limit)
	filled.tokens = max(min(filled.tokens+returned, l.room(filled))-owed, -max(1, limit.Burst))
	kept := l.keptFor(limit, ask.Urgency)
	tokens := math.Floor(min(float64(ask.Want), max(0, filled.tokens-kept)))
	filled.tokens -= tokens
	own.granted = min(own.granted-returned+tokens, l.depth(limit))
	own.used.add(now, tokens)
	filled.granted.add(now, tokens)
	filled.lacking.add(now, float64(ask.Want)-tokens)
	return Grant{Subject: ask.Subject, Tokens: uint32(tokens), ShortMs: filled.short(now, ask, tokens)}
}

// owed returns how many of the requests that went without the leader are taken out of the bucket.
// The empty bucket that a term begins with stands for all that went before it.
func (l *Ledger) owed(now time.Duration, ask Ask, limit Limit) float64 {
	lastAgo := time.Duration(ask.UsedAgoMs) * time.Millisecond
	if lastAgo > now-l.leadSince {
		return 0
	}
	return min(float64(ask.Used), limit.Rate+1)
}

// keptFor returns how many tokens of a bucket are kept from requests of an urgency for more
// urgent ones.
func (l *Ledger) keptFor(limit Limit, urgency uint8) float64 {
	depth := l.depth(limit)
	lessUrgent := 1 - float64(min(urgency, MostUrgent))/MostUrgent
	return min(lessUrgent*l.policy.UrgentShare*depth, depth-1)
}

// tellShort adds the subjects that have no token left to what a gateway is told.
func (l *Ledger) tellShort(now time.Duration, grants []Grant) []Grant {
	for subject := range l.short {
		filled := l.bucket(now, subject, l.buckets[subject].limit)
		if filled.tokens >= 1 {
			delete(l.short, subject)
			continue
		}
		asked := slices.ContainsFunc(grants, func(grant Grant) bool { return grant.Subject == subject })
		if !asked && len(grants) < mostTold {
			grants = append(grants, Grant{Subject: subject, ShortMs: filled.expected(now)})
		}
	}
	return grants
}

// Forget drops a subject without a limit.
func (l *Ledger) Forget(subject string) {
	delete(l.buckets, subject)
	delete(l.short, subject)
	for _, each := range l.gateways {
		delete(each.shares, subject)
	}
}

// share returns what a gateway has of a subject.
func (g *gateway) share(subject string) *share {
	own, met := g.shares[subject]
	if !met {
		own = &share{}
		g.shares[subject] = own
	}
	return own
}

func (l *Ledger) grant(now time.Duration, known *gateway, ask Ask, limit Limit) Grant {
	filled := l.bucket(now, ask.Subject, limit)
	own := known.share(ask.Subject)
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
		l.short[ask.Subject] = true
	}
	filled.lacking.add(now, float64(ask.Want)-tokens)
	return Grant{Subject: ask.Subject, Tokens: uint32(tokens), ShortMs: filled.short(now, ask, tokens)}
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
func (l *Ledger) depth(limit Limit) float64 { return max(l.policy.LeastDepth, limit.Burst+l.slack/2) }

// room is the most that the bucket may hold beside what gateways have.
func (l *Ledger) room(b *bucket) float64 { return max(0, l.depth(b.limit)-b.outstanding) }

// bucket returns the bucket of a subject, filled up to now.
func (l *Ledger) bucket(now time.Duration, subject string, limit Limit) *bucket {
	known, met := l.buckets[subject]
	if !met {
		known = &bucket{limit: limit, at: l.leadSince}
		l.buckets[subject] = known
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
		for subject, own := range each.shares {
			if silent > fallbackTime+gatewaySilence {
				l.takeBack(subject, own)
				continue
			}
			reserved[subject] += fallbackShare * own.used.value(each.heardAt)
		}
		if silent > fallbackTime+gatewaySilence {
			delete(l.gateways, name)
		}
	}
	for subject, known := range l.buckets {
		// Filled at the old rate up to now.
		l.bucket(now, subject, known.limit)
		known.reserved = reserved[subject]
	}
}

// takeBack counts the tokens of a gateway that is gone as used.
func (l *Ledger) takeBack(subject string, own *share) {
	if known, met := l.buckets[subject]; met {
		known.outstanding -= own.outstanding
	}
}

// Use tells of a subject how many tokens a second gateways take, for operators.
func (l *Ledger) Use(now time.Duration, subject string) float64 {
	known, met := l.buckets[subject]
	if !met {
		return 0
	}
	return known.granted.value(now)
}
