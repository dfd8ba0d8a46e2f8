package directory

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// CheckPatch validates a patch against the directory: each service that a route refers to must be
// configured once the patch is applied. A route that is ignored, because it is not newer than the
// current one, may also refer to a service that was dropped or that the patch names. The error is
// of kind invalid_argument.
func (d *Directory) CheckPatch(patch Patch) error {
	replacements := make(map[ItemKey]Item, len(patch.Items))
	for _, item := range patch.Items {
		if d.supersedes(item) && item.Version >= replacements[item.Key].Version {
			replacements[item.Key] = item
		}
	}
	inPatch := make(map[string]bool)
	for _, item := range patch.Items {
		if item.Key.Kind == KindService {
			inPatch[item.Key.Name] = true
		}
	}
	configuredAfter := func(service string) bool {
		key := ItemKey{Kind: KindService, Name: service}
		if item, changed := replacements[key]; changed {
			return !item.Dropped
		}
		item, found := d.items[key]
		return found && !item.Dropped
	}
	everConfigured := func(service string) bool {
		_, found := d.items[ItemKey{Kind: KindService, Name: service}]
		return found || inPatch[service]
	}
	for _, item := range patch.Items {
		if item.Key.Kind != KindRoute || item.Dropped {
			continue
		}
		allowed := everConfigured
		if d.supersedes(item) {
			allowed = configuredAfter
		}
		if err := checkServices(item, allowed); err != nil {
			return err
		}
	}
	if err := d.checkSharedKeys(replacements); err != nil {
		return err
	}
	return d.checkDroppedServices(replacements)
}

func checkServices(item Item, allowed func(service string) bool) error {
	route, err := item.Route()
	if err != nil {
		return fault.Newf(fault.InvalidArgument, "routes: route %q: %v", item.Key.Name, err)
	}
	for _, service := range route.Services() {
		if !allowed(service) {
			return fault.Newf(fault.InvalidArgument,
				"routes: route %q: service %q is not configured: add the service, or name another", item.Key.Name, service)
		}
	}
	return nil
}

// checkDroppedServices rejects a patch that drops a service that a route uses.
func (d *Directory) checkDroppedServices(replacements map[ItemKey]Item) error {
	dropped := make(map[string]bool)
	for key, item := range replacements {
		if key.Kind == KindService && item.Dropped {
			dropped[key.Name] = true
		}
	}
	if len(dropped) == 0 {
		return nil
	}
	for key, item := range d.items {
		if _, changed := replacements[key]; changed || key.Kind != KindRoute || item.Dropped {
			continue
		}
		notDropped := func(service string) bool { return !dropped[service] }
		if err := checkServices(*item, notDropped); err != nil {
			return err
		}
	}
	return nil
}

// supersedes reports whether an item is newer than the current one.
func (d *Directory) supersedes(item Item) bool {
	current, found := d.items[item.Key]
	return !found || item.Version > current.Version
}

// applyPatch stores the items of a patch that are newer than the current ones.
func (d *Directory) applyPatch(revision Revision, patch Patch) error {
	if err := d.CheckPatch(patch); err != nil {
		return err
	}
	for _, item := range patch.Items {
		if !d.supersedes(item) {
			continue
		}
		item.Revision = revision
		d.putItem(item)
		d.revision = revision
	}
	return nil
}

func (d *Directory) putItem(item Item) {
	d.items[item.Key] = &item
	d.itemsRevision = max(d.itemsRevision, item.Revision)
	switch item.Key.Kind {
	case KindService:
		delete(d.services, item.Key.Name)
		if service, err := item.Service(); err == nil && !item.Dropped {
			d.services[item.Key.Name] = service
		}
	case KindTenant:
		delete(d.tenants, item.Key.Name)
		if tenant, err := item.Tenant(); err == nil && !item.Dropped {
			d.tenants[item.Key.Name] = tenant
		}
	default:
	}
}

// Tenants returns the tenants that are not dropped, sorted by name.
func (d *Directory) Tenants() []Tenant {
	return slices.SortedFunc(maps.Values(d.tenants), func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
}

// Tenant returns a tenant that is not dropped.
func (d *Directory) Tenant(name string) (Tenant, bool) {
	tenant, found := d.tenants[name]
	return tenant, found
}

// ItemsRevision returns the revision of the newest change of an item.
func (d *Directory) ItemsRevision() Revision { return d.itemsRevision }

// Items returns all items, including dropped ones, sorted by kind and name.
func (d *Directory) Items() []Item {
	items := make([]Item, 0, len(d.items))
	for _, item := range d.items {
		items = append(items, *item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	return items
}

// ItemSet returns the items that are not dropped, as operators sent them.
func (d *Directory) ItemSet() ItemSet {
	set := ItemSet{Routes: []json.RawMessage{}, Services: []json.RawMessage{}}
	for _, item := range d.Items() {
		switch {
		case item.Dropped:
		case item.Key.Kind == KindRoute:
			set.Routes = append(set.Routes, item.Content)
		case item.Key.Kind == KindService:
			set.Services = append(set.Services, item.Content)
		case item.Key.Kind == KindTenant:
			set.Tenants = append(set.Tenants, item.Content)
		default:
			set.Limits = item.Content
		}
	}
	return set
}

// Configured reports whether any item has been stored.
func (d *Directory) Configured() bool { return len(d.items) > 0 }

// Service returns the configuration of a service that is not dropped.
func (d *Directory) Service(name string) (Service, bool) {
	service, found := d.services[name]
	return service, found
}

// KeyedServices returns the keyed services that are not dropped, sorted by name.
func (d *Directory) KeyedServices() []Service {
	var keyed []Service
	for _, service := range d.services {
		if service.Keyed {
			keyed = append(keyed, service)
		}
	}
	slices.SortFunc(keyed, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return keyed
}

// Route decodes the content of an item of kind route.
func (i Item) Route() (Route, error) {
	var route Route
	err := json.Unmarshal(i.Content, &route)
	return route, err
}

// Service decodes the content of an item of kind service.
func (i Item) Service() (Service, error) {
	var service Service
	err := json.Unmarshal(i.Content, &service)
	return service, err
}

// Tenant decodes the content of an item of kind tenant.
func (i Item) Tenant() (Tenant, error) {
	var tenant Tenant
	err := json.Unmarshal(i.Content, &tenant)
	return tenant, err
}

// Limits decodes the content of an item of kind limits.
func (i Item) Limits() (Limits, error) {
	var limits Limits
	err := json.Unmarshal(i.Content, &limits)
	return limits, err
}
