package directory

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Zone is the state that operators requested for a zone. The directory keeps zones that have ever
// been evacuated.
type Zone struct {
	Name string `msgpack:"n"`
	// Evacuated zones get no requests, and their instances hold no keys.
	Evacuated bool     `msgpack:"e,omitempty"`
	Revision  Revision `msgpack:"r"`
}

// maxZoneNameBytes bounds the length of a zone name, and maxZones the number of zones that are
// kept: operators choose the names, so neither may grow without bound.
const (
	maxZoneNameBytes = 63
	maxZones         = 1024
)

// CheckZone rejects a change of a zone that cannot be applied. A zone is known if it was evacuated
// before, its name is in names, or an instance announced itself there. The error is of kind
// invalid_argument or not_found.
func (d *Directory) CheckZone(zone Zone, names []string) error {
	switch {
	case zone.Name == "" || len(zone.Name) > maxZoneNameBytes:
		return fault.Newf(fault.InvalidArgument, "zone: %.80q has %d bytes: give a name of 1 to %d bytes", zone.Name, len(zone.Name), maxZoneNameBytes)
	case d.zones[zone.Name] != nil || slices.Contains(names, zone.Name) || d.hasInstanceIn(zone.Name):
		return nil
	default:
		return fault.Newf(fault.NotFound, "zone: %q is not known: name a zone of the settings, or one in which an instance has announced itself", zone.Name)
	}
}

func (d *Directory) hasInstanceIn(zone string) bool {
	for instance := range d.EachInstance() {
		if instance.Zone == zone {
			return true
		}
	}
	return false
}

// Evacuated reports whether a zone is evacuated.
func (d *Directory) Evacuated(zone string) bool {
	current, found := d.zones[zone]
	return found && current.Evacuated
}

// Zones returns the zones that have ever been evacuated, sorted by name.
func (d *Directory) Zones() []Zone {
	zones := make([]Zone, 0, len(d.zones))
	for _, zone := range d.zones {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// applyZone evacuates or restores a zone. It has no effect if the zone already is in that state, so
// the command may be repeated.
func (d *Directory) applyZone(revision Revision, zone Zone) error {
	if d.Evacuated(zone.Name) == zone.Evacuated {
		return nil
	}
	if len(d.zones) >= maxZones && d.zones[zone.Name] == nil {
		return fault.Newf(fault.InvalidArgument, "zone: %d zones were evacuated before: restore one of them instead", len(d.zones))
	}
	zone.Revision = revision
	d.zones[zone.Name] = &zone
	d.revision = revision
	if !zone.Evacuated {
		d.assumeCold(revision, zone.Name)
	}
	return nil
}

// assumeCold marks the instances of a restored zone as cold until their next heartbeats: they may
// have become cold since the last ones.
func (d *Directory) assumeCold(revision Revision, zone string) {
	for instance := range d.EachInstance() {
		service, found := d.services[instance.Service]
		if instance.Zone != zone || !instance.Serving() || !found || !service.LimitsCold() {
			continue
		}
		instance.WarmUp = service.WarmUpTime()
		instance.ColdSince = revision
		d.updateInstance(revision, instance)
	}
}
