package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// tokens are those that this gateway has of tenants with a limit, or of instances that named one.
// It is safe for concurrent use.
type tokens struct {
	clock    clock.Clock
	mutex    sync.Mutex
	accounts *quota.Accounts
	// changed tells requests that wait for a token that there may be one.
	changed *broadcast.Broadcast
	// urgent gets an entry when the leader is to be asked at once.
	urgent chan struct{}
}

func newTokens(system clock.Clock, policy quota.Policy, urgent chan struct{}) *tokens {
	return &tokens{
		clock: system, accounts: quota.NewAccounts(policy, rand.Float64), changed: broadcast.New(), urgent: urgent,
	}
}

// refund gives back a token that was not used.
func (t *tokens) refund(subject string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accounts.Refund(t.clock.Now(), subject)
}

// take waits for a token for a short time. Left reports whether the caller has left.
func (t *tokens) take(subject quota.Subject, left func() bool) (quota.Verdict, time.Duration) {
	began := t.clock.Now()
	changed := t.changed.Next()
	verdict, retryIn := t.arrive(subject, false)
	if verdict != quota.Wait {
		return verdict, retryIn
	}
	t.wait(subject, 1)
	defer t.wait(subject, -1)
	t.askAtOnce()
	ticker := time.NewTicker(quota.AskPause)
	defer ticker.Stop()
	for verdict == quota.Wait && !left() {
		if t.clock.Now()-began >= quota.AnswerTime {
			return t.giveUp(subject, began)
		}
		select {
		case <-changed:
		case <-ticker.C:
			t.askIfDue()
		}
		changed = t.changed.Next()
		verdict, retryIn = t.arrive(subject, true)
	}
	return verdict, retryIn
}

func (t *tokens) giveUp(subject quota.Subject, since time.Duration) (quota.Verdict, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.GiveUp(t.clock.Now(), subject, since)
}

func (t *tokens) arrive(subject quota.Subject, waited bool) (quota.Verdict, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Arrive(t.clock.Now(), subject, waited)
}

func (t *tokens) wait(subject quota.Subject, change int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.accounts.AddWaiting(t.clock.Now(), subject, change)
}

func (t *tokens) askAtOnce() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// asks returns what the leader is to be told now.
func (t *tokens) asks() []quota.Ask {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Asks(t.clock.Now())
}

// unanswered returns for how long the leader has left an ask without an answer.
func (t *tokens) unanswered() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.accounts.Unanswered(t.clock.Now())
}

func (t *tokens) answered(grants []quota.Grant) {
	t.mutex.Lock()
	t.accounts.Answered(t.clock.Now(), grants)
	t.mutex.Unlock()
	t.changed.Raise()
	t.askIfDue()
}

// askIfDue asks the leader at once if requests wait for tokens that were not asked for of late.
func (t *tokens) askIfDue() {
	t.mutex.Lock()
	due := t.accounts.AskDue(t.clock.Now())
	t.mutex.Unlock()
	if due {
		t.askAtOnce()
	}
}

// disconnected notes that the connection to the leader ended.
func (t *tokens) disconnected() {
	t.mutex.Lock()
	t.accounts.Disconnected(t.clock.Now())
	t.mutex.Unlock()
	t.changed.Raise()
}
