package routing

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// ranks are the priorities of routes and of tenants, each once, the most urgent first. The
// priority of a tenant goes before that of the route.
type ranks struct {
	routes  []int
	tenants []int
	// others is true if some requests have no tenant with a priority of its own: they come
	// after those that have one.
	others bool
}

func newRanks(routes map[string]parsedRoute, tenants map[string]parsedTenant) ranks {
	made := ranks{others: len(tenants) == 0}
	for _, parsed := range routes {
		made.routes = append(made.routes, parsed.route.Priority)
		made.others = made.others || parsed.route.AllowAnonymous
	}
	for _, parsed := range tenants {
		if parsed.tenant.Priority == nil {
			made.others = true
			continue
		}
		made.tenants = append(made.tenants, *parsed.tenant.Priority)
	}
	made.routes, made.tenants = eachOnce(made.routes), eachOnce(made.tenants)
	return made
}

func eachOnce(priorities []int) []int {
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// urgency returns the rank from 0 for the least urgent to 1 for the most urgent.
func (r ranks) urgency(route *directory.Route, tenant *directory.Tenant) float64 {
	groups := len(r.tenants)
	if r.others {
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
