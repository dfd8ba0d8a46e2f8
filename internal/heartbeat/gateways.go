package heartbeat

import "time"

// Limits for an instance that apply to all gateways together are divided by the number of gateways.
// The leader counts the gateways that report to it. A gateway that is disconnected from the leader may
// still reach instances, so it counts for gatewayTimeout longer, and a new leader does not publish a
// lower number before gatewayTimeout has passed.

const (
	// gatewayTimeout is how long a gateway counts after its last report. It exceeds the usual length
	// of a network partition.
	gatewayTimeout = time.Minute
	// gatewayPublishInterval is the minimum time between two changes of the number.
	gatewayPublishInterval = 500 * time.Millisecond
	// gatewayDecreaseRatio is the share of the published number below which a lower one is published.
	// A number that is too high only slows cold instances down.
	gatewayDecreaseRatio = 0.9
)

// GatewayOffer describes what a gateway offers to other gateways.
type GatewayOffer struct {
	// Address is the IP:port at which other gateways request places at instances; empty if the
	// gateway does not grant any.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	// Megabits is the bandwidth of its link in each direction, in Mbit/s; zero if not limited.
	Megabits float64 `msgpack:"m"`
	// Relay is the IP:port at which the gateway relays requests of others; empty if it does not.
	Relay string `msgpack:"r,omitempty"`
}

// gateway is what this leader knows about a gateway.
type gateway struct {
	heardAt time.Duration
	offer   GatewayOffer
}

// RecordGateway records a report of a gateway to this leader. A gateway sends its offer once per
// connection; offer is nil otherwise.
func (c *Core) RecordGateway(now time.Duration, name string, offer *GatewayOffer) {
	state := c.gateways[name]
	state.heardAt = now
	if offer != nil {
		state.offer = *offer
	}
	c.gateways[name] = state
}

// publishGateways publishes the number of gateways if it has changed.
func (b *Batch) publishGateways() {
	core := b.core
	if b.now-core.gatewaysCheckedAt < gatewayPublishInterval {
		return
	}
	core.gatewaysCheckedAt = b.now
	for name, state := range core.gateways {
		if b.now-state.heardAt > gatewayTimeout {
			delete(core.gateways, name)
		}
	}
	count, published := len(core.gateways), b.view.Gateways()
	complete := b.now-core.leadSince > gatewayTimeout
	if count > published || complete && count > 0 && float64(count) < gatewayDecreaseRatio*float64(published) {
		b.gatewayCount = count
	}
}
