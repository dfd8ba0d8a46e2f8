package directory

import (
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Key is a key of a keyed service, a number from 0 to MaxKey.
type Key int

// MaxKey is the highest key.
const MaxKey Key = 65535

// Fence is the fencing token of a key. It increases whenever the key gets an owner.
type Fence uint64

// Holding is a range of keys of one service with its owner.
type Holding struct {
	First Key   `msgpack:"f"`
	Last  Key   `msgpack:"l"`
	Fence Fence `msgpack:"e"`
	// Owner is the instance that may serve the keys; empty for none.
	Owner InstanceID `msgpack:"o,omitempty"`
	// Revoked is true while the keys are taken from the owner, which may serve them until it
	// confirms their release or its lease ends.
	Revoked bool `msgpack:"v,omitempty"`
	// Granted is true once the owner was told that it holds the keys.
	Granted bool `msgpack:"g,omitempty"`
	// GrantSequence is the number of the last heartbeat of the owner that did not list the keys and was answered with
	// them, so that later heartbeats alone tell whether it has released them; zero if that is not known.
	GrantSequence uint64 `msgpack:"q,omitempty"`
	// Handover is the token that the last owner passes to the next one; empty for none.
	Handover string `msgpack:"h,omitempty"`
	// Revision is that of the last change; a part that is split off keeps it.
	Revision Revision `msgpack:"r,omitempty"`
	// Routed is the revision of the last change of the instance that gets the requests for the
	// keys; zero if it is equal to Revision.
	Routed Revision `msgpack:"u,omitempty"`
}

// routable reports whether requests for the keys are sent to their owner.
func (h Holding) routable() bool { return h.Owner != "" && h.Granted && !h.Revoked }

// routesLike reports whether requests for the keys of both holdings are sent to the same instance,
// or to none.
func (h Holding) routesLike(other Holding) bool {
	return h.routable() == other.routable() && (!h.routable() || h.Owner == other.Owner)
}

func (h Holding) routedAt() Revision {
	if h.Routed > 0 {
		return h.Routed
	}
	return h.Revision
}

// Same reports whether two holdings are equal, apart from their keys and revisions.
func (h Holding) Same(other Holding) bool {
	other.First, other.Last, other.Revision, other.Routed = h.First, h.Last, h.Revision, h.Routed
	return h == other
}

// Width returns the number of keys.
func (h Holding) Width() int { return int(h.Last-h.First) + 1 }

// Contains reports whether a key lies in the range.
func (h Holding) Contains(key Key) bool { return h.First <= key && key <= h.Last }

// Layout is the assignment of the keys of one service. The holdings cover all keys in order without
// a gap, or there are none.
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

// PutLayout changes holdings of a service, unless its layout has changed in the meantime.
type PutLayout struct {
	Service string `msgpack:"s"`
	// After is the revision of the layout on which the changes are based.
	After Revision `msgpack:"a"`
	// Changed are the new holdings, sorted by key. They replace whatever covers their keys; the
	// first layout of a service covers all keys.
	Changed []Holding `msgpack:"c"`
}

func (d *Directory) applyLayout(revision Revision, command PutLayout) error {
	current := d.Layout(command.Service)
	if current.Revision != command.After {
		return fault.Newf(fault.Conflict, "the layout of service %q changed meanwhile", command.Service)
	}
	if err := checkOrder(command.Changed); err != nil {
		return err
	}
	if err := checkFences(current.Holdings, command.Changed); err != nil {
		return err
	}
	changed := slices.Clone(command.Changed)
	for index := range changed {
		changed[index].Revision = revision
	}
	setRoutedRevisions(current.Holdings, changed, revision)
	next := Layout{Service: command.Service, Holdings: overlay(current.Holdings, changed), Revision: revision}
	if err := checkCoverage(next.Holdings); err != nil {
		return err
	}
	d.layouts[next.Service] = &next
	d.revision = revision
	return nil
}

// setRoutedRevisions sets, for each changed holding, the revision of the last change of the
// instance that gets the requests for its keys. Both lists are sorted by key.
func setRoutedRevisions(current, changed []Holding, revision Revision) {
	position := 0
	for index := range changed {
		holding := &changed[index]
		for position < len(current) && current[position].Last < holding.First {
			position++
		}
		holding.Routed = 0
		for next := position; next < len(current) && current[next].First <= holding.Last; next++ {
			if !holding.routesLike(current[next]) {
				holding.Routed = revision
				break
			}
			holding.Routed = max(holding.Routed, current[next].routedAt())
		}
		if holding.Routed == 0 {
			holding.Routed = revision
		}
	}
}

// checkOrder rejects changes that are not valid, disjoint ranges in ascending order.
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

// checkCoverage rejects a layout that does not cover all keys exactly once.
func checkCoverage(holdings []Holding) error {
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

// overlay returns base with the changed holdings in place of whatever covered their keys. Both
// lists are sorted by key.
func overlay(base, changed []Holding) []Holding {
	result := make([]Holding, 0, len(base)+len(changed))
	nextChanged := 0
	for _, holding := range base {
		for holding.First <= holding.Last {
			for nextChanged < len(changed) && changed[nextChanged].Last < holding.First {
				result = append(result, changed[nextChanged])
				nextChanged++
			}
			if nextChanged == len(changed) || changed[nextChanged].First > holding.Last {
				result = append(result, holding)
				break
			}
			if holding.First < changed[nextChanged].First {
				part := holding
				part.Last = changed[nextChanged].First - 1
				result = append(result, part)
			}
			holding.First = changed[nextChanged].Last + 1
		}
	}
	return append(result, changed[nextChanged:]...)
}

func checkFences(current, next []Holding) error {
	position := 0
	for _, earlier := range current {
		for position < len(next) && next[position].Last < earlier.First {
			position++
		}
		for index := position; index < len(next) && next[index].First <= earlier.Last; index++ {
			if !validSuccessor(earlier, next[index]) {
				return fault.Newf(fault.InvalidArgument, "keys %d to %d: fence %d of %q may not follow fence %d of %q",
					next[index].First, next[index].Last, next[index].Fence, next[index].Owner, earlier.Fence, earlier.Owner)
			}
		}
	}
	return nil
}

// validSuccessor reports whether next may replace earlier for a key. The fence may stay equal only
// if the owner does not change or is removed; a revoked key is not given back to its owner with the
// same fence.
func validSuccessor(earlier, next Holding) bool {
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

// Layout returns the layout of a service, without holdings if it has none.
func (d *Directory) Layout(service string) Layout {
	layout, found := d.layouts[service]
	if !found {
		return Layout{Service: service}
	}
	return *layout
}
