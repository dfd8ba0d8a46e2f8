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

// PutLayout replaces the layout of a service, unless it changed meanwhile.
type PutLayout struct {
	Layout Layout `msgpack:"l"`
	// After is the revision of the layout that this one was made from.
	After Revision `msgpack:"a"`
}

func (d *Directory) applyLayout(revision Revision, command PutLayout) error {
	held := d.Layout(command.Layout.Service)
	if held.Revision != command.After {
		return fault.Newf(fault.Conflict, "the layout of service %q changed meanwhile", command.Layout.Service)
	}
	if err := checkSuccessor(held, command.Layout); err != nil {
		return err
	}
	next := command.Layout
	next.Revision = revision
	d.layouts[next.Service] = &next
	d.revision = revision
	return nil
}

// checkSuccessor refuses a layout that breaks the invariant of fences or does not
// cover all keys once.
func checkSuccessor(held, next Layout) error {
	expected := Key(0)
	for _, holding := range next.Holdings {
		if holding.First != expected || holding.Last < holding.First || holding.Last > MaxKey {
			return fault.Newf(fault.InvalidArgument, "keys %d to %d do not follow key %d", holding.First, holding.Last, expected-1)
		}
		expected = holding.Last + 1
	}
	if expected != MaxKey+1 {
		return fault.Newf(fault.InvalidArgument, "keys from %d on are missing", expected)
	}
	return checkFences(held.Holdings, next.Holdings)
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
