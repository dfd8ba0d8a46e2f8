package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// tokens holds this gateway's tokens of tenants that have a rate limit, or of instances that advertise one. It
// is safe for concurrent use.
type tokens struct {
	clock    clock.Clock
	mutex    sync.Mutex
	accounts *quota.Accounts
	// changed wakes the requests that wait for a token.
	changed *broadcast.Broadcast
	// askNow gets an entry when the leader is to be asked at once.
	askNow chan struct{}
}

func newTokens(system clock.Clock, policy quota.Policy, askNow chan struct{}) *tokens {
	return &tokens{
		clock: system, accounts: quota.NewAccounts(policy, rand.Float64), changed: broadcast.New(), askNow: askNow,
	}
}

// refund returns a token that was not used.
func (t *tokens) refund(subject string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accounts.Refund(t.clock.Now(), subject)
}

// take takes a token, and waits up to quota.AnswerTime for one. Disconnected reports whether the caller has
// disconnected.
func (t *tokens) take(subject quota.Subject, disconnected func() bool) (quota.Verdict, time.Duration) {
	began := t.clock.Now()
	changed := t.changed.Next()
	verdict, retryIn := t.tryTake(subject, false)
	if verdict != quota.Wait {
		return verdict, retryIn
	}
	t.addWaiting(subject, 1)
	defer t.addWaiting(subject, -1)
	t.triggerAsk()
	ticker := time.NewTicker(quota.AskPause)
	defer ticker.Stop()
	for verdict == quota.Wait && !disconnected() {
		if t.clock.Now()-began >= quota.AnswerTime {
			return t.giveUp(subject, began)
		}
		select {
		case <-changed:
		case <-ticker.C:
			t.askIfDue()
		}
		changed = t.changed.Next()
		verdict, retryIn = t.tryTake(subject, true)
	}
	return verdict, retryIn
}

func (t *tokens) giveUp(subject quota.Subject, since time.Duration) (quota.Verdict, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.GiveUp(t.clock.Now(), subject, since)
}

func (t *tokens) tryTake(subject quota.Subject, waited bool) (quota.Verdict, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Arrive(t.clock.Now(), subject, waited)
}

func (t *tokens) addWaiting(subject quota.Subject, change int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accounts.AddWaiting(t.clock.Now(), subject, change)
}

func (t *tokens) triggerAsk() {
	select {
	case t.askNow <- struct{}{}:
	default:
	}
}

// asks returns the asks to send to the leader now.
func (t *tokens) asks() []quota.Ask {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Asks(t.clock.Now())
}

// unanswered returns how long the oldest unanswered ask has been waiting for the leader.
func (t *tokens) unanswered() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Unanswered(t.clock.Now())
}

func (t *tokens) applyGrants(grants []quota.Grant) {
	t.mutex.Lock()
	t.accounts.Answered(t.clock.Now(), grants)
	t.mutex.Unlock()
	t.changed.Raise()
	t.askIfDue()
}

// askIfDue triggers a report to the leader if requests wait for tokens that were not asked for recently.
func (t *tokens) askIfDue() {
	t.mutex.Lock()
	due := t.accounts.AskDue(t.clock.Now())
	t.mutex.Unlock()
	if due {
		t.triggerAsk()
	}
}

// disconnected records that the connection to the leader ended.
func (t *tokens) disconnected() {
	t.mutex.Lock()
	t.accounts.Disconnected(t.clock.Now())
	t.mutex.Unlock()
	t.changed.Raise()
}
