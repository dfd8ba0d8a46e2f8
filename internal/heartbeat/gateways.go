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

// HearGateway notes that a gateway reports to this leader.
func (c *Core) HearGateway(now time.Duration, name string) { c.gateways[name] = now }

// publishGateways tells the number of gateways if it has changed.
func (b *Batch) publishGateways() {
	core := b.core
	if b.now-core.countedAt < gatewayInterval {
		return
	}
	core.countedAt = b.now
	for name, heardAt := range core.gateways {
		if b.now-heardAt > gatewayMemory {
			delete(core.gateways, name)
		}
	}
	count, published := len(core.gateways), b.view.Gateways()
	complete := b.now-core.leadSince > gatewayMemory
	if count > published || complete && count > 0 && float64(count) < fewerGateways*float64(published) {
		b.gateways = count
	}
}
