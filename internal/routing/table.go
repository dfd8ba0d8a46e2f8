// Package routing finds the route of a request and the instances of its service in a
// table that is built from the directory. Tables are immutable: a changed directory
// leads to a new table.
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Service is a service with its instances and the owners of its key ranges.
type Service struct {
	Config directory.Service
	// Instances are the instances that are not gone, ordered by identifier. The elements are
	// immutable; a changed instance gets a new element.
	Instances []*directory.Instance
	Layout    directory.Layout
	Throttles directory.Throttles
}

// Slots returns the total number of slots of all instances, at least one for each.
func (s *Service) Slots() int {
	slots := 0
	for _, instance := range s.Instances {
		slots += max(instance.Slots, 1)
	}
	return slots
}

// Table is the routing table of a gateway.
type Table struct {
	Revision directory.Revision
	Limits   directory.Limits
	// Evacuated are the names of the zones that get no requests.
	Evacuated []string
	// Gateways is the number of gateways that share the instances, zero if it is not known.
	Gateways int
	// Suspects are the requests that are suspected of crashing instances.
	Suspects directory.Suspects
	// Keepers are the gateways that grant places at instances.
	Keepers []directory.Keeper
	// Relays are the gateways that pass requests on to instances for others.
	Relays []directory.Relay
	// Changed are the instances that changed since the earlier table, including those that
	// are gone. If Whole is true, it holds all instances.
	Changed []*directory.Instance
	Whole   bool
	// ChangedRoutes are the routes that were added, changed or dropped since the earlier
	// table; empty if there was none.
	ChangedRoutes []RouteChange
	// ItemsChanged is true if any configuration item changed since the earlier table.
	ItemsChanged bool
	// itemsRevision is the revision of the newest configuration item.
	itemsRevision directory.Revision
	ranks         ranks
	tenants       tenantIndex
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*directory.Route
	services     map[string]*Service
	// parsedRoutes holds the routes by name. The next table reuses those whose items have
	// not changed.
	parsedRoutes map[string]parsedRoute
}

// RouteChange names a version of a route.
type RouteChange struct {
	Name string `json:"name"`
	// Version is the version in force, zero for a route that was dropped.
	Version uint64 `json:"version"`
}

type parsedRoute struct {
	revision directory.Revision
	route    *directory.Route
}

// Build returns the table of a directory. Unchanged parts are reused from earlier, a
// previous table of the same directory, which may be nil.
func Build(view *directory.Directory, earlier *Table) *Table {
	table := &Table{Revision: view.Revision(), itemsRevision: view.ItemsRevision(), services: make(map[string]*Service), Gateways: view.Gateways(), Keepers: view.Keepers(), Relays: view.Relays(), Suspects: view.Suspects()}
	for _, zone := range view.Zones() {
		if zone.Evacuated {
			table.Evacuated = append(table.Evacuated, zone.Name)
		}
	}
	if earlier != nil && earlier.itemsRevision == table.itemsRevision {
		table.reuseItems(earlier)
	} else {
		table.parseItems(view, earlier)
		table.ItemsChanged = true
		table.ChangedRoutes = table.routeChanges(earlier)
	}
	table.loadInstances(view, earlier)
	for name, service := range table.services {
		service.Layout = view.Layout(name)
		service.Throttles = view.Throttles(name)
	}
	return table
}

// loadInstances sets the instances of all services: those of the earlier table with the
// changes since then if they are known, else all of the directory.
func (t *Table) loadInstances(view *directory.Directory, earlier *Table) {
	if earlier != nil && t.sameServices(earlier) {
		if changed, known := view.ChangedInstances(earlier.Revision); known {
			t.reuseInstances(earlier)
			t.updateInstances(view, changed)
			return
		}
	}
	t.Whole = true
	for instance := range view.EachInstancePointer() {
		t.Changed = append(t.Changed, instance)
		if service, found := t.services[instance.Service]; found && instance.State != directory.InstanceGone {
			service.Instances = append(service.Instances, instance)
		}
	}
}

// sameServices reports whether the services are configured as in the earlier table.
func (t *Table) sameServices(earlier *Table) bool {
	return maps.EqualFunc(t.services, earlier.services, func(a, b *Service) bool { return a.Config == b.Config })
}

// reuseInstances shares the instance lists of the earlier table, which has the same
// services.
func (t *Table) reuseInstances(earlier *Table) {
	for name, service := range t.services {
		service.Instances = earlier.services[name].Instances
	}
}

// updateInstances applies the changed instances, in the order of their identifiers. It
// clones the lists that it modifies, because the earlier table shares them.
func (t *Table) updateInstances(view *directory.Directory, changed []directory.InstanceID) {
	cloned := make(map[string]bool)
	for _, id := range changed {
		instance, found := view.Find(id)
		if !found {
			continue // removed from the directory after it was gone
		}
		t.Changed = append(t.Changed, instance)
		service, found := t.services[instance.Service]
		if !found {
			continue
		}
		if !cloned[instance.Service] {
			cloned[instance.Service] = true
			service.Instances = slices.Clone(service.Instances)
		}
		service.updateInstance(instance)
	}
}

// updateInstance inserts, replaces or deletes an instance according to its new state.
func (s *Service) updateInstance(instance *directory.Instance) {
	position, found := s.position(instance.ID)
	switch {
	case instance.State == directory.InstanceGone && found:
		s.Instances = slices.Delete(s.Instances, position, position+1)
	case instance.State == directory.InstanceGone:
	case found:
		s.Instances[position] = instance
	default:
		s.Instances = slices.Insert(s.Instances, position, instance)
	}
}

// reuseItems takes over what the earlier table parsed from the same items.
func (t *Table) reuseItems(earlier *Table) {
	t.Limits = earlier.Limits
	t.routesByHost = earlier.routesByHost
	t.parsedRoutes = earlier.parsedRoutes
	t.ranks = earlier.ranks
	t.tenants = earlier.tenants
	for name, service := range earlier.services {
		t.services[name] = &Service{Config: service.Config}
	}
}

// parseItems parses the items, except for unchanged routes and tenants, which are reused
// from the earlier table.
func (t *Table) parseItems(view *directory.Directory, earlier *Table) {
	t.routesByHost = make(map[string][]*directory.Route)
	t.parsedRoutes = make(map[string]parsedRoute)
	t.tenants = newTenantIndex()
	for _, item := range view.Items() {
		t.addItem(item, earlier)
	}
	t.ranks = newRanks(t.parsedRoutes, t.tenants.byName)
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *directory.Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Name, b.Name))
		})
	}
}

// routeChanges returns the routes that differ from those of an earlier table, which may be nil, by name.
func (t *Table) routeChanges(earlier *Table) []RouteChange {
	if earlier == nil {
		return nil
	}
	var changes []RouteChange
	for name, parsed := range t.parsedRoutes {
		if earlier.parsedRoutes[name].revision != parsed.revision {
			changes = append(changes, RouteChange{Name: name, Version: parsed.route.Version})
		}
	}
	for name := range earlier.parsedRoutes {
		if _, found := t.parsedRoutes[name]; !found {
			changes = append(changes, RouteChange{Name: name})
		}
	}
	slices.SortFunc(changes, func(a, b RouteChange) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// addItem adds an item unless it was dropped. Items were validated when they were
// accepted, so an item that cannot be parsed is skipped without an error.
func (t *Table) addItem(item directory.Item, earlier *Table) {
	if item.Key.Kind == directory.KindTenant {
		t.tenants.add(item, earlier)
		return
	}
	if item.Dropped {
		return
	}
	switch item.Key.Kind {
	case directory.KindRoute:
		t.addRoute(item, earlier)
	case directory.KindService:
		if service, err := item.Service(); err == nil {
			t.services[item.Key.Name] = &Service{Config: service}
		}
	default:
		if limits, err := item.Limits(); err == nil {
			t.Limits = limits
		}
	}
}

func (t *Table) addRoute(item directory.Item, earlier *Table) {
	parsed := parsedRoute{revision: item.Revision}
	if earlier != nil && earlier.parsedRoutes[item.Key.Name].revision == item.Revision {
		parsed = earlier.parsedRoutes[item.Key.Name]
	}
	if parsed.route == nil {
		route, err := item.Route()
		if err != nil {
			return
		}
		parsed.route = &route
	}
	t.parsedRoutes[item.Key.Name] = parsed
	host := normalizeHost(parsed.route.Host)
	t.routesByHost[host] = append(t.routesByHost[host], parsed.route)
}

// normalizeHost returns the host name in lower case and without a port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Route returns the host's route with the longest prefix of the path.
func (t *Table) Route(host, path string) (*directory.Route, bool) {
	for _, route := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	service, found := t.services[name]
	return service, found
}

// InstanceCount returns the number of instances of all services.
func (t *Table) InstanceCount() int {
	count := 0
	for _, service := range t.services {
		count += len(service.Instances)
	}
	return count
}

// Services returns the names of all services.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Instance returns an instance of the service by its identifier.
func (s *Service) Instance(id directory.InstanceID) (directory.Instance, bool) {
	position, found := s.position(id)
	if !found {
		return directory.Instance{}, false
	}
	return *s.Instances[position], true
}

func (s *Service) position(id directory.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(s.Instances, id, func(instance *directory.Instance, id directory.InstanceID) int {
		return cmp.Compare(instance.ID, id)
	})
}

// All returns copies of the instances of the service.
func (s *Service) All() []directory.Instance {
	all := make([]directory.Instance, 0, len(s.Instances))
	for _, instance := range s.Instances {
		all = append(all, *instance)
	}
	return all
}

// Knows reports whether any service has the instance.
func (t *Table) Knows(id directory.InstanceID) bool {
	for _, service := range t.services {
		if _, found := service.position(id); found {
			return true
		}
	}
	return false
}
