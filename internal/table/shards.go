package table

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/state"
)

// removeMoved removes shards that are deleted or begin elsewhere now, since a
// split or merge lets ranges overlap halfway through. Most changes leave a shard
// where it begins, and new shards have higher identifiers than any before, so
// that the shards are rarely searched by identifier. That costs more than an
// index of them would, but the index would take as much memory as the entries.
func (e *editor) removeMoved(objects []state.Object) {
	wanted := make(map[state.ShardID]struct{})
	for _, object := range objects {
		if object.Shard != nil && object.Shard.ID <= e.next.newest && !e.staysInPlace(object) {
			wanted[object.Shard.ID] = struct{}{}
		}
	}
	if len(wanted) == 0 {
		return
	}
	for name, view := range e.next.services {
		view.ranges.find(wanted, func(first uint64, shard state.ShardID) { e.removeShard(name, first, shard) })
	}
}

// staysInPlace reports whether the shard is in the table and begins where it
// did.
func (e *editor) staysInPlace(object state.Object) bool {
	shard := object.Shard
	return !object.Deleted && e.view(shard.Service).ranges.holds(shard.Range.First, shard.ID)
}

func (e *editor) removeShard(name state.ServiceName, first uint64, shard state.ShardID) {
	removed, found := e.rangesOf(name).remove(first, shard)
	if !found {
		return
	}
	e.next.digest ^= removed.digest
	e.next.shards--
}

// applyShard puts a shard. The table's digest covers exactly the entries that
// are in it, so that a shard which displaces another one is noticed.
func (e *editor) applyShard(object state.Object) {
	if object.Deleted {
		return
	}
	item, err := e.entryOf(object)
	if err != nil {
		e.err = err
		return
	}
	replaced, found := e.rangesOf(object.Shard.Service).put(item, object.Shard.Range.Last)
	if found {
		e.next.digest ^= replaced.digest
	} else {
		e.next.shards++
	}
	e.next.digest ^= item.digest
	e.next.newest = max(e.next.newest, object.Shard.ID)
}

func (e *editor) entryOf(object state.Object) (entry, error) {
	shard := object.Shard
	owner, numbered := e.next.names.number(string(shard.Owner))
	if !numbered {
		return entry{}, eris.Wrapf(ErrEntryBounds, "shard %d: owner %q is one of more than %d", shard.ID, shard.Owner, maxOwner)
	}
	if shard.Epoch > maxEpoch {
		return entry{}, eris.Wrapf(ErrEntryBounds, "shard %d: epoch %d is above %d", shard.ID, shard.Epoch, uint64(maxEpoch))
	}
	return entry{
		first: shard.Range.First, shard: shard.ID, digest: state.ObjectDigest(object),
		packed: pack(shard.Epoch, owner, shard.Phase),
	}, nil
}

// rangesOf returns the edit of a service's shards.
func (e *editor) rangesOf(name state.ServiceName) *rangeEdit {
	if ranges, found := e.ranges[name]; found {
		return ranges
	}
	ranges := e.view(name).ranges.edit()
	if e.former != nil {
		ranges.former = e.formerRanges(name)
	}
	e.ranges[name] = ranges
	return ranges
}

func (e *editor) formerRanges(name state.ServiceName) *rangeIndex {
	view, found := e.former.services[name]
	if !found {
		return nil
	}
	return view.ranges
}
