package table

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/state"
)

// removeMoved removes the shards that are deleted or whose range now begins at
// another hash. This is done before any shard is put, since ranges would overlap
// while a split or merge is half applied. Most changes leave the first hash of a
// shard as it is, and new shards have higher IDs than any before, so a search by
// ID is rare. The search costs more than a lookup in an index of the IDs would,
// but such an index would take as much memory as the entries.
func (e *editor) removeMoved(objects []state.Object) {
	wanted := make(map[state.ShardID]struct{})
	for _, object := range objects {
		if object.Shard != nil && object.Shard.ID <= e.next.maxShardID && !e.staysInPlace(object) {
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

// staysInPlace reports whether the shard is in the table, is not deleted and keeps
// the first hash of its range.
func (e *editor) staysInPlace(object state.Object) bool {
	shard := object.Shard
	return !object.Deleted && e.view(shard.Service).ranges.hasShardAt(shard.Range.First, shard.ID)
}

func (e *editor) removeShard(name state.ServiceName, first uint64, shard state.ShardID) {
	removed, found := e.rangesOf(name).remove(first, shard)
	if !found {
		return
	}
	e.next.digest ^= removed.digest
	e.next.shardCount--
}

// applyShard puts a shard. The table's digest covers exactly the entries that
// are in it, so that a shard which overwrites another one causes a digest
// mismatch. Deleted shards are handled by removeMoved.
func (e *editor) applyShard(object state.Object) {
	if object.Deleted {
		return
	}
	item, err := e.newEntry(object)
	if err != nil {
		e.err = err
		return
	}
	replaced, found := e.rangesOf(object.Shard.Service).put(item, object.Shard.Range.Last)
	if found {
		e.next.digest ^= replaced.digest
	} else {
		e.next.shardCount++
	}
	e.next.digest ^= item.digest
	e.next.maxShardID = max(e.next.maxShardID, object.Shard.ID)
}

func (e *editor) newEntry(object state.Object) (entry, error) {
	shard := object.Shard
	owner, ok := e.next.names.number(string(shard.Owner))
	if !ok {
		return entry{}, eris.Wrapf(ErrEntryBounds, "shard %d: owner %q exceeds the limit of %d owner names", shard.ID, shard.Owner, maxOwner)
	}
	if shard.Epoch > maxEpoch {
		return entry{}, eris.Wrapf(ErrEntryBounds, "shard %d: epoch %d exceeds the maximum of %d", shard.ID, shard.Epoch, uint64(maxEpoch))
	}
	return entry{
		first: shard.Range.First, shard: shard.ID, digest: state.ObjectDigest(object),
		packed: pack(shard.Epoch, owner, shard.Phase),
	}, nil
}

// rangesOf returns the edit of a service's shard ranges, which it starts at the
// first call.
func (e *editor) rangesOf(name state.ServiceName) *rangeEdit {
	if ranges, found := e.ranges[name]; found {
		return ranges
	}
	ranges := e.view(name).ranges.edit()
	if e.previous != nil {
		ranges.previous = e.previousRanges(name)
	}
	e.ranges[name] = ranges
	return ranges
}

func (e *editor) previousRanges(name state.ServiceName) *rangeIndex {
	view, found := e.previous.services[name]
	if !found {
		return nil
	}
	return view.ranges
}
