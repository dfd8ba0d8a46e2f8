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

// quotaManager grants the tokens of tenants that have a limit, and of instances that advertise one, while this
// replica leads. The decisions are made by quota.Ledger. It is safe for concurrent use.
type quotaManager struct {
	clock clock.Clock
	view  func(func(*state.State))
	// leadingSince returns when this replica began to lead.
	leadingSince func() time.Duration
	mutex        sync.Mutex
	// tenants and instances are the ledgers of the current leadership term.
	tenants   *quota.Ledger
	instances *quota.Ledger
	// instanceLimits holds the limits that instances advertise.
	instanceLimits *quota.AdvertisedLimits
	leadership     context.Context
}

// newQuotaManager returns the quota manager of a replica. leadingSince returns when the replica began to lead.
func newQuotaManager(settings config.Quota, source clock.Clock, view func(func(*state.State)), leadingSince func() time.Duration) *quotaManager {
	return &quotaManager{
		clock: source, view: view, leadingSince: leadingSince, instanceLimits: quota.NewAdvertisedLimits(),
		tenants:   quota.NewLedger(quota.TenantPolicy(), settings.Slack),
		instances: quota.NewLedger(quota.InstancePolicy(), 0),
	}
}

// startTermIfNew resets the ledgers when the leadership term has changed. The mutex must be held.
func (m *quotaManager) startTermIfNew(leadership context.Context) {
	if m.leadership != leadership {
		m.leadership = leadership
		// Starts at the beginning of the leadership, not now: otherwise the first to ask would find empty
		// buckets.
		since := m.leadingSince()
		m.tenants.StartTerm(since)
		m.instances.StartTerm(since)
	}
}

// connect registers a new connection of a gateway.
func (m *quotaManager) connect(leadership context.Context, gateway string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.startTermIfNew(leadership)
	m.tenants.Connect(gateway)
	m.instances.Connect(gateway)
}

// handleReport processes the token requests of a gateway and returns what it is granted.
func (m *quotaManager) handleReport(leadership context.Context, gateway string, report *message.DemandReport) message.QuotaAnswer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.startTermIfNew(leadership)
	now := m.clock.Now()
	answer := message.QuotaAnswer{Instances: m.handleInstanceAsks(now, gateway, report.InstanceAsks())}
	m.view(func(view *state.State) {
		limitOf := func(name string) (quota.Limit, bool) { return limitOfTenant(view.Directory(), name) }
		answer.Grants = m.tenants.HandleAsks(now, gateway, report.Quotas, limitOf)
	})
	if len(report.Quotas) == 0 {
		answer.Grants = nil
	}
	return answer
}

// handleInstanceAsks processes requests for tokens of instances. The mutex must be held.
func (m *quotaManager) handleInstanceAsks(now time.Duration, gateway string, asks []quota.Ask) []quota.Grant {
	for _, ask := range asks {
		m.instanceLimits.Note(now, ask.Subject, ask.Rate)
	}
	m.instanceLimits.Expire(now, m.instances.Forget)
	return m.instances.HandleAsks(now, gateway, asks, m.instanceLimits.Of)
}

// tokenRate returns how many tokens per second the gateways use for a tenant.
func (m *quotaManager) tokenRate(tenant string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tenants.TokenRate(m.clock.Now(), tenant)
}

func limitOfTenant(view *directory.Directory, name string) (quota.Limit, bool) {
	tenant, found := view.Tenant(name)
	if !found || !tenant.Limited() {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}, true
}
