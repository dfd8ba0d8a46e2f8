package placement

import (
	"github.com/thorntiller/thorntiller/internal/state"
)

// transfer changes the owner of a shard within a decision.
func (l *Layout) transfer(position int, to *host) {
	shard := &l.records[position]
	if from := l.hosts[shard.Owner]; from != nil {
		l.updateHost(from, func() { from.removeShardLoad(position, shard.Load) })
	}
	shard.Owner = to.ID
	l.updateHost(to, func() { to.addShard(position, shard.Load) })
}

// isolate splits the busiest key off a shard and returns the position of the new
// shard.
func (l *Layout) isolate(position int) int {
	child := l.records[position]
	child.Range = state.KeyRange{First: child.HotHash, Last: child.HotHash}
	child.Load *= child.HotShare
	child.pinned = true
	l.records[position].Load -= child.Load
	l.records[position].pinned = true
	l.records = append(l.records, child)
	keyPosition := len(l.records) - 1
	owner := l.hosts[child.Owner]
	l.updateHost(owner, func() { owner.shards = append(owner.shards, keyPosition) })
	return keyPosition
}

// undoIsolate undoes the last isolate. The parameter position is the shard that the
// key was split off, and load its load before.
func (l *Layout) undoIsolate(position int, load float64) {
	last := len(l.records) - 1
	owner := l.hosts[l.records[last].Owner]
	l.updateHost(owner, func() { owner.removeShard(last) })
	l.records = l.records[:last]
	l.records[position].Load = load
	l.records[position].pinned = false
}
