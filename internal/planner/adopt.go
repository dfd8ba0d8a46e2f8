package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// setMode plans a change of a service's mode, which determines who decides about
// ownership: the controllers or the operator's scripts. If the service is observed
// already, setMode plans the import of a newer ownership map.
func (d *draft) setMode(request state.SetMode) error {
	current, err := d.service("set_mode.service", request.Service)
	if err != nil {
		return err
	}
	switch {
	case current.Mode != request.Mode && !isEmptyMap(request.Map):
		return fault.New(fault.InvalidArgument,
			"set_mode.map: the owners stay as they are while the mode changes: leave it out, and import a map afterwards")
	case current.Mode != request.Mode:
		return d.changeMode(current, request.Mode)
	case current.Mode == state.ModeObserved && !isEmptyMap(request.Map):
		return d.importMap(current, request.Map)
	default:
		return fault.Newf(fault.Conflict, "set_mode.mode: service %q is %s already", request.Service, request.Mode)
	}
}

func isEmptyMap(ownership state.OwnershipMap) bool {
	return len(ownership.Ranges) == 0 && len(ownership.Keys) == 0 && ownership.Rest == ""
}

// changeMode plans a change of mode. It requires that every shard has an owner and
// none is moving.
func (d *draft) changeMode(service state.Service, mode state.ServiceMode) error {
	if shard, found := d.view.Unsettled(service.Name); found {
		return fault.Newf(fault.Conflict, "set_mode.service: shard %d of %q is moving or has no owner: wait until status shows all owned", shard, service.Name)
	}
	operation := state.Operation{ChangeMode: &state.ChangeMode{Service: service.Name, Mode: mode, Revision: service.Revision}}
	if mode == state.ModeManaged {
		d.add(operation, "the controllers decide about the ownership of %s; each server gives up its own claims and gets a lease "+
			"for the same keys; the scripts must not claim anything from now on", service.Name)
		d.predictHandover(service.Name)
		return nil
	}
	d.add(operation, "the scripts decide about the ownership of %s; each server claims the keys that it owns now", service.Name)
	d.predictHandover(service.Name)
	return nil
}

// importMap plans that a newer ownership map replaces that of an observed service.
func (d *draft) importMap(service state.Service, imported state.OwnershipMap) error {
	members := make(map[state.ServerID]bool)
	for _, server := range d.view.ServersOf(service.Name) {
		members[server.ID] = true
	}
	before := d.keySpaceShares(service.Name)
	if err := d.addObserveOperation(service, imported, members); err != nil {
		return err
	}
	d.plan.Prediction.ImbalanceBefore = imbalance(before)
	return nil
}

func serverSet(specs []state.ServerSpec) map[state.ServerID]bool {
	members := make(map[state.ServerID]bool, len(specs))
	for _, spec := range specs {
		members[spec.ID] = true
	}
	return members
}

// addObserveOperation adds the operation by which requests are routed according to
// an imported map.
func (d *draft) addObserveOperation(service state.Service, imported state.OwnershipMap, members map[state.ServerID]bool) error {
	if !service.Keyed {
		if !isEmptyMap(imported) {
			return fault.New(fault.InvalidArgument, "map: the service has no keys: leave the map out")
		}
		return nil
	}
	ranges, err := composeMap(imported, members)
	if err != nil {
		return err
	}
	shares := make(map[state.ServerID]float64, len(members))
	for member := range members {
		shares[member] = 0
	}
	for _, owned := range ranges {
		shares[owned.Server] += owned.Range.Width()
	}
	d.plan.Prediction.ImbalanceAfter = imbalance(shares)
	d.add(state.Operation{ObserveRanges: &state.ObserveRanges{Service: service.Name, Ranges: ranges}},
		"requests to %s are routed by the imported map of %d ranges; its owners stay as the scripts decide", service.Name, len(ranges))
	return nil
}

// composeMap returns the owned ranges of a map. They cover the key space in order,
// without gaps or overlaps.
func composeMap(imported state.OwnershipMap, members map[state.ServerID]bool) ([]state.OwnedRange, error) {
	if len(imported.Ranges)+2*len(imported.Keys) > maxShards {
		return nil, fault.Newf(fault.InvalidArgument, "map: %d ranges and %d keys: use at most %d shards a service",
			len(imported.Ranges), len(imported.Keys), maxShards)
	}
	if err := checkOwners(imported, members); err != nil {
		return nil, err
	}
	base, err := fillGaps(imported)
	if err != nil {
		return nil, err
	}
	return splitOffKeys(base, imported.Keys)
}

func checkOwners(imported state.OwnershipMap, members map[state.ServerID]bool) error {
	if imported.Rest != "" && !members[imported.Rest] {
		return unknownOwner("map.rest", imported.Rest)
	}
	for _, owned := range imported.Ranges {
		if !members[owned.Server] {
			return unknownOwner("map.ranges.server", owned.Server)
		}
		if owned.Range.First > owned.Range.Last {
			return fault.Newf(fault.InvalidArgument, "map.ranges.range: %d to %d is empty: give first <= last", owned.Range.First, owned.Range.Last)
		}
	}
	for _, owned := range imported.Keys {
		if !members[owned.Server] {
			return unknownOwner("map.keys.server", owned.Server)
		}
		if err := checkKey(owned.Key); err != nil {
			return fault.Newf(fault.InvalidArgument, "map.keys.key: %d bytes: use 1 to %d bytes", len(owned.Key), maxKeyBytes)
		}
	}
	return nil
}

func unknownOwner(field string, server state.ServerID) error {
	return fault.Newf(fault.InvalidArgument, "%s: %q is no server of the service: add it first", field, server)
}

// fillGaps returns the ranges in order, with the gaps assigned to Rest.
func fillGaps(imported state.OwnershipMap) ([]state.OwnedRange, error) {
	sorted := sortedRanges(imported.Ranges)
	var covering []state.OwnedRange
	next, complete := uint64(0), false
	for _, owned := range sorted {
		if complete || owned.Range.First < next {
			return nil, fault.Newf(fault.InvalidArgument, "map.ranges.range: %d to %d overlaps another: give each hash to one server", owned.Range.First, owned.Range.Last)
		}
		if owned.Range.First > next {
			covering = append(covering, state.OwnedRange{Range: state.KeyRange{First: next, Last: owned.Range.First - 1}, Server: imported.Rest})
		}
		covering = append(covering, owned)
		complete = owned.Range.Last == math.MaxUint64
		next = owned.Range.Last + 1
	}
	if !complete {
		covering = append(covering, state.OwnedRange{Range: state.KeyRange{First: next, Last: math.MaxUint64}, Server: imported.Rest})
	}
	for _, owned := range covering {
		if owned.Server == "" {
			return nil, fault.Newf(fault.InvalidArgument, "map.ranges: no range covers %d to %d: add one, or name the server of all other keys in map.rest",
				owned.Range.First, owned.Range.Last)
		}
	}
	return covering, nil
}

// splitOffKeys splits the hashes of single keys off the ranges that contain them.
func splitOffKeys(base []state.OwnedRange, keys []state.OwnedKey) ([]state.OwnedRange, error) {
	keyRanges, err := singleHashRanges(keys)
	if err != nil {
		return nil, err
	}
	result := make([]state.OwnedRange, 0, len(base)+2*len(keyRanges))
	index := 0
	for _, owned := range base {
		next := owned.Range.First
		hasTail := true
		for ; index < len(keyRanges) && keyRanges[index].Range.First <= owned.Range.Last; index++ {
			hash := keyRanges[index].Range.First
			if hash > next {
				result = append(result, state.OwnedRange{Range: state.KeyRange{First: next, Last: hash - 1}, Server: owned.Server})
			}
			result = append(result, keyRanges[index])
			hasTail = hash < owned.Range.Last
			next = hash + 1
		}
		if hasTail {
			result = append(result, state.OwnedRange{Range: state.KeyRange{First: next, Last: owned.Range.Last}, Server: owned.Server})
		}
	}
	return result, nil
}

// singleHashRanges returns a range for the hash of each key, in order.
func singleHashRanges(keys []state.OwnedKey) ([]state.OwnedRange, error) {
	ranges := make([]state.OwnedRange, 0, len(keys))
	for _, owned := range keys {
		hash := state.HashKey(owned.Key)
		ranges = append(ranges, state.OwnedRange{Range: state.KeyRange{First: hash, Last: hash}, Server: owned.Server})
	}
	ranges = sortedRanges(ranges)
	for index := 1; index < len(ranges); index++ {
		if ranges[index].Range.First == ranges[index-1].Range.First {
			return nil, fault.Newf(fault.InvalidArgument, "map.keys: two keys share the hash %d: list each key once", ranges[index].Range.First)
		}
	}
	return ranges, nil
}

func sortedRanges(ranges []state.OwnedRange) []state.OwnedRange {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b state.OwnedRange) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return sorted
}
