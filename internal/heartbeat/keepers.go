package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Keepers are the gateways that grant places at instances, see package room. The leader selects a few
// per zone and keeps them as long as they report, since a new keeper starts without state.

const (
	// keeperInterval is the time between two checks of the keepers.
	keeperInterval = 250 * time.Millisecond
	// keeperTimeout is the time without a report after which a keeper is replaced: three reports and
	// the time of one retransmission.
	keeperTimeout = 1200 * time.Millisecond
	// instancesPerKeeper is the number of instances in a zone per keeper. At ten requests per second
	// each, with messages of about 200 bytes, they use 40 KB/s.
	instancesPerKeeper = 20
)

// publishKeepers publishes the keepers of all zones if they have changed.
func (b *Batch) publishKeepers() {
	core := b.core
	if b.now-core.keepersCheckedAt < keeperInterval || b.now-core.leadSince < keeperTimeout {
		return
	}
	core.keepersCheckedAt = b.now
	published := b.view.Keepers()
	if updated := core.keepers(b.now, b.view, published); len(updated) > 0 && !slices.Equal(updated, published) {
		b.keepers = updated
	}
}

// keepers selects the keepers of all zones: the published ones that still report, then other gateways
// of the zone up to the required number.
func (c *Core) keepers(now time.Duration, view *directory.Directory, published []directory.Keeper) []directory.Keeper {
	instances := make(map[string]int)
	for instance := range view.EachInstance() {
		if instance.Serving() {
			instances[instance.Zone]++
		}
	}
	offers := c.offers(now)
	var keepers []directory.Keeper
	for zone, count := range instances {
		target := 1 + (count-1)/instancesPerKeeper
		chosen := 0
		choose := func(offer GatewayOffer) {
			if chosen < target && offer.Zone == zone {
				keepers = append(keepers, directory.Keeper{Address: offer.Address, Zone: zone})
				chosen++
			}
		}
		for _, offer := range offers {
			if slices.Contains(published, directory.Keeper{Address: offer.Address, Zone: offer.Zone}) {
				choose(offer)
			}
		}
		for _, offer := range offers {
			if !slices.Contains(keepers, directory.Keeper{Address: offer.Address, Zone: zone}) {
				choose(offer)
			}
		}
	}
	slices.SortFunc(keepers, func(a, b directory.Keeper) int { return cmp.Compare(a.Address, b.Address) })
	return keepers
}

// offers returns the offers of the gateways that report, highest bandwidth first.
func (c *Core) offers(now time.Duration) []GatewayOffer {
	var offers []GatewayOffer
	for _, state := range c.gateways {
		if state.offer.Address != "" && now-state.heardAt <= keeperTimeout {
			offers = append(offers, state.offer)
		}
	}
	slices.SortFunc(offers, func(a, b GatewayOffer) int {
		return cmp.Or(cmp.Compare(b.Megabits, a.Megabits), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	return offers
}
