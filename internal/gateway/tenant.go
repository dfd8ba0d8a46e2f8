package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/routing"
)

const bearerScheme = "Bearer"

// apiKey returns the API key in a request's header; empty for none.
func apiKey(header *fasthttp.RequestHeader) string {
	scheme, key, found := strings.Cut(string(header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// readTenant finds the tenant of the request by its API key.
func (g *Gateway) readTenant(read *request, table *routing.Table) error {
	if !table.RequiresKeys() {
		return nil
	}
	read.keyRequired = true
	key := apiKey(&read.inbound.Header)
	if key == "" && read.route.AllowAnonymous {
		return nil
	}
	if g.mayBeRevoked() {
		return fault.New(fault.StaleRouter, "API keys may have been revoked since a controller was heard last")
	}
	tenant, found := table.Tenant(key)
	if !found {
		return read.denied(fault.Unauthenticated, "no tenant has this API key: send Authorization: Bearer KEY with a key of yours")
	}
	read.tenant = tenant
	return nil
}

// mayBeRevoked reports whether API keys may have been revoked because no controller has confirmed the
// directory for too long.
func (g *Gateway) mayBeRevoked() bool {
	limit := g.settings.Revocation.Limit
	return g.settings.Revocation.FailClosed && limit > 0 && g.subscription.confirmedAge() > limit
}

// setTenant sets the tenant header for the instance, whatever the caller sent, and removes the API key.
func (r *request) setTenant(outgoing *fasthttp.Request, dialect Dialect) {
	outgoing.Header.Del(dialect.Tenant)
	if r.tenant != nil {
		outgoing.Header.Set(dialect.Tenant, r.tenant.Name)
	}
	if r.keyRequired {
		outgoing.Header.Del(fasthttp.HeaderAuthorization)
	}
}
