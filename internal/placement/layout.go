package placement

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/state"
)

// host is a server with what it owns in a layout.
type host struct {
	Server
	load   float64
	shards []int
}

// utilization is the load per slot.
func (h *host) utilization() float64 {
	return h.load / float64(h.Slots)
}

// layout is an assignment under change: moves are applied to it and undone.
type layout struct {
	problem *Problem
	// hosts are in the order of their identifiers; accepting are those that may
	// be targets.
	hosts     []*host
	accepting []*host
	byID      map[state.ServerID]*host
	shards    []Shard
	// pinned shards may not move for the sake of balance.
	pinned []bool
	// leftAt names, by shard, servers that it left within the window.
	left map[int][]state.ServerID
	// total and slots are over all shards and the accepting servers.
	total float64
	slots int
	zones *zoneTable
}

func newLayout(problem *Problem) *layout {
	l := &layout{
		problem: problem, byID: make(map[state.ServerID]*host, len(problem.Servers)),
		shards: slices.Clone(problem.Shards), pinned: make([]bool, len(problem.Shards)),
		left: make(map[int][]state.ServerID),
	}
	slices.SortFunc(l.shards, func(a, b Shard) int { return cmp.Compare(a.Range.First, b.Range.First) })
	l.addHosts()
	for index := range l.shards {
		l.addShard(index)
	}
	l.pinRecent()
	l.zones = newZoneTable(l.accepting)
	return l
}

func (l *layout) addHosts() {
	for _, server := range l.problem.Servers {
		server.Slots = max(server.Slots, 1)
		l.hosts = append(l.hosts, &host{Server: server})
	}
	slices.SortFunc(l.hosts, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
	for _, known := range l.hosts {
		l.byID[known.ID] = known
		if known.Accepts {
			l.accepting = append(l.accepting, known)
			l.slots += known.Slots
		}
	}
}

func (l *layout) addShard(index int) {
	shard := &l.shards[index]
	shard.Load = sane(shard.Load)
	shard.HotShare = min(sane(shard.HotShare), 1)
	l.total += shard.Load
	l.pinned[index] = shard.Moving
	if owner := l.byID[shard.Owner]; owner != nil {
		owner.load += shard.Load
		owner.shards = append(owner.shards, index)
	}
}

// pinRecent applies the history: a shard rests for the cooldown, and does not
// return within the window to a server that it left.
func (l *layout) pinRecent() {
	limits := l.problem.Limits
	for _, move := range l.problem.History {
		age := l.problem.Now - move.At
		if age >= max(limits.Window, limits.Cooldown) {
			continue
		}
		for _, index := range l.overlapping(move.Range) {
			l.left[index] = append(l.left[index], move.From)
			if age < limits.Cooldown {
				l.pinned[index] = true
			}
		}
	}
}

// overlapping returns the shards that share a key with the range.
func (l *layout) overlapping(keys state.KeyRange) []int {
	first, _ := slices.BinarySearchFunc(l.shards, keys.First, func(shard Shard, hash uint64) int {
		return cmp.Compare(shard.Range.Last, hash)
	})
	var found []int
	for index := first; index < len(l.shards) && l.shards[index].Range.First <= keys.Last; index++ {
		found = append(found, index)
	}
	return found
}

// mean is the load per slot if it were even.
func (l *layout) mean() float64 {
	if l.slots == 0 {
		return 0
	}
	return l.total / float64(l.slots)
}

// transfer gives a shard another owner.
func (l *layout) transfer(index int, to *host) {
	shard := &l.shards[index]
	if from := l.byID[shard.Owner]; from != nil {
		from.load -= shard.Load
		position := slices.Index(from.shards, index)
		from.shards = slices.Delete(from.shards, position, position+1)
	}
	shard.Owner = to.ID
	to.load += shard.Load
	to.shards = append(to.shards, index)
}

// isolate splits the hot key off a shard and returns the index of the new one.
func (l *layout) isolate(index int) int {
	parent := &l.shards[index]
	child := *parent
	child.Range = state.KeyRange{First: parent.HotHash, Last: parent.HotHash}
	child.Load = parent.Load * parent.HotShare
	parent.Load -= child.Load
	l.shards = append(l.shards, child)
	l.pinned = append(l.pinned, true)
	l.pinned[index] = true
	created := len(l.shards) - 1
	owner := l.byID[child.Owner]
	owner.shards = append(owner.shards, created)
	return created
}

// rejoin undoes isolate for the shard that was created last.
func (l *layout) rejoin(index int, owner *host) {
	last := len(l.shards) - 1
	l.shards[index].Load += l.shards[last].Load
	l.pinned[index] = false
	owner.shards = slices.DeleteFunc(owner.shards, func(other int) bool { return other == last })
	l.shards = l.shards[:last]
	l.pinned = l.pinned[:last]
}

// measure returns the imbalance over the accepting servers and the shortfall.
func (l *layout) measure() Measure {
	mean := l.mean()
	if mean == 0 {
		return Measure{Imbalance: 1}
	}
	highest := 0.0
	for _, known := range l.accepting {
		highest = max(highest, known.utilization())
	}
	return Measure{Imbalance: highest / mean, Shortfall: l.shortfall()}
}

// objective is the weighted imbalance: a rate, per hour. A server that owns
// nothing but one key cannot be relieved and does not hide the others.
func (l *layout) objective() float64 {
	mean := l.mean()
	if mean == 0 {
		return 0
	}
	hottest := l.hottest()
	if hottest == nil {
		return 0
	}
	excess := max(hottest.utilization()/mean-1, 0)
	return l.problem.Weights.Imbalance * (excess + l.shortfall())
}

func (l *layout) hottest() *host {
	var hottest *host
	for _, known := range l.accepting {
		if l.indivisible(known) {
			continue
		}
		if hottest == nil || known.utilization() > hottest.utilization() {
			hottest = known
		}
	}
	return hottest
}

func (l *layout) indivisible(known *host) bool {
	if len(known.shards) != 1 {
		return false
	}
	keys := l.shards[known.shards[0]].Range
	return keys.First == keys.Last
}

// sane turns what is no load into zero.
func sane(load float64) float64 {
	if load > 0 && load <= maxLoad {
		return load
	}
	return 0
}

// maxLoad bounds one shard's load, in busy slots.
const maxLoad = 1e9
