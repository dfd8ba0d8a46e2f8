package gateway

import (
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quota"
)

// takeQuota takes a token of the request's tenant, or returns an error if there is none.
func (g *Gateway) takeQuota(current *request) error {
	if current.tenant == nil || !current.tenant.Limited() {
		return nil
	}
	tenant := quota.Subject{
		Name:     current.tenant.Name,
		Limit:    quota.Limit{Rate: current.tenant.RatePerSecond, Burst: current.tenant.Burst},
		Gateways: g.subscription.current().Gateways,
	}
	verdict, retryIn := g.tenantTokens.take(tenant, current.interrupt.Fired)
	if verdict == quota.Taken {
		current.quotaTaken = true
		return nil
	}
	current.retryIn = retryIn
	return fault.Newf(fault.QuotaExceeded, "tenant %.64q has used up its %g requests a second", tenant.Name, tenant.Limit.Rate)
}

// returnQuota refunds the token of a request that did not run.
func (g *Gateway) returnQuota(current *request, err error) {
	if err == nil || !current.quotaTaken || fault.AnswerFor(asFault(err).Kind).Outcome != fault.NotRun {
		return
	}
	g.tenantTokens.refund(current.tenant.Name)
}
