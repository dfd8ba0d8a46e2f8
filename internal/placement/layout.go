package placement

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Layout is the assignment of one service that placement keeps between its
// decisions. Each change costs O(log n); a decision costs the changes since the
// last one, one pass over the servers, and the search. It is not safe for
// concurrent use.
type Layout struct {
	weights state.Weights
	limits  Limits
	now     time.Duration

	hosts map[state.ServerID]*host
	// zones holds the zones of the accepting servers by name.
	zones []*zone
	// sorted is false after a load changed and until the next decision.
	sorted bool

	records []record
	// positions finds a shard in records; free lists the unused positions.
	positions map[state.ShardID]int
	free      []int
	// order holds positions in the order of the ranges; fresh ones wait to be
	// inserted.
	order []int32
	fresh []int32
	// mergeCursor is where in order the search for cold neighbours goes on.
	mergeCursor int

	// total is the load of all shards, slots those of the accepting servers.
	total     float64
	slots     int
	accepting int
	inFlight  int
	recent    recentChurn
}

// NewLayout returns an empty layout. All-zero weights mean DefaultWeights.
func NewLayout(weights state.Weights, limits Limits) *Layout {
	l := &Layout{limits: limits, hosts: make(map[state.ServerID]*host), positions: make(map[state.ShardID]int), sorted: true}
	l.SetPolicy(weights, limits)
	return l
}

// SetPolicy replaces weights and limits.
func (l *Layout) SetPolicy(weights state.Weights, limits Limits) {
	if weights == (state.Weights{}) {
		weights = DefaultWeights
	}
	l.weights = weights
	l.limits = limits
}

// PutServer adds or replaces a server; what it owns stays.
func (l *Layout) PutServer(server Server) {
	server.Slots = max(server.Slots, 1)
	known := l.ensureHost(server.ID)
	if known.Server == server {
		return
	}
	l.leaveZone(known)
	known.Server = server
	l.enterZone(known)
	l.sorted = false
}

// RemoveServer makes a server one that does not accept.
func (l *Layout) RemoveServer(id state.ServerID) {
	if known := l.hosts[id]; known != nil {
		l.leaveZone(known)
		known.Accepts = false
		l.forgetIdle(known)
	}
}

// ensureHost returns the server, which does not accept before PutServer.
func (l *Layout) ensureHost(id state.ServerID) *host {
	known := l.hosts[id]
	if known == nil {
		known = &host{Server: Server{ID: id, Slots: 1}}
		l.hosts[id] = known
	}
	return known
}

// forgetIdle drops a server that neither accepts nor owns anything.
func (l *Layout) forgetIdle(known *host) {
	if !known.Accepts && len(known.shards) == 0 {
		delete(l.hosts, known.ID)
	}
}

// PutShard adds or replaces a shard at the time now. An owner that differs from
// the one at which a move began makes the move part of the shard's past. The
// load of a known shard stays; SetLoad changes it.
func (l *Layout) PutShard(now time.Duration, shard Shard) {
	position, found := l.positions[shard.ID]
	if !found {
		l.insert(now, shard)
		return
	}
	known := &l.records[position]
	l.disown(position)
	if shard.Moving && known.source == "" {
		known.source = known.Owner
	}
	if !shard.Moving && shard.Owner != "" {
		l.settle(now, known, shard.Owner)
	}
	if known.Range.First != shard.Range.First {
		l.unorder(position)
		l.fresh = append(l.fresh, int32(position))
	}
	if shard.Range.Width() < known.Range.Width() {
		known.warmAt = max(known.warmAt, now)
	}
	known.Range, known.Owner, known.Epoch = shard.Range, shard.Owner, shard.Epoch
	l.setMoving(known, shard.Moving)
	l.own(position)
}

// settle records the end of a move, if one was under way. A move off a server
// that was leaving is no reason to rest, nor to stay away once it is back.
func (l *Layout) settle(now time.Duration, known *record, owner state.ServerID) {
	source := known.source
	known.source = ""
	if source == "" || source == owner {
		return
	}
	l.recent.add(now, known.Range.Width())
	if from := l.hosts[source]; from != nil && from.Accepts {
		known.depart(now, source)
	}
}

func (l *Layout) insert(now time.Duration, shard Shard) {
	position := len(l.records)
	if count := len(l.free); count > 0 {
		position = l.free[count-1]
		l.free = l.free[:count-1]
	} else {
		l.records = append(l.records, record{})
	}
	load := sane(shard.Load)
	moving := shard.Moving
	shard.Load, shard.Moving = 0, false
	shard.HotShare = min(sane(shard.HotShare), 1)
	l.records[position] = record{Shard: shard, live: true, warmAt: now}
	l.positions[shard.ID] = position
	l.fresh = append(l.fresh, int32(position))
	l.own(position)
	l.addLoad(position, load)
	l.setMoving(&l.records[position], moving)
}

// RemoveShard forgets a shard that is gone.
func (l *Layout) RemoveShard(id state.ShardID) {
	position, found := l.positions[id]
	if !found {
		return
	}
	l.addLoad(position, -l.records[position].Load)
	l.setMoving(&l.records[position], false)
	l.disown(position)
	l.unorder(position)
	delete(l.positions, id)
	l.records[position] = record{}
	l.free = append(l.free, position)
}

// Shard returns what the layout knows of a shard.
func (l *Layout) Shard(id state.ShardID) (Shard, bool) {
	position, found := l.positions[id]
	if !found {
		return Shard{}, false
	}
	return l.records[position].Shard, true
}

// Owned returns the shards that a server owns, in no particular order.
func (l *Layout) Owned(id state.ServerID) []Shard {
	known := l.hosts[id]
	if known == nil {
		return nil
	}
	shards := make([]Shard, 0, len(known.shards))
	for _, position := range known.shards {
		shards = append(shards, l.records[position].Shard)
	}
	return shards
}

// ServerLoad returns the load of the shards that a server owns.
func (l *Layout) ServerLoad(id state.ServerID) float64 {
	if known := l.hosts[id]; known != nil {
		return known.load
	}
	return 0
}

// SetLoad replaces a shard's load, in busy slots, and what is known of its
// busiest key. An unknown shard is ignored.
func (l *Layout) SetLoad(id state.ShardID, load float64, hotHash uint64, hotShare float64) {
	position, found := l.positions[id]
	if !found {
		return
	}
	known := &l.records[position]
	known.HotHash = hotHash
	known.HotShare = min(sane(hotShare), 1)
	l.addLoad(position, sane(load)-known.Load)
	if known.Load > l.coldLoad() {
		known.warmAt = max(known.warmAt, l.now)
	}
}

func (l *Layout) addLoad(position int, difference float64) {
	known := &l.records[position]
	known.Load = max(known.Load+difference, 0)
	l.total = max(l.total+difference, 0)
	if owner := l.hosts[known.Owner]; owner != nil && difference != 0 {
		owner.load = max(owner.load+difference, 0)
		l.sorted = false
	}
}

func (l *Layout) setMoving(known *record, moving bool) {
	switch {
	case moving && !known.Moving:
		l.inFlight++
	case !moving && known.Moving:
		l.inFlight--
	}
	known.Moving = moving
}

// own and disown keep a server's list of shards. They are for changes between
// decisions; transfer is for those within one.
func (l *Layout) own(position int) {
	shard := &l.records[position]
	if shard.Owner == "" {
		return
	}
	owner := l.ensureHost(shard.Owner)
	owner.add(position, shard.Load)
	l.sorted = false
}

func (l *Layout) disown(position int) {
	shard := &l.records[position]
	owner := l.hosts[shard.Owner]
	if owner == nil {
		return
	}
	owner.remove(position, shard.Load)
	l.sorted = false
	l.forgetIdle(owner)
}

// mean is the load per slot if it were even.
func (l *Layout) mean() float64 {
	if l.slots == 0 {
		return 0
	}
	return l.total / float64(l.slots)
}

// prepare brings everything that is kept lazily up to date.
func (l *Layout) prepare(now time.Duration) {
	l.now = now
	l.recent.expire(now - l.limits.Window)
	l.insertFresh()
	if l.sorted {
		return
	}
	for _, known := range l.zones {
		slices.SortFunc(known.hosts, compareHosts)
	}
	l.sumZones()
	l.sorted = true
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
