package directory

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

// RoutingChanges is what changed after one revision, up to another, of what gateways route
// by. Hundreds of gateways get each change over links that are narrow, so that it leaves out
// what they have no use for: fences, handovers, and steps of a move during which nobody may
// serve the keys before as after.
type RoutingChanges struct {
	From      Revision   `msgpack:"f,omitempty"`
	To        Revision   `msgpack:"t"`
	Items     []Item     `msgpack:"i,omitempty"`
	Instances []Instance `msgpack:"n,omitempty"`
	// Times are packed service times of instances of which nothing else changed.
	Times     []byte           `msgpack:"w,omitempty"`
	Holders   []HoldersChanges `msgpack:"l,omitempty"`
	Zones     []Zone           `msgpack:"z,omitempty"`
	Fleet     *Fleet           `msgpack:"g,omitempty"`
	Throttles []Throttles      `msgpack:"h,omitempty"`
	Suspects  *Suspects        `msgpack:"u,omitempty"`
}

// HoldersChanges are ranges of keys of one service, packed, with the instances that requests
// for them go to.
type HoldersChanges struct {
	Service string `msgpack:"s"`
	Packed  []byte `msgpack:"p"`
}

// errRevisionGap is the error of changes that follow a later state than the one they are
// added to.
var errRevisionGap = eris.New("changes of the directory are missing: fetch the whole directory")

// RoutingSince returns what changed after a revision; zero gives everything.
func (d *Directory) RoutingSince(after Revision) RoutingChanges {
	content := d.sinceWithoutLayouts(after)
	changes := RoutingChanges{
		From: content.From, To: content.To, Items: itemsForGateways(content.Items),
		Zones: content.Zones, Fleet: content.Fleet, Throttles: content.Throttles,
	}
	if content.Suspects != nil {
		suspects := content.Suspects.ForSenders()
		changes.Suspects = &suspects
	}
	known := d.knownReferences()
	var times []InstanceTime
	for _, instance := range content.Instances {
		if instance.Revision > after {
			changes.Instances = append(changes.Instances, instance)
		} else {
			times = append(times, InstanceTime{ID: instance.ID, ServiceTime: instance.ServiceTime})
		}
	}
	changes.Times = packTimes(times, known)
	for _, layout := range d.layouts {
		if holdings := layout.routedSince(after); len(holdings) > 0 {
			changes.Holders = append(changes.Holders, HoldersChanges{Service: layout.Service, Packed: packHolders(holdings, known)})
		}
	}
	slices.SortFunc(changes.Holders, func(a, b HoldersChanges) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// routedSince returns the holdings whose keys are served by another instance, or by none,
// since a revision.
func (l *Layout) routedSince(after Revision) []Holding {
	var changed []Holding
	for _, holding := range l.Holdings {
		if holding.routedAt() > after {
			changed = append(changed, holding)
		}
	}
	return changed
}

// TakeRouting adds changes to the directory of a gateway. After an error the directory is
// to be fetched anew.
func (d *Directory) TakeRouting(changes RoutingChanges) error {
	if changes.From > d.revision {
		return errRevisionGap
	}
	if changes.To <= d.revision {
		return nil
	}
	d.Take(Content{
		From: changes.From, To: changes.To, Items: changes.Items, Instances: changes.Instances,
		Zones: changes.Zones, Fleet: changes.Fleet, Throttles: changes.Throttles,
		Suspects: changes.Suspects,
	})
	known := d.knownReferences()
	times, err := unpackTimes(changes.Times, known)
	if err != nil {
		return err
	}
	d.applyTimes(changes.To, times)
	for _, holders := range changes.Holders {
		changed, err := unpackHolders(holders.Packed, known, changes.To)
		if err != nil {
			return err
		}
		d.layouts[holders.Service] = &Layout{
			Service: holders.Service, Holdings: overlay(d.Layout(holders.Service).Holdings, changed), Revision: changes.To,
		}
	}
	return nil
}
