package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Gateways that give out the places of instances, see package room, are named by the leader:
// a few in each zone, the same for as long as they are heard, since one that takes over knows
// nothing at first.

const (
	// keeperInterval is the time between two looks at the keepers.
	keeperInterval = 250 * time.Millisecond
	// keeperSilence is how long a keeper may be silent before another one takes its place:
	// three reports and the time of a resend on the way.
	keeperSilence = 1200 * time.Millisecond
	// instancesOfKeeper is the number of instances in a zone for which it has one keeper: at
	// ten requests a second each, whose messages take some 200 bytes, they take 40 KB/s.
	instancesOfKeeper = 20
)

// publishKeepers tells the keepers of each zone if they have changed.
func (b *Batch) publishKeepers() {
	core := b.core
	if b.now-core.keepersAt < keeperInterval || b.now-core.leadSince < keeperSilence {
		return
	}
	core.keepersAt = b.now
	published := b.view.Keepers()
	if wanted := core.keepers(b.now, b.view, published); len(wanted) > 0 && !slices.Equal(wanted, published) {
		b.keepers = wanted
	}
}

// keepers returns those of all zones: the published ones that are still heard, and where there
// are too few of them, others of the zone.
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
		wanted := 1 + (count-1)/instancesOfKeeper
		chosen := 0
		take := func(offer GatewayOffer) {
			if chosen < wanted && offer.Zone == zone {
				keepers = append(keepers, directory.Keeper{Address: offer.Address, Zone: zone})
				chosen++
			}
		}
		for _, offer := range offers {
			if slices.Contains(published, directory.Keeper{Address: offer.Address, Zone: offer.Zone}) {
				take(offer)
			}
		}
		for _, offer := range offers {
			if !slices.Contains(keepers, directory.Keeper{Address: offer.Address, Zone: zone}) {
				take(offer)
			}
		}
	}
	slices.SortFunc(keepers, func(a, b directory.Keeper) int { return cmp.Compare(a.Address, b.Address) })
	return keepers
}

// offers returns those of the gateways that are heard, the ones with the widest link first.
func (c *Core) offers(now time.Duration) []GatewayOffer {
	var offers []GatewayOffer
	for _, known := range c.gateways {
		if known.offer.Address != "" && now-known.heardAt <= keeperSilence {
			offers = append(offers, known.offer)
		}
	}
	slices.SortFunc(offers, func(a, b GatewayOffer) int {
		return cmp.Or(cmp.Compare(b.Megabits, a.Megabits), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	return offers
}
