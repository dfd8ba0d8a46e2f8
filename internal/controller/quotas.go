package controller

import (
	"context"
	"sync"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/state"
)

// quotaKeeper gives out the tokens of tenants with a limit while this replica leads. The
// decisions are those of quota.Ledger. It is safe for concurrent use.
type quotaKeeper struct {
	clock clock.Clock
	view  func(func(*state.State))
	mutex sync.Mutex
	// ledger is that of the leadership term.
	ledger *quota.Ledger
	term   context.Context
}

func newQuotaKeeper(settings config.Quota, r *replica) *quotaKeeper {
	return &quotaKeeper{clock: r.clock, view: r.view, ledger: quota.NewLedger(settings.Slack)}
}

// follow begins anew in each term of leadership. The mutex must be held.
func (k *quotaKeeper) follow(leadership context.Context) {
	if k.term != leadership {
		k.term = leadership
		k.ledger.Lead(k.clock.Now())
	}
}

// connect notes a new connection of a gateway.
func (k *quotaKeeper) connect(leadership context.Context, gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow(leadership)
	k.ledger.Connect(gateway)
}

// hear takes the asks of a gateway, and returns what it is granted.
func (k *quotaKeeper) hear(leadership context.Context, gateway string, asks []quota.Ask) []quota.Grant {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow(leadership)
	var grants []quota.Grant
	k.view(func(view *state.State) {
		limitOf := func(name string) (quota.Limit, bool) { return limitOfTenant(view.Directory(), name) }
		grants = k.ledger.Hear(k.clock.Now(), gateway, asks, limitOf)
	})
	return grants
}

// use returns how many tokens a second gateways take for a tenant.
func (k *quotaKeeper) use(tenant string) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Use(k.clock.Now(), tenant)
}

func limitOfTenant(view *directory.Directory, name string) (quota.Limit, bool) {
	tenant, found := view.Tenant(name)
	if !found || !tenant.Limited() {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}, true
}
