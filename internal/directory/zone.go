package directory

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Zone is what operators ask of a zone. The directory remembers zones that were
// evacuated at some time.
type Zone struct {
	Name string `msgpack:"n"`
	// Evacuated zones get no requests, and their instances hold no keys.
	Evacuated bool     `msgpack:"e,omitempty"`
	Revision  Revision `msgpack:"r"`
}

// maxZoneName bounds the name of a zone in bytes, and maxZones the zones that are
// remembered: operators name them, so that neither may grow without bound.
const (
	maxZoneName = 63
	maxZones    = 1024
)

// CheckZone refuses a change of a zone that cannot be applied. A zone is known if its
// name is among those given or an instance has announced itself there. The error is of
// the kind invalid_argument or not_found.
func (d *Directory) CheckZone(zone Zone, names []string) error {
	switch {
	case zone.Name == "" || len(zone.Name) > maxZoneName:
		return fault.Newf(fault.InvalidArgument, "zone: %.80q has %d bytes: give a name of 1 to %d bytes", zone.Name, len(zone.Name), maxZoneName)
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

// Evacuated reports whether a zone gets no requests.
func (d *Directory) Evacuated(zone string) bool {
	held, found := d.zones[zone]
	return found && held.Evacuated
}

// Zones returns the zones that were evacuated at some time, by name.
func (d *Directory) Zones() []Zone {
	zones := make([]Zone, 0, len(d.zones))
	for _, zone := range d.zones {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// applyZone evacuates or restores a zone. One that is so already stays as it is, so that
// the same order may come again.
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

// assumeCold takes the instances of a restored zone for cold until their next heartbeats:
// they may have turned cold since the last ones.
func (d *Directory) assumeCold(revision Revision, zone string) {
	for instance := range d.EachInstance() {
		service, found := d.services[instance.Service]
		if instance.Zone != zone || !instance.Serving() || !found || !service.LimitsCold() {
			continue
		}
		instance.WarmUp = service.WarmUpTime()
		instance.ColdSince = revision
		d.putInstance(revision, instance)
	}
}
