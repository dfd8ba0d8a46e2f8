package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// AnswerTime is how long the leader may take to answer an ask before the gateway continues
	// without it: many times the round trip, and less than a caller notices.
	AnswerTime = 150 * time.Millisecond
	// idleTimeout is the time without a request after which a gateway returns its tokens.
	idleTimeout = time.Second
	// askInterval is the minimum time between two asks while requests wait, shortAskInterval the
	// same after tokens ran out.
	askInterval      = 20 * time.Millisecond
	shortAskInterval = AskPause
	// AskPause is how often a waiting request checks whether to ask again.
	AskPause = 50 * time.Millisecond
	// advanceWindow is how long after the leader's last answer tokens may be used before they are
	// granted, and advanceHorizon how far ahead: one reporting interval.
	advanceWindow  = time.Second
	advanceHorizon = 200 * time.Millisecond
	// acceptableWait is how soon a token must be expected for a request to wait for it. A caller
	// notices such a wait less than a rejection.
	acceptableWait = 100 * time.Millisecond
	// maxShort bounds how long the leader's report that tokens ran out is trusted.
	maxShort = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller is advised to
	// retry. The time grows with the share of its tenant's requests that is rejected.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// fallbackBurstSeconds bounds the tokens that a gateway accrues without the leader, in seconds
	// of its rate.
	fallbackBurstSeconds = 0.5
)

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Taken requests got a token.
	Taken Verdict = iota
	// Wait for the leader's answer, for at most AnswerTime.
	Wait
	// Rejected requests exceed the limit.
	Rejected
)

// Accounts are the tokens that one gateway holds, by subject.
type Accounts struct {
	policy   Policy
	random   func() float64
	accounts map[string]*account
	// leaderLost is true while the leader does not answer asks.
	leaderLost bool
	// unansweredSince is when the oldest unanswered ask was made; zero if there is none.
	unansweredSince time.Duration
	// answeredAt is when the leader last answered.
	answeredAt time.Duration
	// leaderLostAt is when the leader stopped answering; the fallback ends fallbackTime later.
	leaderLostAt time.Duration
}

// account holds the tokens of one subject.
type account struct {
	// rate is the limit that an instance advertised, in requests per second.
	rate float64
	// tokens may be negative while the leader has tokens left; see advanceLimit.
	tokens   int
	used     uint32
	returned uint32
	// arrivals is the rate of requests, including rejected ones; taken is the rate of used tokens.
	arrivals smoothedRate
	taken    smoothedRate
	usedAt   time.Duration
	askedAt  time.Duration
	// waiting counts the requests that wait for a token, by urgency.
	waiting waitingCounts
	// No tokens are expected before shortUntil for requests up to shortUrgency. short is whether
	// tokens had run out at the leader's last answer.
	shortUntil   time.Duration
	shortUrgency uint8
	short        bool
	// pendingAsks are the on-demand asks that the leader has not answered yet, in order.
	pendingAsks []Ask
	// fallbackTokens are the requests that may be sent without the leader, accrued up to accruedAt.
	fallbackTokens float64
	accruedAt      time.Duration
	// unreported are the requests sent without the leader that were not reported to it yet.
	unreported unreportedSends
	// fallbackRate is fallbackShare of the rate at which tokens were taken when the leader was
	// lost.
	fallbackRate float64
}

// NewAccounts returns the accounts of a gateway that has not heard from the leader. Random returns
// values in [0, 1) that differ between gateways.
func NewAccounts(policy Policy, random func() float64) *Accounts {
	return &Accounts{policy: policy, random: random, accounts: make(map[string]*account)}
}

// Subject identifies whose token a request needs, and how urgently.
type Subject struct {
	Name  string
	Limit Limit
	// Gateways is the number of gateways that share the limit, according to the directory; zero if
	// unknown.
	Gateways int
	// Urgency is that of the request; higher is more urgent.
	Urgency uint8
}

func (a *Accounts) account(now time.Duration, name string) *account {
	acct, ok := a.accounts[name]
	if !ok {
		acct = &account{usedAt: now, waiting: make(waitingCounts), fallbackTokens: a.initialFallbackTokens(), accruedAt: now - a.policy.MaxAccrual/2}
		a.accounts[name] = acct
	}
	return acct
}

// initialFallbackTokens returns the tokens that an account starts with for use without the leader.
// Where each of many gateways has a small part of the limit, random values spread the times at
// which they have accrued enough for one request.
func (a *Accounts) initialFallbackTokens() float64 {
	if !a.policy.OnDemand {
		return 0
	}
	return a.random()
}

// Arrive decides on a request for a subject. Waited is true if the request has waited before.
func (a *Accounts) Arrive(now time.Duration, subject Subject, waited bool) (verdict Verdict, retryIn time.Duration) {
	acct := a.account(now, subject.Name)
	acct.usedAt, acct.rate = now, subject.Limit.Rate
	if !waited {
		acct.arrivals.add(now, 1)
	}
	switch {
	case acct.tokens > 0 && !acct.waiting.hasMoreUrgent(subject.Urgency):
		acct.take(now)
		return Taken, 0
	case !a.leaderReachable(now):
		return a.withoutLeader(now, acct, subject)
	case now+acceptableWait < acct.shortUntil && subject.Urgency <= acct.shortUrgency:
		return Rejected, acct.retryAfter(now)
	case !a.policy.OnDemand && !acct.short && now-a.answeredAt <= advanceWindow && acct.tokens > -acct.advanceLimit(now):
		acct.take(now)
		return Taken, 0
	default:
		return Wait, 0
	}
}

// advanceLimit returns how many tokens a gateway may use before the leader has granted them, if the
// subject had tokens left at the leader's last answer: the requests expected until the next report,
// plus one. The leader takes them out of the bucket when they are reported. Otherwise the first
// request of a tenant at each gateway would wait for a round trip, behind long answers on a narrow
// link.
func (acct *account) advanceLimit(now time.Duration) int {
	return 1 + int(acct.arrivals.value(now)*advanceHorizon.Seconds())
}

func (acct *account) take(now time.Duration) {
	acct.tokens--
	acct.used++
	acct.taken.add(now, 1)
}

// GiveUp decides on a request that has waited for AnswerTime. If the leader has not answered since,
// the fallback decides; otherwise the request is rejected.
func (a *Accounts) GiveUp(now time.Duration, subject Subject, since time.Duration) (verdict Verdict, retryIn time.Duration) {
	acct := a.account(now, subject.Name)
	if a.answeredAt >= since {
		return Rejected, acct.retryAfter(now)
	}
	a.MarkLeaderLost(now)
	return a.withoutLeader(now, acct, subject)
}

// retryAfter returns the time after which a rejected caller is advised to retry.
func (acct *account) retryAfter(now time.Duration) time.Duration {
	arrivals := acct.arrivals.value(now)
	if arrivals <= 0 {
		return minRetryAfter
	}
	rejected := 1 - min(1, acct.taken.value(now)/arrivals)
	return minRetryAfter + time.Duration(rejected*float64(maxRetryAfter-minRetryAfter))
}

// Refund returns a token that its request did not use.
func (a *Accounts) Refund(now time.Duration, subject string) {
	acct := a.account(now, subject)
	if !a.policy.OnDemand {
		if acct.used == 0 {
			return
		}
		acct.used--
	}
	acct.tokens++
}

// AddWaiting changes the number of requests that wait for a token.
func (a *Accounts) AddWaiting(now time.Duration, subject Subject, change int) {
	a.account(now, subject.Name).waiting.add(subject.Urgency, change)
}

// leaderReachable reports whether the leader answers asks.
func (a *Accounts) leaderReachable(now time.Duration) bool {
	if a.unansweredSince > 0 && now-a.unansweredSince > AnswerTime {
		a.MarkLeaderLost(now)
	}
	return !a.leaderLost
}

// Unanswered returns how long the oldest unanswered ask has been waiting for the leader.
func (a *Accounts) Unanswered(now time.Duration) time.Duration {
	if a.unansweredSince == 0 {
		return 0
	}
	return now - a.unansweredSince
}

// MarkLeaderLost records that the leader no longer answers. Fallback tokens accrue from the time of
// the unanswered ask, so that a request that has waited since then is not rejected although its
// tenant is far below its limit.
func (a *Accounts) MarkLeaderLost(now time.Duration) {
	if a.leaderLost {
		return
	}
	a.leaderLost = true
	a.leaderLostAt = now
	silentSince := now
	if a.unansweredSince > 0 {
		silentSince = max(a.unansweredSince, now-AnswerTime)
	}
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		acct := a.accounts[name]
		acct.fallbackRate = fallbackShare * acct.taken.value(now)
		if a.policy.OnDemand {
			// Half of the maximum accrual is available to the first requests. Time that was already
			// used for accrual does not count again, however often the leader falls silent.
			acct.accruedAt = max(acct.accruedAt, silentSince-a.policy.MaxAccrual/2)
			continue
		}
		acct.fallbackTokens, acct.accruedAt = 0, silentSince
	}
}

// Disconnected records that the connection to the leader ended. Unanswered asks are lost.
func (a *Accounts) Disconnected(now time.Duration) {
	a.MarkLeaderLost(now)
	a.unansweredSince = 0
	for _, acct := range a.accounts {
		// The next leader does not know of these.
		acct.tokens, acct.used, acct.returned, acct.pendingAsks = 0, 0, 0, nil
	}
}

// withoutLeader decides on a request at the gateway's recent rate, for a bounded time, and at its
// equal part of the floor share of the limit.
func (a *Accounts) withoutLeader(now time.Duration, acct *account, subject Subject) (Verdict, time.Duration) {
	rate := 0.0
	if subject.Gateways > 0 {
		rate = a.policy.FloorShare * subject.Limit.Rate / float64(subject.Gateways)
	}
	if now-a.leaderLostAt <= fallbackTime {
		recentRate := min(acct.fallbackRate, subject.Limit.Rate)
		if a.policy.OnDemand {
			rate = max(rate, recentRate)
		} else {
			rate += recentRate
		}
	}
	accrued := now - acct.accruedAt
	if a.policy.MaxAccrual > 0 {
		accrued = min(accrued, a.policy.MaxAccrual)
	}
	acct.fallbackTokens = min(acct.fallbackTokens+rate*accrued.Seconds(), max(1, fallbackBurstSeconds*rate))
	acct.accruedAt = now
	if acct.fallbackTokens >= 1 {
		acct.fallbackTokens--
		if a.policy.OnDemand {
			acct.unreported.add(now)
		}
		return Taken, 0
	}
	return Rejected, acct.retryAfter(now)
}

// AskDue reports whether the leader should be asked at once because requests wait and askInterval
// has passed since the last ask.
func (a *Accounts) AskDue(now time.Duration) bool {
	for _, acct := range a.accounts {
		if acct.waiting.total() > 0 && acct.mayAsk(now) {
			return true
		}
	}
	return false
}

func (acct *account) mayAsk(now time.Duration) bool {
	interval := askInterval
	if acct.short {
		interval = shortAskInterval
	}
	return acct.askedAt == 0 || now-acct.askedAt >= interval
}

// Asks returns the asks to send to the leader now. A subject that needs no tokens and has nothing
// to report gets none.
func (a *Accounts) Asks(now time.Duration) []Ask {
	var asks []Ask
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		acct := a.accounts[name]
		idle := now-acct.usedAt > idleTimeout && acct.waiting.total() == 0
		var ask Ask
		if a.policy.OnDemand {
			ask = a.askOnDemand(now, name, acct, idle)
		} else {
			ask = acct.askAhead(now, name, idle)
		}
		if ask.Want > 0 || ask.Used > 0 || ask.Returned > 0 {
			acct.askedAt = now
			asks = append(asks, ask)
			continue
		}
		if idle && now-acct.usedAt > fallbackTime && !acct.short {
			delete(a.accounts, name)
		}
	}
	if len(asks) > 0 && a.unansweredSince == 0 {
		a.unansweredSince = max(now, 1)
	}
	return asks
}

// askAhead reports what was used and asks for the tokens that are expected to be needed.
func (acct *account) askAhead(now time.Duration, name string, idle bool) Ask {
	if idle {
		acct.returned += uint32(max(0, acct.tokens))
		acct.tokens = min(acct.tokens, 0) // tokens used before they were granted are still to be reported
	}
	ask := Ask{Subject: name, Used: acct.used, Returned: acct.returned}
	if !idle {
		ask.Want = acct.want(now)
	}
	// The leader takes tokens that were used before they were granted out of the bucket with this
	// report.
	acct.tokens = max(0, acct.tokens)
	acct.used, acct.returned = 0, 0
	return ask
}

// askOnDemand asks for the most urgent waiting requests, and returns tokens that no request waits
// for. While the leader is lost it asks for one token, to detect that the leader is back.
func (a *Accounts) askOnDemand(now time.Duration, name string, acct *account, idle bool) Ask {
	ask := Ask{Subject: name, Rate: acct.rate}
	ask.Used, ask.UsedAgoMs = acct.unreported.report(now)
	waitingCount, urgency := acct.waiting.mostUrgent()
	ask.Urgency = urgency
	switch {
	case waitingCount > 0:
		ask.Want = uint32(max(0, waitingCount-acct.tokens-acct.pendingTokens(urgency)))
	case a.leaderLost && !idle:
		ask.Want = 1
	case acct.tokens > 0:
		ask.Returned = uint32(acct.tokens)
		acct.tokens = 0
	default:
	}
	acct.used = 0
	if ask.Want > 0 || ask.Used > 0 || ask.Returned > 0 {
		acct.pendingAsks = append(acct.pendingAsks, ask)
	}
	return ask
}

// pendingTokens returns the tokens in unanswered asks for requests of at least this urgency.
func (acct *account) pendingTokens(urgency uint8) int {
	tokens := 0
	for _, ask := range acct.pendingAsks {
		if ask.Urgency >= urgency {
			tokens += int(ask.Want)
		}
	}
	return tokens
}

// applyGrant adds a grant to the account. On-demand asks are answered in order.
func (acct *account) applyGrant(now time.Duration, grant Grant) {
	acct.tokens += int(grant.Tokens)
	acct.short = grant.ShortMs > 0
	acct.shortUntil = now + min(time.Duration(grant.ShortMs)*time.Millisecond, maxShort)
	acct.shortUrgency = 0
	if len(acct.pendingAsks) > 0 {
		acct.shortUrgency = acct.pendingAsks[0].Urgency
		acct.pendingAsks = acct.pendingAsks[1:]
	}
}

// want returns how many tokens the account lacks for the requests expected within the horizon.
func (acct *account) want(now time.Duration) uint32 {
	expected := int(math.Ceil(acct.arrivals.value(now)*horizon.Seconds())) + acct.waiting.total()
	return uint32(max(0, expected-acct.tokens))
}

// Answered processes the leader's answer to the asks. The answer includes each subject that has no
// token left.
func (a *Accounts) Answered(now time.Duration, grants []Grant) {
	a.leaderLost = false
	a.answeredAt = now
	a.unansweredSince = 0
	for _, acct := range a.accounts {
		acct.short = false
	}
	for _, grant := range grants {
		a.account(now, grant.Subject).applyGrant(now, grant)
	}
}
