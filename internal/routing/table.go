// Package routing finds the route of a request and the instances of its service in
// a table that is built from the directory. A table is never changed; it is
// replaced by one built from a newer directory.
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Service is a service with its instances and the holders of its keys.
type Service struct {
	Config directory.Service
	// Instances are those that are not gone, by identifier. They are replaced and never
	// changed.
	Instances []*directory.Instance
	Layout    directory.Layout
	Throttles directory.Throttles
}

// Slots returns those of all instances.
func (s *Service) Slots() int {
	slots := 0
	for _, instance := range s.Instances {
		slots += max(instance.Slots, 1)
	}
	return slots
}

// Table is what a gateway routes by.
type Table struct {
	Revision directory.Revision
	Limits   directory.Limits
	// Evacuated are the zones that get no requests, by name.
	Evacuated []string
	// Gateways is how many of them share the instances, zero if that is not known.
	Gateways int
	// Suspects are the requests under which instances crashed.
	Suspects directory.Suspects
	// Keepers are the gateways that give out the places of instances.
	Keepers []directory.Keeper
	// Changed are the instances that changed since the earlier table, those that are gone too;
	// all if Whole is true.
	Changed []*directory.Instance
	Whole   bool
	// itemsRevision is the revision of the newest item.
	itemsRevision directory.Revision
	// ranks are those of the priorities of routes and tenants.
	ranks ranks
	// tenants are found by the hashes of their API keys.
	tenants tenants
	// hosts has the routes of each host, the longest prefix first.
	hosts    map[string][]*directory.Route
	services map[string]*Service
	// parsed has the routes by name, to be taken over while their items stay.
	parsed map[string]parsedRoute
}

type parsedRoute struct {
	revision directory.Revision
	route    *directory.Route
}

// Build returns the table of a directory. What did not change is taken over from an
// earlier table of the same directory, which may be nil.
func Build(view *directory.Directory, earlier *Table) *Table {
	table := &Table{Revision: view.Revision(), itemsRevision: view.ItemsRevision(), services: make(map[string]*Service), Gateways: view.Gateways(), Keepers: view.Keepers(), Suspects: view.Suspects()}
	for _, zone := range view.Zones() {
		if zone.Evacuated {
			table.Evacuated = append(table.Evacuated, zone.Name)
		}
	}
	if earlier != nil && earlier.itemsRevision == table.itemsRevision {
		table.keepItems(earlier)
	} else {
		table.readItems(view, earlier)
	}
	table.takeInstances(view, earlier)
	for name, service := range table.services {
		service.Layout = view.Layout(name)
		service.Throttles = view.Throttles(name)
	}
	return table
}

// takeInstances takes the instances of an earlier table with what changed since then, or all.
func (t *Table) takeInstances(view *directory.Directory, earlier *Table) {
	if earlier != nil && t.sameServices(earlier) {
		if changed, known := view.ChangedInstances(earlier.Revision); known {
			t.keepInstances(earlier)
			t.changeInstances(view, changed)
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

// sameServices reports whether the services are configured as in an earlier table.
func (t *Table) sameServices(earlier *Table) bool {
	return maps.EqualFunc(t.services, earlier.services, func(a, b *Service) bool { return a.Config == b.Config })
}

// keepInstances takes over the instances of an earlier table with the same services.
func (t *Table) keepInstances(earlier *Table) {
	for name, service := range t.services {
		service.Instances = earlier.services[name].Instances
	}
}

// changeInstances takes those that changed, in the order of their identifiers. The lists of the
// earlier table stay as they are.
func (t *Table) changeInstances(view *directory.Directory, changed []directory.InstanceID) {
	copied := make(map[string]bool)
	for _, id := range changed {
		instance, found := view.Find(id)
		if !found {
			continue // forgotten since; it had left before
		}
		t.Changed = append(t.Changed, instance)
		service, found := t.services[instance.Service]
		if !found {
			continue
		}
		if !copied[instance.Service] {
			copied[instance.Service] = true
			service.Instances = slices.Clone(service.Instances)
		}
		service.change(instance)
	}
}

// change takes an instance at its new state.
func (s *Service) change(instance *directory.Instance) {
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

// keepItems takes over what an earlier table read from the same items.
func (t *Table) keepItems(earlier *Table) {
	t.Limits = earlier.Limits
	t.hosts = earlier.hosts
	t.parsed = earlier.parsed
	t.ranks = earlier.ranks
	t.tenants = earlier.tenants
	for name, service := range earlier.services {
		t.services[name] = &Service{Config: service.Config}
	}
}

// readItems reads the items anew, but for routes that did not change.
func (t *Table) readItems(view *directory.Directory, earlier *Table) {
	t.hosts = make(map[string][]*directory.Route)
	t.parsed = make(map[string]parsedRoute)
	t.tenants = newTenants()
	for _, item := range view.Items() {
		t.addItem(item, earlier)
	}
	t.ranks = newRanks(t.parsed, t.tenants.byName)
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *directory.Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Name, b.Name))
		})
	}
}

// addItem adds an item that stands. Items were checked before they were taken, so
// that one which cannot be read is left out.
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
	if earlier != nil && earlier.parsed[item.Key.Name].revision == item.Revision {
		parsed = earlier.parsed[item.Key.Name]
	}
	if parsed.route == nil {
		route, err := item.Route()
		if err != nil {
			return
		}
		parsed.route = &route
	}
	t.parsed[item.Key.Name] = parsed
	host := normalHost(parsed.route.Host)
	t.hosts[host] = append(t.hosts[host], parsed.route)
}

// normalHost returns a host name in lower case and without a port.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Route returns the route whose prefix is the longest that begins the path.
func (t *Table) Route(host, path string) (*directory.Route, bool) {
	for _, route := range t.hosts[normalHost(host)] {
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

// Knows reports whether an instance of any service is known and not gone.
func (t *Table) Knows(id directory.InstanceID) bool {
	for _, service := range t.services {
		if _, found := service.position(id); found {
			return true
		}
	}
	return false
}
