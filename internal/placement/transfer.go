package placement

import (
	"github.com/thorntiller/thorntiller/internal/state"
)

// transfer gives a shard another owner within a decision.
func (l *Layout) transfer(position int, to *host) {
	shard := &l.records[position]
	if from := l.hosts[shard.Owner]; from != nil {
		l.change(from, func() { from.remove(position, shard.Load) })
	}
	shard.Owner = to.ID
	l.change(to, func() { to.add(position, shard.Load) })
}

// isolate splits the hot key off a shard and returns the position of the part.
func (l *Layout) isolate(position int) int {
	child := l.records[position]
	child.Range = state.KeyRange{First: child.HotHash, Last: child.HotHash}
	child.Load *= child.HotShare
	child.pinned = true
	l.records[position].Load -= child.Load
	l.records[position].pinned = true
	l.records = append(l.records, child)
	created := len(l.records) - 1
	owner := l.hosts[child.Owner]
	l.change(owner, func() { owner.shards = append(owner.shards, created) })
	return created
}

// rejoin undoes isolate for the part that was created last.
func (l *Layout) rejoin(position int, load float64) {
	last := len(l.records) - 1
	owner := l.hosts[l.records[last].Owner]
	l.change(owner, func() { owner.drop(last) })
	l.records = l.records[:last]
	l.records[position].Load = load
	l.records[position].pinned = false
}
