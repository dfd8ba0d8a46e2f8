package directory

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"
)

// RoutingChanges has the changes, after one revision and up to another, of the state that gateways
// route by. Hundreds of gateways get each change over narrow links, so it leaves out what they do
// not need: fences, handovers, and the steps of a move that do not change which instance may serve
// the keys, as none may before and after.
type RoutingChanges struct {
	From      Revision   `msgpack:"f,omitempty"`
	To        Revision   `msgpack:"t"`
	Items     []Item     `msgpack:"i,omitempty"`
	Instances []Instance `msgpack:"n,omitempty"`
	// Times are the packed service times of instances of which nothing else changed.
	Times     []byte           `msgpack:"w,omitempty"`
	Holders   []HoldersChanges `msgpack:"l,omitempty"`
	Zones     []Zone           `msgpack:"z,omitempty"`
	Fleet     *Fleet           `msgpack:"g,omitempty"`
	Throttles []Throttles      `msgpack:"h,omitempty"`
	Suspects  *Suspects        `msgpack:"u,omitempty"`
}

// HoldersChanges has packed ranges of keys of one service, with the instances that get the requests
// for them.
type HoldersChanges struct {
	Service string `msgpack:"s"`
	Packed  []byte `msgpack:"p"`
}

// errRevisionGap reports changes that start at a later revision than that of the directory they are
// merged into.
var errRevisionGap = eris.New("changes of the directory are missing: fetch the whole directory")

// RoutingSince returns the changes after a revision; zero returns everything.
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
	references := d.instanceReferences()
	var times []InstanceTime
	for _, instance := range content.Instances {
		if instance.Revision > after {
			changes.Instances = append(changes.Instances, instance)
		} else {
			times = append(times, InstanceTime{ID: instance.ID, ServiceTime: instance.ServiceTime})
		}
	}
	changes.Times = packTimes(times, references)
	for _, layout := range d.layouts {
		if holdings := layout.routedSince(after); len(holdings) > 0 {
			changes.Holders = append(changes.Holders, HoldersChanges{Service: layout.Service, Packed: packHolders(holdings, references)})
		}
	}
	slices.SortFunc(changes.Holders, func(a, b HoldersChanges) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// routedSince returns the holdings whose requests have been sent to another instance, or to none,
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

// MergeRouting merges changes into the directory of a gateway. After an error the whole directory
// must be fetched again.
func (d *Directory) MergeRouting(changes RoutingChanges) error {
	if changes.From > d.revision {
		return errRevisionGap
	}
	if changes.To <= d.revision {
		return nil
	}
	d.Merge(Content{
		From: changes.From, To: changes.To, Items: changes.Items, Instances: changes.Instances,
		Zones: changes.Zones, Fleet: changes.Fleet, Throttles: changes.Throttles,
		Suspects: changes.Suspects,
	})
	references := d.instanceReferences()
	times, err := unpackTimes(changes.Times, references)
	if err != nil {
		return err
	}
	d.applyTimes(changes.To, times)
	for _, holders := range changes.Holders {
		changed, err := unpackHolders(holders.Packed, references, changes.To)
		if err != nil {
			return err
		}
		d.layouts[holders.Service] = &Layout{
			Service: holders.Service, Holdings: overlay(d.Layout(holders.Service).Holdings, changed), Revision: changes.To,
		}
	}
	return nil
}
