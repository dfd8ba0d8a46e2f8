package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
)

// Directory is not safe for concurrent use. Its objects are replaced and never
// changed, so that a Clone stays as it is.
type Directory struct {
	revision Revision
	items    map[ItemKey]*Item
	// itemsRevision is the revision of the newest change of an item.
	itemsRevision Revision
	// services has the items of the kind service that stand, decoded.
	services map[string]Service
	// tenants has the items of the kind tenant that stand, decoded.
	tenants   map[string]Tenant
	instances map[InstanceID]*Instance
	// ordered has the instances by identifier.
	ordered []*Instance
	// byAddress has the instances that are at each address, or were until they left. The
	// lists are replaced and never changed.
	byAddress map[string][]InstanceID
	// byServer has the lives of each server, in lists of the same kind.
	byServer map[string][]InstanceID
	layouts  map[string]*Layout
	// zones are those that were evacuated at some time, by name.
	zones map[string]*Zone
	// throttles are those of each service with hot keys.
	throttles map[string]*Throttles
	// suspects are the requests under which instances crashed.
	suspects Suspects
	// changes are the newest changes of instances, and gone counts those that left.
	changes changeLog
	gone    int
	// references finds the instances by their references; nil until it is asked for.
	references atomic.Pointer[references]
	// fleet is how many gateways share the instances, zero while it is not known.
	fleet Fleet
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		items:     make(map[ItemKey]*Item),
		services:  make(map[string]Service),
		tenants:   make(map[string]Tenant),
		instances: make(map[InstanceID]*Instance),
		byAddress: make(map[string][]InstanceID),
		byServer:  make(map[string][]InstanceID),
		layouts:   make(map[string]*Layout),
		zones:     make(map[string]*Zone),
		throttles: make(map[string]*Throttles),
	}
}

// Command changes the directory; exactly one field is set.
type Command struct {
	Patch     *Patch     `msgpack:"p,omitempty"`
	Instances []Instance `msgpack:"i,omitempty"`
	Layout    *PutLayout `msgpack:"l,omitempty"`
	// Times are service times that were measured anew.
	Times []InstanceTime `msgpack:"t,omitempty"`
	// Zone is evacuated or restored.
	Zone *Zone `msgpack:"z,omitempty"`
	// Throttles replace those of a service.
	Throttles *Throttles `msgpack:"h,omitempty"`
	// Gateways is how many of them share the instances.
	Gateways int `msgpack:"g,omitempty"`
	// Keepers are the gateways that give out the places of instances.
	Keepers []Keeper `msgpack:"k,omitempty"`
	// Suspects replace those that are known, and Release takes one out of quarantine.
	Suspects *PutSuspects `msgpack:"u,omitempty"`
	Release  *Fingerprint `msgpack:"e,omitempty"`
	// Batch has commands that are applied in their order, each as if it stood alone.
	Batch []Command `msgpack:"b,omitempty"`
}

// Joined returns one command for several; the only one as it is.
func Joined(commands []Command) Command {
	if len(commands) == 1 {
		return commands[0]
	}
	return Command{Batch: commands}
}

// Apply executes the command that stands at a log index. An error means that
// nothing changed, or for a batch, that one of its commands changed nothing.
func (d *Directory) Apply(revision Revision, command Command) error {
	switch {
	case command.Batch != nil:
		return d.applyBatch(revision, command.Batch)
	case command.Patch != nil:
		return d.applyPatch(revision, *command.Patch)
	case command.Layout != nil:
		return d.applyLayout(revision, *command.Layout)
	case command.Times != nil:
		d.applyTimes(revision, command.Times)
		return nil
	case command.Zone != nil:
		return d.applyZone(revision, *command.Zone)
	case command.Throttles != nil:
		d.applyThrottles(revision, *command.Throttles)
		return nil
	case command.Suspects != nil:
		return d.applySuspects(revision, *command.Suspects)
	case command.Release != nil:
		d.applyRelease(revision, *command.Release)
		return nil
	case command.Gateways > 0:
		d.applyGateways(revision, command.Gateways)
		return nil
	case len(command.Keepers) > 0:
		d.applyKeepers(revision, command.Keepers)
		return nil
	default:
		d.applyInstances(revision, command.Instances)
		return nil
	}
}

// applyBatch applies each command, and returns the first error.
func (d *Directory) applyBatch(revision Revision, commands []Command) error {
	var first error
	for _, command := range commands {
		if err := d.Apply(revision, command); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Revision returns the revision of the newest change.
func (d *Directory) Revision() Revision { return d.revision }

// Clone returns a copy that shares the objects.
func (d *Directory) Clone() *Directory {
	clone := &Directory{
		revision:      d.revision,
		items:         maps.Clone(d.items),
		itemsRevision: d.itemsRevision,
		services:      maps.Clone(d.services),
		tenants:       maps.Clone(d.tenants),
		instances:     maps.Clone(d.instances),
		byAddress:     maps.Clone(d.byAddress),
		byServer:      maps.Clone(d.byServer),
		ordered:       slices.Clone(d.ordered),
		layouts:       maps.Clone(d.layouts),
		zones:         maps.Clone(d.zones),
		fleet:         d.fleet,
		throttles:     maps.Clone(d.throttles),
		suspects:      d.suspects,
	}
	clone.changes, clone.gone = d.changes.clone(), d.gone
	return clone
}

// Content is what changed in a directory after one revision, up to another. It is
// also the form in which a whole directory is saved.
type Content struct {
	From      Revision   `msgpack:"f,omitempty"`
	To        Revision   `msgpack:"t"`
	Items     []Item     `msgpack:"i,omitempty"`
	Instances []Instance `msgpack:"n,omitempty"`
	// Layouts have only the holdings that changed.
	Layouts []Layout `msgpack:"l,omitempty"`
	Zones   []Zone   `msgpack:"z,omitempty"`
	Fleet   *Fleet   `msgpack:"g,omitempty"`
	// Throttles are whole lists of services.
	Throttles []Throttles `msgpack:"h,omitempty"`
	// Suspects are all of them.
	Suspects *Suspects `msgpack:"u,omitempty"`
}

// Since returns what changed after a revision; zero gives everything.
func (d *Directory) Since(after Revision) Content {
	changes := d.sinceWithoutLayouts(after)
	for _, layout := range d.layouts {
		if layout.Revision > after {
			changes.Layouts = append(changes.Layouts, layout.since(after))
		}
	}
	slices.SortFunc(changes.Layouts, func(a, b Layout) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// sinceWithoutLayouts returns what changed after a revision but the holders of keys.
func (d *Directory) sinceWithoutLayouts(after Revision) Content {
	changes := Content{From: after, To: d.revision}
	if d.itemsRevision > after {
		changes.Items = slices.DeleteFunc(d.Items(), func(item Item) bool { return item.Revision <= after })
	}
	changes.Instances = d.instancesSince(after)
	for _, zone := range d.Zones() {
		if zone.Revision > after {
			changes.Zones = append(changes.Zones, zone)
		}
	}
	for _, throttles := range d.throttles {
		if throttles.Revision > after {
			changes.Throttles = append(changes.Throttles, *throttles)
		}
	}
	slices.SortFunc(changes.Throttles, func(a, b Throttles) int { return cmp.Compare(a.Service, b.Service) })
	if d.fleet.Revision > after {
		fleet := d.fleet
		changes.Fleet = &fleet
	}
	if d.suspects.Revision > after {
		suspects := d.suspects
		changes.Suspects = &suspects
	}
	return changes
}

// instancesSince returns the instances that changed after a revision, by identifier.
func (d *Directory) instancesSince(after Revision) []Instance {
	var changed []Instance
	ids, known := d.changes.since(after)
	if !known || after == 0 {
		for instance := range d.EachInstance() {
			if instance.changedAt() > after {
				changed = append(changed, instance)
			}
		}
		return changed
	}
	for _, id := range ids {
		if instance, found := d.instances[id]; found && instance.changedAt() > after {
			changed = append(changed, *instance)
		}
	}
	return changed
}

// Take adds changes to the directory. Objects that are not newer than those held
// change nothing, so that changes may come twice.
func (d *Directory) Take(changes Content) {
	for _, item := range changes.Items {
		if held, found := d.items[item.Key]; !found || item.Revision > held.Revision {
			d.putItem(item)
		}
	}
	for _, instance := range changes.Instances {
		if held, found := d.instances[instance.ID]; !found || instance.changedAt() > held.changedAt() {
			d.keepInstance(instance)
		}
	}
	for _, layout := range changes.Layouts {
		if held := d.Layout(layout.Service); layout.Revision > held.Revision {
			layout.Holdings = overlay(held.Holdings, layout.Holdings)
			d.layouts[layout.Service] = &layout
		}
	}
	for _, zone := range changes.Zones {
		if held, found := d.zones[zone.Name]; !found || zone.Revision > held.Revision {
			d.zones[zone.Name] = &zone
		}
	}
	for _, throttles := range changes.Throttles {
		if throttles.Revision > d.Throttles(throttles.Service).Revision {
			d.throttles[throttles.Service] = &throttles
		}
	}
	if changes.Fleet != nil && changes.Fleet.Revision > d.fleet.Revision {
		d.fleet = *changes.Fleet
	}
	if changes.Suspects != nil && changes.Suspects.Revision > d.suspects.Revision {
		d.suspects = *changes.Suspects
	}
	d.revision = max(d.revision, changes.To)
	d.forgetGone()
}
