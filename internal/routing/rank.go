package routing

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// ranks holds the distinct priorities of routes and of tenants, in ascending order: the
// lowest number is the most urgent. The tenant's priority takes precedence over the route's.
type ranks struct {
	routes  []int
	tenants []int
	// defaultGroup is true if there can be requests without a tenant or whose tenant has no
	// priority. They rank below all requests whose tenant has one.
	defaultGroup bool
}

func newRanks(routes map[string]parsedRoute, tenants map[string]parsedTenant) ranks {
	result := ranks{defaultGroup: len(tenants) == 0}
	for _, parsed := range routes {
		result.routes = append(result.routes, parsed.route.Priority)
		result.defaultGroup = result.defaultGroup || parsed.route.AllowAnonymous
	}
	for _, parsed := range tenants {
		if parsed.tenant.Priority == nil {
			result.defaultGroup = true
			continue
		}
		result.tenants = append(result.tenants, *parsed.tenant.Priority)
	}
	result.routes, result.tenants = sortedUnique(result.routes), sortedUnique(result.tenants)
	return result
}

func sortedUnique(priorities []int) []int {
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// urgency returns the rank of a request; see Table.Urgency.
func (r ranks) urgency(route *directory.Route, tenant *directory.Tenant) float64 {
	groups := len(r.tenants)
	if r.defaultGroup {
		groups++
	}
	last := groups*len(r.routes) - 1
	if last < 1 {
		return 1
	}
	group := groups - 1
	if tenant != nil && tenant.Priority != nil {
		group, _ = slices.BinarySearch(r.tenants, *tenant.Priority)
	}
	position, _ := slices.BinarySearch(r.routes, route.Priority)
	return 1 - float64(min(group*len(r.routes)+position, last))/float64(last)
}

// Urgency returns the rank of a request among all, from 0 for the least urgent to 1 for the
// most urgent. The tenant is nil for a request without one.
func (t *Table) Urgency(route *directory.Route, tenant *directory.Tenant) float64 {
	return t.ranks.urgency(route, tenant)
}
