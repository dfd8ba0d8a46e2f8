package directory

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Key is a key of a keyed service: a number in order.
type Key int

// MaxKey is the highest key.
const MaxKey Key = 65535

// Fence is a fencing token of keys. It rises whenever a key gets an owner.
type Fence uint64

// Holding is a range of keys of one service with its owner.
type Holding struct {
	First Key   `msgpack:"f"`
	Last  Key   `msgpack:"l"`
	Fence Fence `msgpack:"e"`
	// Owner may hold the keys; empty while nobody may.
	Owner InstanceID `msgpack:"o,omitempty"`
	// Revoked keys are being taken from the owner, which may still hold them until
	// it says that it does not, or until its lease has ended.
	Revoked bool `msgpack:"v,omitempty"`
	// Granted is true once the owner was told that it holds the keys.
	Granted bool `msgpack:"g,omitempty"`
	// Handover is what the last holder left for the next one; empty for nothing.
	Handover string `msgpack:"h,omitempty"`
	// Revision is that of the last change; a part that was cut off keeps it.
	Revision Revision `msgpack:"r,omitempty"`
	// Routed is the revision at which the instance that requests for the keys go to changed
	// last; zero for that of Revision.
	Routed Revision `msgpack:"u,omitempty"`
}

// routable reports whether requests for the keys go to their owner.
func (h Holding) routable() bool { return h.Owner != "" && h.Granted && !h.Revoked }

// routesAs reports whether requests for the keys of two holdings go to the same instance, or
// to none.
func (h Holding) routesAs(other Holding) bool {
	return h.routable() == other.routable() && (!h.routable() || h.Owner == other.Owner)
}

func (h Holding) routedAt() Revision {
	if h.Routed > 0 {
		return h.Routed
	}
	return h.Revision
}

// Same reports whether two holdings say the same of their keys.
func (h Holding) Same(other Holding) bool {
	other.First, other.Last, other.Revision, other.Routed = h.First, h.Last, h.Revision, h.Routed
	return h == other
}

// Width returns the number of keys.
func (h Holding) Width() int { return int(h.Last-h.First) + 1 }

// Contains reports whether a key lies in the range.
func (h Holding) Contains(key Key) bool { return h.First <= key && key <= h.Last }

// Layout is how the keys of one service are held. The holdings cover all keys in
// order without a gap, or there are none.
type Layout struct {
	Service  string    `msgpack:"s"`
	Holdings []Holding `msgpack:"h"`
	Revision Revision  `msgpack:"r"`
}

// since returns the layout with only the holdings that changed after a revision.
func (l Layout) since(after Revision) Layout {
	changed := Layout{Service: l.Service, Revision: l.Revision}
	for _, holding := range l.Holdings {
		if holding.Revision > after {
			changed.Holdings = append(changed.Holdings, holding)
		}
	}
	return changed
}

// At returns the holding that a key lies in.
func (l Layout) At(key Key) (Holding, bool) {
	position, _ := slices.BinarySearchFunc(l.Holdings, key, func(holding Holding, key Key) int {
		return int(holding.Last) - int(key)
	})
	if position >= len(l.Holdings) || !l.Holdings[position].Contains(key) {
		return Holding{}, false
	}
	return l.Holdings[position], true
}

// PutLayout changes holdings of a service, unless its layout changed meanwhile.
type PutLayout struct {
	Service string `msgpack:"s"`
	// After is the revision of the layout that the changes were made for.
	After Revision `msgpack:"a"`
	// Changed are the holdings that changed, in the order of their keys. They take the
	// place of whatever covers their keys; a first layout covers all keys.
	Changed []Holding `msgpack:"c"`
}

func (d *Directory) applyLayout(revision Revision, command PutLayout) error {
	held := d.Layout(command.Service)
	if held.Revision != command.After {
		return fault.Newf(fault.Conflict, "the layout of service %q changed meanwhile", command.Service)
	}
	if err := checkOrder(command.Changed); err != nil {
		return err
	}
	if err := checkFences(held.Holdings, command.Changed); err != nil {
		return err
	}
	changed := slices.Clone(command.Changed)
	for index := range changed {
		changed[index].Revision = revision
	}
	markRouted(held.Holdings, changed, revision)
	next := Layout{Service: command.Service, Holdings: overlay(held.Holdings, changed), Revision: revision}
	if err := checkWhole(next.Holdings); err != nil {
		return err
	}
	d.layouts[next.Service] = &next
	d.revision = revision
	return nil
}

// markRouted notes of each changed holding when the instance that requests for its keys go
// to changed last. Both lists are in the order of their keys.
func markRouted(held, changed []Holding, revision Revision) {
	position := 0
	for index := range changed {
		holding := &changed[index]
		for position < len(held) && held[position].Last < holding.First {
			position++
		}
		holding.Routed = 0
		for next := position; next < len(held) && held[next].First <= holding.Last; next++ {
			if !holding.routesAs(held[next]) {
				holding.Routed = revision
				break
			}
			holding.Routed = max(holding.Routed, held[next].routedAt())
		}
		if holding.Routed == 0 {
			holding.Routed = revision
		}
	}
}

// checkOrder refuses changes that are no ranges of keys in order.
func checkOrder(changed []Holding) error {
	next := Key(0)
	for _, holding := range changed {
		if holding.First < next || holding.Last < holding.First || holding.Last > MaxKey {
			return fault.Newf(fault.InvalidArgument, "keys %d to %d are no range after key %d", holding.First, holding.Last, next-1)
		}
		next = holding.Last + 1
	}
	return nil
}

// checkWhole refuses a layout that does not cover all keys once.
func checkWhole(holdings []Holding) error {
	next := Key(0)
	for _, holding := range holdings {
		if holding.First != next {
			return fault.Newf(fault.InvalidArgument, "keys %d to %d are missing", next, holding.First-1)
		}
		next = holding.Last + 1
	}
	if next != MaxKey+1 {
		return fault.Newf(fault.InvalidArgument, "keys from %d on are missing", next)
	}
	return nil
}

// overlay returns holdings in which the changed ones have taken the place of what
// covered their keys. Both are in the order of their keys.
func overlay(base, changed []Holding) []Holding {
	result := make([]Holding, 0, len(base)+len(changed))
	next := 0
	for _, holding := range base {
		for holding.First <= holding.Last {
			for next < len(changed) && changed[next].Last < holding.First {
				result = append(result, changed[next])
				next++
			}
			if next == len(changed) || changed[next].First > holding.Last {
				result = append(result, holding)
				break
			}
			if holding.First < changed[next].First {
				part := holding
				part.Last = changed[next].First - 1
				result = append(result, part)
			}
			holding.First = changed[next].Last + 1
		}
	}
	return append(result, changed[next:]...)
}

func checkFences(held, next []Holding) error {
	position := 0
	for _, earlier := range held {
		for position < len(next) && next[position].Last < earlier.First {
			position++
		}
		for index := position; index < len(next) && next[index].First <= earlier.Last; index++ {
			if !mayFollow(earlier, next[index]) {
				return fault.Newf(fault.InvalidArgument, "keys %d to %d: fence %d of %q may not follow fence %d of %q",
					next[index].First, next[index].Last, next[index].Fence, next[index].Owner, earlier.Fence, earlier.Owner)
			}
		}
	}
	return nil
}

// mayFollow reports whether a key may pass from one holding to the next. Without a
// change of owner the fence may stay; keys that are being taken away are not given
// back under the same fence.
func mayFollow(earlier, next Holding) bool {
	switch {
	case next.Fence > earlier.Fence:
		return true
	case next.Fence < earlier.Fence:
		return false
	case next.Owner == "":
		return true
	default:
		return next.Owner == earlier.Owner && (next.Revoked || !earlier.Revoked)
	}
}

// Layout returns the layout of a service; one without holdings if it has none.
func (d *Directory) Layout(service string) Layout {
	layout, found := d.layouts[service]
	if !found {
		return Layout{Service: service}
	}
	return *layout
}
