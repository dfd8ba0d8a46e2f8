package controller

import (
	"context"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/state"
)

// quotaKeeper gives out the tokens of tenants with a limit, and of instances that named one, while
// this replica leads. The decisions are those of quota.Ledger. It is safe for concurrent use.
type quotaKeeper struct {
	clock clock.Clock
	view  func(func(*state.State))
	// leadingSince tells when this replica began to lead.
	leadingSince func() time.Duration
	mutex        sync.Mutex
	// tenants and instances are the ledgers of the leadership term.
	tenants   *quota.Ledger
	instances *quota.Ledger
	// named are the limits of the instances.
	named *quota.AdvertisedLimits
	term  context.Context
}

// newQuotaKeeper returns a keeper for a replica. LeadingSince tells when it began to lead.
func newQuotaKeeper(settings config.Quota, system clock.Clock, view func(func(*state.State)), leadingSince func() time.Duration) *quotaKeeper {
	return &quotaKeeper{
		clock: system, view: view, leadingSince: leadingSince, named: quota.NewAdvertisedLimits(),
		tenants:   quota.NewLedger(quota.TenantPolicy(), settings.Slack),
		instances: quota.NewLedger(quota.InstancePolicy(), 0),
	}
}

// follow begins anew in each term of leadership. The mutex must be held.
func (k *quotaKeeper) follow(leadership context.Context) {
	if k.term != leadership {
		k.term = leadership
		// Not from now on: buckets would be empty for those who ask first.
		since := k.leadingSince()
		k.tenants.StartTerm(since)
		k.instances.StartTerm(since)
	}
}

// connect notes a new connection of a gateway.
func (k *quotaKeeper) connect(leadership context.Context, gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow(leadership)
	k.tenants.Connect(gateway)
	k.instances.Connect(gateway)
}

// hear takes the asks of a gateway, and returns what it is granted.
func (k *quotaKeeper) hear(leadership context.Context, gateway string, report *message.DemandReport) message.QuotaAnswer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow(leadership)
	now := k.clock.Now()
	answer := message.QuotaAnswer{Instances: k.hearOfInstances(now, gateway, report.InstanceAsks())}
	k.view(func(view *state.State) {
		limitOf := func(name string) (quota.Limit, bool) { return limitOfTenant(view.Directory(), name) }
		answer.Grants = k.tenants.HandleAsks(now, gateway, report.Quotas, limitOf)
	})
	if len(report.Quotas) == 0 {
		answer.Grants = nil
	}
	return answer
}

// hearOfInstances takes the asks for tokens of instances. The mutex must be held.
func (k *quotaKeeper) hearOfInstances(now time.Duration, gateway string, asks []quota.Ask) []quota.Grant {
	for _, ask := range asks {
		k.named.Note(now, ask.Subject, ask.Rate)
	}
	k.named.Expire(now, k.instances.Forget)
	return k.instances.HandleAsks(now, gateway, asks, k.named.Of)
}

// use returns how many tokens a second gateways take for a tenant.
func (k *quotaKeeper) use(tenant string) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.tenants.TokenRate(k.clock.Now(), tenant)
}

func limitOfTenant(view *directory.Directory, name string) (quota.Limit, bool) {
	tenant, found := view.Tenant(name)
	if !found || !tenant.Limited() {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}, true
}
