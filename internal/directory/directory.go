package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
)

// Directory is the replicated routing state. It is not safe for concurrent use. Its objects are
// replaced and never modified, so that a Clone does not change.
type Directory struct {
	revision Revision
	items    map[ItemKey]*Item
	// itemsRevision is the revision of the newest change of an item.
	itemsRevision Revision
	// services has the decoded items of kind service that are not dropped.
	services map[string]Service
	// tenants has the decoded items of kind tenant that are not dropped.
	tenants   map[string]Tenant
	instances map[InstanceID]*Instance
	// sortedInstances has all instances, sorted by identifier.
	sortedInstances []*Instance
	// byAddress has, for each address, the instances that use it or used it until they left. The
	// lists are replaced and never modified.
	byAddress map[string][]InstanceID
	// byServer has the incarnations of each server. Its lists are never modified either.
	byServer map[string][]InstanceID
	layouts  map[string]*Layout
	// zones has the zones that have ever been evacuated, by name.
	zones map[string]*Zone
	// throttles has the throttles of each service with hot keys.
	throttles map[string]*Throttles
	// suspects are the requests that were in flight at instances when these crashed.
	suspects Suspects
	// changes is the log of the newest changes of instances; goneCount is the number of instances
	// in state gone.
	changes   changeLog
	goneCount int
	// references is the index of instances by reference; nil until it is first used.
	references atomic.Pointer[referenceIndex]
	// fleet has the number of gateways and the keepers among them.
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

// Command is a change of the directory; exactly one field is set.
type Command struct {
	Patch     *Patch     `msgpack:"p,omitempty"`
	Instances []Instance `msgpack:"i,omitempty"`
	Layout    *PutLayout `msgpack:"l,omitempty"`
	// Times are new measurements of service times.
	Times []InstanceTime `msgpack:"t,omitempty"`
	// Zone is the zone to evacuate or restore.
	Zone *Zone `msgpack:"z,omitempty"`
	// Throttles replace all throttles of a service.
	Throttles *Throttles `msgpack:"h,omitempty"`
	// Gateways is the number of gateways that share the instances.
	Gateways int `msgpack:"g,omitempty"`
	// Keepers replace the gateways that allocate slots of instances.
	Keepers []Keeper `msgpack:"k,omitempty"`
	// Relays replace the gateways that pass requests on for others.
	Relays []Relay `msgpack:"y,omitempty"`
	// Suspects replace all suspects. Release is the request to release from quarantine.
	Suspects *PutSuspects `msgpack:"u,omitempty"`
	Release  *Fingerprint `msgpack:"e,omitempty"`
	// Batch has commands that are applied in order, each as if it were sent alone.
	Batch []Command `msgpack:"b,omitempty"`
}

// JoinCommands combines commands into one. A single command is returned unchanged.
func JoinCommands(commands []Command) Command {
	if len(commands) == 1 {
		return commands[0]
	}
	return Command{Batch: commands}
}

// Apply executes the command at a log index. An error means that nothing changed or, for a batch,
// that at least one of its commands changed nothing.
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
	case len(command.Relays) > 0:
		d.applyRelays(revision, command.Relays)
		return nil
	default:
		d.applyInstances(revision, command.Instances)
		return nil
	}
}

// applyBatch applies each command, also after one failed, and returns the first error.
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

// Clone returns a copy that shares the objects, which are never modified.
func (d *Directory) Clone() *Directory {
	clone := &Directory{
		revision:        d.revision,
		items:           maps.Clone(d.items),
		itemsRevision:   d.itemsRevision,
		services:        maps.Clone(d.services),
		tenants:         maps.Clone(d.tenants),
		instances:       maps.Clone(d.instances),
		byAddress:       maps.Clone(d.byAddress),
		byServer:        maps.Clone(d.byServer),
		sortedInstances: slices.Clone(d.sortedInstances),
		layouts:         maps.Clone(d.layouts),
		zones:           maps.Clone(d.zones),
		fleet:           d.fleet,
		throttles:       maps.Clone(d.throttles),
		suspects:        d.suspects,
	}
	clone.changes, clone.goneCount = d.changes.clone(), d.goneCount
	return clone
}

// Content has the changes of a directory after one revision, up to another. It is also the form in
// which a whole directory is saved.
type Content struct {
	From      Revision   `msgpack:"f,omitempty"`
	To        Revision   `msgpack:"t"`
	Items     []Item     `msgpack:"i,omitempty"`
	Instances []Instance `msgpack:"n,omitempty"`
	// Layouts have only the holdings that changed.
	Layouts []Layout `msgpack:"l,omitempty"`
	Zones   []Zone   `msgpack:"z,omitempty"`
	Fleet   *Fleet   `msgpack:"g,omitempty"`
	// Throttles are complete: each has all throttles of its service.
	Throttles []Throttles `msgpack:"h,omitempty"`
	// Suspects is the complete list; nil if it did not change.
	Suspects *Suspects `msgpack:"u,omitempty"`
}

// Since returns the changes after a revision; zero returns everything.
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

// sinceWithoutLayouts returns the changes after a revision, without the owners of keys.
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

// instancesSince returns the instances that changed after a revision, sorted by identifier.
func (d *Directory) instancesSince(after Revision) []Instance {
	var changed []Instance
	ids, complete := d.changes.since(after)
	if !complete || after == 0 {
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

// Merge merges changes into the directory. Objects that are not newer than the current ones are
// ignored, so that the same changes may arrive twice.
func (d *Directory) Merge(changes Content) {
	for _, item := range changes.Items {
		if current, found := d.items[item.Key]; !found || item.Revision > current.Revision {
			d.putItem(item)
		}
	}
	for _, instance := range changes.Instances {
		if current, found := d.instances[instance.ID]; !found || instance.changedAt() > current.changedAt() {
			d.storeInstance(instance)
		}
	}
	for _, layout := range changes.Layouts {
		if current := d.Layout(layout.Service); layout.Revision > current.Revision {
			layout.Holdings = overlay(current.Holdings, layout.Holdings)
			d.layouts[layout.Service] = &layout
		}
	}
	for _, zone := range changes.Zones {
		if current, found := d.zones[zone.Name]; !found || zone.Revision > current.Revision {
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
	d.pruneGoneInstances()
}
