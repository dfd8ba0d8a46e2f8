package heartbeat

import "time"

// What an instance may get from all gateways together is divided by their number. The
// leader counts those that report to it. A gateway that is cut off still reaches
// instances, so that it counts for a while; the number falls only once it was lower for
// as long.

const (
	// gatewayMemory is how long a gateway counts after it was heard of: longer than cuts
	// last as a rule.
	gatewayMemory = time.Minute
	// gatewayInterval is the least time between two changes of the number.
	gatewayInterval = 500 * time.Millisecond
	// fewerGateways is the share of the published number from which on a lower one is
	// published: a number that is too high only slows cold instances down.
	fewerGateways = 0.9
)

// GatewayOffer is what a gateway offers to others.
type GatewayOffer struct {
	// Address is where others ask it for the places of instances, IP:port; empty if it does
	// not give any out.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
	// Megabits is what its link carries in each direction, in Mbit/s; zero for no bound.
	Megabits float64 `msgpack:"m"`
}

// gateway is what this leader knows of one.
type gateway struct {
	heardAt time.Duration
	offer   GatewayOffer
}

// HearGateway notes that a gateway reports to this leader. What it offers is told once on
// each connection, and nil later.
func (c *Core) HearGateway(now time.Duration, name string, offer *GatewayOffer) {
	known := c.gateways[name]
	known.heardAt = now
	if offer != nil {
		known.offer = *offer
	}
	c.gateways[name] = known
}

// publishGateways tells the number of gateways if it has changed.
func (b *Batch) publishGateways() {
	core := b.core
	if b.now-core.countedAt < gatewayInterval {
		return
	}
	core.countedAt = b.now
	for name, known := range core.gateways {
		if b.now-known.heardAt > gatewayMemory {
			delete(core.gateways, name)
		}
	}
	count, published := len(core.gateways), b.view.Gateways()
	complete := b.now-core.leadSince > gatewayMemory
	if count > published || complete && count > 0 && float64(count) < fewerGateways*float64(published) {
		b.gateways = count
	}
}
