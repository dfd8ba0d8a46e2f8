package gateway

import (
	"math/rand/v2"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// throttled returns an error for a request that is shed because its key gets more requests than its holder can
// serve.
func (g *Gateway) throttled(current *request) error {
	if !current.keyed {
		return nil
	}
	service, found := g.subscription.current().Service(current.service)
	if !found {
		return nil
	}
	admitted := service.Throttles.Admitted(current.key)
	if rand.Float64() < admitted {
		return nil
	}
	return fault.Newf(fault.RateLimited, "key %d is asked for more often than its holder can serve: %.3f of its requests are sent on", current.key, admitted)
}
