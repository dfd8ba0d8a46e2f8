package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// quotas are the tokens that this gateway has of tenants with a limit. It is safe for
// concurrent use.
type quotas struct {
	clock    clock.Clock
	mutex    sync.Mutex
	accounts *quota.Accounts
	// changed tells requests that wait for a token that there may be one.
	changed *broadcast.Broadcast
	// urgent gets an entry when the leader is to be asked at once.
	urgent chan struct{}
}

func newQuotas(system clock.Clock) *quotas {
	return &quotas{clock: system, accounts: quota.NewAccounts(), changed: broadcast.New(), urgent: make(chan struct{}, 1)}
}

// takeQuota takes a token of the request's tenant, or returns that there is none.
func (g *Gateway) takeQuota(current *request) error {
	if current.tenant == nil || !current.tenant.Limited() {
		return nil
	}
	tenant := quota.Tenant{
		Name:  current.tenant.Name,
		Limit: quota.Limit{Rate: current.tenant.RatePerSecond, Burst: current.tenant.Burst},
	}
	if table := g.subscription.current(); table != nil {
		tenant.Gateways = table.Gateways
	}
	verdict, retryIn := g.quotas.take(tenant, current.interrupt.Fired)
	if verdict == quota.Taken {
		current.quotaTaken = true
		return nil
	}
	current.retryIn = retryIn
	return fault.Newf(fault.QuotaExceeded, "tenant %.64q has used up its %g requests a second", tenant.Name, tenant.Limit.Rate)
}

// returnQuota gives the token of a request back that has not run.
func (g *Gateway) returnQuota(current *request, err error) {
	if err == nil || !current.quotaTaken || fault.AnswerFor(asFault(err).Kind).Outcome != fault.NotRun {
		return
	}
	g.quotas.mutex.Lock()
	defer g.quotas.mutex.Unlock()
	g.quotas.accounts.Refund(g.clock.Now(), current.tenant.Name)
}

// take waits for a token for a short time. Left reports whether the caller has left.
func (q *quotas) take(tenant quota.Tenant, left func() bool) (quota.Verdict, time.Duration) {
	began := q.clock.Now()
	changed := q.changed.Next()
	verdict, retryIn := q.arrive(tenant, false)
	if verdict != quota.Wait {
		return verdict, retryIn
	}
	q.wait(tenant.Name, 1)
	defer q.wait(tenant.Name, -1)
	q.askAtOnce()
	ticker := time.NewTicker(quota.AskPause)
	defer ticker.Stop()
	for verdict == quota.Wait && !left() {
		if q.clock.Now()-began >= quota.AnswerTime {
			return q.giveUp(tenant, began)
		}
		select {
		case <-changed:
		case <-ticker.C:
			q.askIfDue()
		}
		changed = q.changed.Next()
		verdict, retryIn = q.arrive(tenant, true)
	}
	return verdict, retryIn
}

func (q *quotas) giveUp(tenant quota.Tenant, since time.Duration) (quota.Verdict, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.accounts.GiveUp(q.clock.Now(), tenant, since)
}

func (q *quotas) arrive(tenant quota.Tenant, waited bool) (quota.Verdict, time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.accounts.Arrive(q.clock.Now(), tenant, waited)
}

func (q *quotas) wait(tenant string, change int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.accounts.Waiting(q.clock.Now(), tenant, change)
}

func (q *quotas) askAtOnce() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// asks returns what the leader is to be told now.
func (q *quotas) asks() []quota.Ask {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.accounts.Asks(q.clock.Now())
}

// unanswered returns for how long the leader has left an ask without an answer.
func (q *quotas) unanswered() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.accounts.Unanswered(q.clock.Now())
}

func (q *quotas) answered(grants []quota.Grant) {
	q.mutex.Lock()
	q.accounts.Answered(q.clock.Now(), grants)
	q.mutex.Unlock()
	q.changed.Raise()
	q.askIfDue()
}

// askIfDue asks the leader at once if requests wait for tokens that were not asked for of late.
func (q *quotas) askIfDue() {
	q.mutex.Lock()
	due := q.accounts.Urgent(q.clock.Now())
	q.mutex.Unlock()
	if due {
		q.askAtOnce()
	}
}

// disconnected notes that the connection to the leader ended.
func (q *quotas) disconnected() {
	q.mutex.Lock()
	q.accounts.Disconnected(q.clock.Now())
	q.mutex.Unlock()
	q.changed.Raise()
}
