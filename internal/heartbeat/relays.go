package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Relays are the gateways that pass requests on to instances for gateways which cannot reach these, see package
// relay. The leader names some in each zone. One that is down for a moment stays named: a gateway that asks it
// finds out, and a list that changes with each restart would cost all gateways more.

const (
	// relayInterval is the time between two checks of the relays.
	relayInterval = 500 * time.Millisecond
	// relayTimeout is the time without a report after which a relay is no longer named.
	relayTimeout = 10 * time.Second
	// relaysPerZone bounds the relays of a zone, about 0.5 KB in each gateway's directory.
	relaysPerZone = 16
)

// publishRelays publishes the relays of all zones if they have changed.
func (b *Batch) publishRelays() {
	core := b.core
	if b.now-core.relaysCheckedAt < relayInterval {
		return
	}
	core.relaysCheckedAt = b.now
	published := b.view.Relays()
	updated := core.relays(b.now, published, b.now-core.leadSince < relayTimeout)
	if len(updated) > 0 && !slices.Equal(updated, published) {
		b.relays = updated
	}
}

// relays selects the relays: the published ones that still report, then others. A new leader keeps all
// published ones until they had time to report to it.
func (c *Core) relays(now time.Duration, published []directory.Relay, keepAll bool) []directory.Relay {
	offered := c.offeredRelays(now)
	count := make(map[string]int)
	var relays []directory.Relay
	add := func(each directory.Relay) {
		if count[each.Zone] < relaysPerZone {
			count[each.Zone]++
			relays = append(relays, each)
		}
	}
	for _, each := range published {
		if keepAll || slices.Contains(offered, each) {
			add(each)
		}
	}
	for _, each := range offered {
		if !slices.Contains(published, each) {
			add(each)
		}
	}
	slices.SortFunc(relays, func(a, b directory.Relay) int { return cmp.Compare(a.Address, b.Address) })
	return relays
}

// offeredRelays returns the gateways that report and offer to relay, in an order that spreads the choice.
func (c *Core) offeredRelays(now time.Duration) []directory.Relay {
	var offered []directory.Relay
	for _, state := range c.gateways {
		if state.offer.Relay != "" && now-state.heardAt <= relayTimeout {
			offered = append(offered, directory.Relay{Address: state.offer.Relay, Zone: state.offer.Zone})
		}
	}
	slices.SortFunc(offered, func(a, b directory.Relay) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)), cmp.Compare(a.Address, b.Address))
	})
	return offered
}
