package gateway

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
)

// regionsOf returns the region of each zone.
func regionsOf(settings config.Gateway) map[string]string {
	regions := make(map[string]string, len(settings.Regions))
	for _, each := range settings.Regions {
		regions[each.Zone] = each.Region
	}
	return regions
}

func balanceSettings(settings config.Gateway) balance.Settings {
	made := balance.DefaultSettings(settings.Zone)
	made.Regions = regionsOf(settings)
	return made
}

// allowsRegionOf reports whether the route and the tenant allow the region of an instance.
func (g *Gateway) allowsRegionOf(current *request, instance directory.Instance) bool {
	region := g.regions[instance.Zone]
	if !allowsRegion(current.route.AllowedRegions, region) {
		return false
	}
	return current.tenant == nil || allowsRegion(current.tenant.AllowedRegions, region)
}

// regionBound reports whether the request is restricted to some regions. Such a request is sent without a
// place, since places of a service are granted regardless of the region.
func (r *request) regionBound() bool {
	return len(r.route.AllowedRegions) > 0 || r.tenant != nil && len(r.tenant.AllowedRegions) > 0
}

// allowsRegion reports whether a region is among the allowed ones; an empty list allows all.
func allowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
