package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// noServer stands for no owner.
const noServer = -1

// shard is one shard of the model.
type shard struct {
	id     int
	parent int
	keys   state.KeyRange
	owner  int
	// source and target are those of the handover under way, if any.
	moving         bool
	source, target int
	unownedSince   time.Duration
	// waiting holds requests until there is an owner.
	waiting []request
}

// ownership is the shards of the service and what their changes cost.
type ownership struct {
	// shards are by identifier; merged ones are nil. ordered is by range.
	shards  []*shard
	ordered []*shard
	hashes  []uint64
	// shardOf finds a key's shard.
	shardOf []*shard
	// churn is the share of the key space that changed owner; unavailable is
	// share × time without an owner.
	churn       float64
	unavailable time.Duration
	moves       int
}

func newOwnership(hashes []uint64, count int) *ownership {
	o := &ownership{hashes: hashes, shardOf: make([]*shard, len(hashes))}
	step := ^uint64(0)/uint64(count) + 1
	for number := range uint64(count) {
		keys := state.KeyRange{First: number * step, Last: (number+1)*step - 1}
		if number == uint64(count)-1 {
			keys.Last = ^uint64(0)
		}
		o.create(keys, noServer, noServer)
	}
	o.index(o.ordered...)
	return o
}

func (o *ownership) create(keys state.KeyRange, owner, parent int) *shard {
	created := &shard{id: len(o.shards), parent: parent, keys: keys, owner: owner, target: noServer, source: noServer}
	o.shards = append(o.shards, created)
	place, _ := slices.BinarySearchFunc(o.ordered, keys.First, func(other *shard, first uint64) int {
		return cmp.Compare(other.keys.First, first)
	})
	o.ordered = slices.Insert(o.ordered, place, created)
	return created
}

// index notes the shard of each key in the given shards.
func (o *ownership) index(changed ...*shard) {
	for key, hash := range o.hashes {
		if len(changed) > 3 {
			place, _ := slices.BinarySearchFunc(o.ordered, hash, func(other *shard, hash uint64) int {
				return cmp.Compare(other.keys.Last, hash)
			})
			o.shardOf[key] = o.ordered[place]
			continue
		}
		for _, option := range changed {
			if option.keys.Contains(hash) {
				o.shardOf[key] = option
			}
		}
	}
}

// cut splits a part off a shard and returns it. The parts keep the owner.
func (o *ownership) cut(from *shard, part state.KeyRange) *shard {
	whole := from.keys
	if whole == part {
		return from
	}
	changed := []*shard{from}
	if whole.First < part.First {
		from.keys.Last = part.First - 1
		if part.Last < whole.Last {
			changed = append(changed, o.create(state.KeyRange{First: part.Last + 1, Last: whole.Last}, from.owner, from.id))
		}
	} else {
		from.keys.First = part.Last + 1
	}
	created := o.create(part, from.owner, from.id)
	slices.SortFunc(o.ordered, func(a, b *shard) int { return cmp.Compare(a.keys.First, b.keys.First) })
	o.index(append(changed, created)...)
	return created
}

// join merges two neighbours with the same owner.
func (o *ownership) join(first, second *shard) {
	first.keys.Last = second.keys.Last
	place := slices.Index(o.ordered, second)
	o.ordered = slices.Delete(o.ordered, place, place+1)
	o.shards[second.id] = nil
	o.index(first)
}

// disown takes the owner away.
func (o *ownership) disown(now time.Duration, known *shard) {
	if known.owner != noServer {
		known.unownedSince = now
	}
	known.owner = noServer
}

// give sets the owner and counts what the change cost.
func (o *ownership) give(now time.Duration, known *shard, owner int, first bool) {
	if !first {
		o.moves++
		o.churn += known.keys.Width()
		o.unavailable += time.Duration(known.keys.Width() * float64(now-known.unownedSince))
	}
	known.owner = owner
	known.moving = false
	known.source, known.target = noServer, noServer
}
