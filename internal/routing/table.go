// Package routing finds the route of a request and the instances of its service in
// a table that is built from the directory. A table is never changed; it is
// replaced by one built from a newer directory.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Service is a service with its instances and the holders of its keys.
type Service struct {
	Config directory.Service
	// Instances are those that are not gone, by identifier.
	Instances []directory.Instance
	Layout    directory.Layout
	Throttles directory.Throttles
}

// Table is what a gateway routes by.
type Table struct {
	Revision directory.Revision
	Limits   directory.Limits
	// Evacuated are the zones that get no requests, by name.
	Evacuated []string
	// Gateways is how many of them share the instances, zero if that is not known.
	Gateways int
	// Keepers are the gateways that give out the places of instances.
	Keepers []directory.Keeper
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
	table := &Table{Revision: view.Revision(), itemsRevision: view.ItemsRevision(), services: make(map[string]*Service), Gateways: view.Gateways(), Keepers: view.Keepers()}
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
	for instance := range view.EachInstance() {
		if service, found := table.services[instance.Service]; found && instance.State != directory.InstanceGone {
			service.Instances = append(service.Instances, instance)
		}
	}
	for name, service := range table.services {
		service.Layout = view.Layout(name)
		service.Throttles = view.Throttles(name)
	}
	return table
}

// keepItems takes over what an earlier table read from the same items.
func (t *Table) keepItems(earlier *Table) {
	t.Limits = earlier.Limits
	t.hosts = earlier.hosts
	t.parsed = earlier.parsed
	t.ranks = earlier.ranks
	t.tenants = earlier.tenants
	for name, service := range earlier.services {
		t.services[name] = &Service{Config: service.Config, Instances: make([]directory.Instance, 0, len(service.Instances))}
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
	position, found := slices.BinarySearchFunc(s.Instances, id, func(instance directory.Instance, id directory.InstanceID) int {
		return cmp.Compare(instance.ID, id)
	})
	if !found {
		return directory.Instance{}, false
	}
	return s.Instances[position], true
}
