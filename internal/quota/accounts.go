package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// AnswerTime is how long the leader may take to answer an ask before the gateway goes on
	// without it: many times the way there and back, and less than a caller notices.
	AnswerTime = 150 * time.Millisecond
	// idleTime is after how long without a request a gateway gives its tokens back.
	idleTime = time.Second
	// askAgain is the least time between two asks while requests wait, and askShort that after
	// tokens ran out.
	askAgain = 20 * time.Millisecond
	askShort = AskPause
	// AskPause is the time after which a request that waits looks whether to ask once more.
	AskPause = 50 * time.Millisecond
	// trusted is how long after an answer of the leader tokens are taken in advance, and
	// advanceTime for how long ahead: a report to the leader.
	trusted     = time.Second
	advanceTime = 200 * time.Millisecond
	// worthWaiting is how soon a token must be expected for a request to wait for it: a caller
	// notices that less than a rejection.
	worthWaiting = 100 * time.Millisecond
	// longestShort bounds the time for which the word that tokens ran out is believed.
	longestShort = 300 * time.Millisecond
	// shortestReturn and longestReturn bound the time after which a rejected caller is told to
	// come back: the longer, the smaller the part of its tenant's requests that is let through.
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 2 * time.Second
	// fallbackDepth is how many seconds of its rate a gateway without the leader saves up.
	fallbackDepth = 0.5
)

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	// Taken requests have a token.
	Taken Verdict = iota
	// Wait for the leader's answer, for AnswerTime at most.
	Wait
	// Rejected requests are beyond the limit.
	Rejected
)

// Accounts are the stocks of one gateway.
type Accounts struct {
	policy   Policy
	random   func() float64
	accounts map[string]*account
	// lost is true while the leader leaves asks without an answer.
	lost bool
	// unansweredSince is when the oldest ask without an answer was made; zero for none.
	unansweredSince time.Duration
	// answeredAt is when the leader answered last.
	answeredAt time.Duration
	// lostAt is when the leader stopped to answer, for the end of the fallback.
	lostAt time.Duration
}

// account is the stock of one subject.
type account struct {
	// rate is the limit that an instance named, in requests a second.
	rate float64
	// tokens may fall below zero while the leader has enough: see advance.
	tokens   int
	used     uint32
	returned uint32
	// arrivals is the rate of requests, rejected ones too, and taken that of tokens used.
	arrivals smoothedRate
	taken    smoothedRate
	usedAt   time.Duration
	askedAt  time.Duration
	// waiting counts requests that wait for a token, by their urgency.
	waiting waiting
	// shortUntil is until when no tokens are expected for requests up to shortUrgency, and short
	// whether they ran out at the last ask, which was for requests of askedUrgency.
	shortUntil   time.Duration
	shortUrgency uint8
	short        bool
	// pending are the asks on demand that the leader has not answered, in order.
	pending []Ask
	// spare are the requests that may go without the leader, at spareAt.
	spare   float64
	spareAt time.Duration
	// alone are the requests that went without the leader, which is not told of them yet.
	alone sentAlone
	// frozen is the rate at which tokens were taken when the leader was lost.
	frozen float64
}

// NewAccounts returns the accounts of a gateway that has not heard of the leader. Random draws
// from [0, 1), differently at each gateway.
func NewAccounts(policy Policy, random func() float64) *Accounts {
	return &Accounts{policy: policy, random: random, accounts: make(map[string]*account)}
}

// Subject is whose token is wanted.
type Subject struct {
	Name  string
	Limit Limit
	// Gateways is how many share the limit, as the directory tells; zero if unknown.
	Gateways int
	// Urgency is that of the request, higher for more urgent.
	Urgency uint8
}

func (a *Accounts) of(now time.Duration, name string) *account {
	known, met := a.accounts[name]
	if !met {
		known = &account{usedAt: now, waiting: make(waiting), spare: a.firstSpare(), spareAt: now - a.policy.SaveUp/2}
		a.accounts[name] = known
	}
	return known
}

// firstSpare is what a gateway has saved up before it first goes without the leader. Where many
// gateways have a small part each, chance spreads the times at which each has saved up for one
// request.
func (a *Accounts) firstSpare() float64 {
	if !a.policy.OnDemand {
		return 0
	}
	return a.random()
}

// Arrive decides on a request of a subject. Waited is true for one that has waited before.
func (a *Accounts) Arrive(now time.Duration, subject Subject, waited bool) (verdict Verdict, retryIn time.Duration) {
	known := a.of(now, subject.Name)
	known.usedAt, known.rate = now, subject.Limit.Rate
	if !waited {
		known.arrivals.add(now, 1)
	}
	switch {
	case known.tokens > 0 && !known.waiting.moreUrgent(subject.Urgency):
		known.take(now)
		return Taken, 0
	case !a.reachable(now):
		return a.withoutLeader(now, known, subject)
	case now+worthWaiting < known.shortUntil && subject.Urgency <= known.shortUrgency:
		return Rejected, known.returnTime(now)
	case !a.policy.OnDemand && !known.short && now-a.answeredAt <= trusted && known.tokens > -known.advance(now):
		known.take(now)
		return Taken, 0
	default:
		return Wait, 0
	}
}

// advance is how many tokens a gateway takes before the leader has granted them, where these had
// not run out at its last answer: what is expected until the next report, and one. The leader
// takes them out of the bucket as soon as it is told. Without it the first request of a tenant
// at each gateway waits for the way there and back, behind long answers on a narrow link.
func (k *account) advance(now time.Duration) int {
	return 1 + int(k.arrivals.value(now)*advanceTime.Seconds())
}

func (k *account) take(now time.Duration) {
	k.tokens--
	k.used++
	k.taken.add(now, 1)
}

// GiveUp decides on a request that has waited for AnswerTime: without the leader if that has not
// answered since, else it is rejected.
func (a *Accounts) GiveUp(now time.Duration, subject Subject, since time.Duration) (verdict Verdict, retryIn time.Duration) {
	known := a.of(now, subject.Name)
	if a.answeredAt >= since {
		return Rejected, known.returnTime(now)
	}
	a.Lose(now)
	return a.withoutLeader(now, known, subject)
}

// returnTime is when a rejected caller is told to come back.
func (k *account) returnTime(now time.Duration) time.Duration {
	arrivals := k.arrivals.value(now)
	if arrivals <= 0 {
		return shortestReturn
	}
	rejected := 1 - min(1, k.taken.value(now)/arrivals)
	return shortestReturn + time.Duration(rejected*float64(longestReturn-shortestReturn))
}

// Refund gives the token of a request back that was not used.
func (a *Accounts) Refund(now time.Duration, subject string) {
	known := a.of(now, subject)
	if !a.policy.OnDemand {
		if known.used == 0 {
			return
		}
		known.used--
	}
	known.tokens++
}

// Waiting counts requests that began or ceased to wait for a token.
func (a *Accounts) Waiting(now time.Duration, subject Subject, change int) {
	a.of(now, subject.Name).waiting.add(subject.Urgency, change)
}

// reachable reports whether the leader answers.
func (a *Accounts) reachable(now time.Duration) bool {
	if a.unansweredSince > 0 && now-a.unansweredSince > AnswerTime {
		a.Lose(now)
	}
	return !a.lost
}

// Unanswered returns for how long the leader has left an ask without an answer.
func (a *Accounts) Unanswered(now time.Duration) time.Duration {
	if a.unansweredSince == 0 {
		return 0
	}
	return now - a.unansweredSince
}

// Lose notes that the leader does not answer any more. What may go without it counts from the ask
// that it left without an answer: a request that has waited since then is not rejected though its
// tenant is far below its limit.
func (a *Accounts) Lose(now time.Duration) {
	if a.lost {
		return
	}
	a.lost = true
	a.lostAt = now
	silentSince := now
	if a.unansweredSince > 0 {
		silentSince = max(a.unansweredSince, now-AnswerTime)
	}
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		known := a.accounts[name]
		known.frozen = fallbackShare * known.taken.value(now)
		if a.policy.OnDemand {
			// Half of what may be saved up serves the first requests; what was spent is gone, however
			// often the leader falls silent.
			known.spareAt = max(known.spareAt, silentSince-a.policy.SaveUp/2)
			continue
		}
		known.spare, known.spareAt = 0, silentSince
	}
}

// Disconnected notes that the connection to the leader ended: asks without an answer are lost.
func (a *Accounts) Disconnected(now time.Duration) {
	a.Lose(now)
	a.unansweredSince = 0
	for _, known := range a.accounts {
		// The next leader does not know of them.
		known.tokens, known.used, known.returned, known.pending = 0, 0, 0, nil
	}
}

// withoutLeader lets requests pass at the rate that the gateway had, for a bounded time, and at
// an equal part of a share of the limit.
func (a *Accounts) withoutLeader(now time.Duration, known *account, subject Subject) (Verdict, time.Duration) {
	rate := 0.0
	if subject.Gateways > 0 {
		rate = a.policy.FloorShare * subject.Limit.Rate / float64(subject.Gateways)
	}
	if now-a.lostAt <= fallbackTime {
		frozen := min(known.frozen, subject.Limit.Rate)
		if a.policy.OnDemand {
			rate = max(rate, frozen)
		} else {
			rate += frozen
		}
	}
	savedFor := now - known.spareAt
	if a.policy.SaveUp > 0 {
		savedFor = min(savedFor, a.policy.SaveUp)
	}
	known.spare = min(known.spare+rate*savedFor.Seconds(), max(1, fallbackDepth*rate))
	known.spareAt = now
	if known.spare >= 1 {
		known.spare--
		if a.policy.OnDemand {
			known.alone.add(now)
		}
		return Taken, 0
	}
	return Rejected, known.returnTime(now)
}

// Urgent reports whether requests wait that have not been asked for yet.
func (a *Accounts) Urgent(now time.Duration) bool {
	for _, known := range a.accounts {
		if known.waiting.total() > 0 && known.mayAsk(now) {
			return true
		}
	}
	return false
}

func (k *account) mayAsk(now time.Duration) bool {
	pause := askAgain
	if k.short {
		pause = askShort
	}
	return k.askedAt == 0 || now-k.askedAt >= pause
}

// Asks returns what the leader is to be told, and asked for, now. A gateway that needs nothing
// and used nothing asks nothing.
func (a *Accounts) Asks(now time.Duration) []Ask {
	var asks []Ask
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		known := a.accounts[name]
		idle := now-known.usedAt > idleTime && known.waiting.total() == 0
		var ask Ask
		if a.policy.OnDemand {
			ask = a.askOnDemand(now, name, known, idle)
		} else {
			ask = known.askAhead(now, name, idle)
		}
		if ask.Want > 0 || ask.Used > 0 || ask.Returned > 0 {
			known.askedAt = now
			asks = append(asks, ask)
			continue
		}
		if idle && now-known.usedAt > fallbackTime && !known.short {
			delete(a.accounts, name)
		}
	}
	if len(asks) > 0 && a.unansweredSince == 0 {
		a.unansweredSince = max(now, 1)
	}
	return asks
}

// askAhead tells what was used and asks for what is expected.
func (k *account) askAhead(now time.Duration, name string, idle bool) Ask {
	if idle {
		k.returned += uint32(max(0, k.tokens))
		k.tokens = min(k.tokens, 0) // what was used in advance is still to be told
	}
	ask := Ask{Subject: name, Used: k.used, Returned: k.returned}
	if !idle {
		ask.Want = k.want(now)
	}
	// The leader takes tokens used in advance out of the bucket with this report.
	k.tokens = max(0, k.tokens)
	k.used, k.returned = 0, 0
	return ask
}

// askOnDemand asks for the most urgent requests that wait, and gives back what none waits for.
// Without the leader it asks for one token, to learn whether the leader is back.
func (a *Accounts) askOnDemand(now time.Duration, name string, known *account, idle bool) Ask {
	ask := Ask{Subject: name, Rate: known.rate}
	ask.Used, ask.UsedAgoMs = known.alone.tell(now)
	waits, urgency := known.waiting.mostUrgent()
	ask.Urgency = urgency
	switch {
	case waits > 0:
		ask.Want = uint32(max(0, waits-known.tokens-known.expected(urgency)))
	case a.lost && !idle:
		ask.Want = 1
	case known.tokens > 0:
		ask.Returned = uint32(known.tokens)
		known.tokens = 0
	default:
	}
	known.used = 0
	if ask.Want > 0 || ask.Used > 0 || ask.Returned > 0 {
		known.pending = append(known.pending, ask)
	}
	return ask
}

// expected returns how many tokens were asked for, for requests of an urgency or more urgent ones,
// that the leader has not answered yet.
func (k *account) expected(urgency uint8) int {
	expected := 0
	for _, ask := range k.pending {
		if ask.Urgency >= urgency {
			expected += int(ask.Want)
		}
	}
	return expected
}

// answered takes a grant. Asks on demand are answered in order.
func (k *account) answered(now time.Duration, grant Grant) {
	k.tokens += int(grant.Tokens)
	k.short = grant.ShortMs > 0
	k.shortUntil = now + min(time.Duration(grant.ShortMs)*time.Millisecond, longestShort)
	k.shortUrgency = 0
	if len(k.pending) > 0 {
		k.shortUrgency = k.pending[0].Urgency
		k.pending = k.pending[1:]
	}
}

// want is how many tokens the account lacks for what is expected within the horizon.
func (k *account) want(now time.Duration) uint32 {
	expected := int(math.Ceil(k.arrivals.value(now)*horizon.Seconds())) + k.waiting.total()
	return uint32(max(0, expected-k.tokens))
}

// Answered takes the leader's answer to an ask. It names each subject that has no token left.
func (a *Accounts) Answered(now time.Duration, grants []Grant) {
	a.lost = false
	a.answeredAt = now
	a.unansweredSince = 0
	for _, known := range a.accounts {
		known.short = false
	}
	for _, grant := range grants {
		a.of(now, grant.Subject).answered(now, grant)
	}
}
