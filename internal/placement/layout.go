package placement

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Layout holds the servers, shards and owners of one service between decisions.
// Each change takes O(log n). A decision takes the time of the changes since the
// last one, one pass over the servers, and the search. A Layout is not safe for
// concurrent use.
type Layout struct {
	weights state.Weights
	limits  Limits
	now     time.Duration

	hosts map[state.ServerID]*host
	// zones holds the zones of the accepting servers, sorted by name.
	zones []*zone
	// sorted is false from a change of a load or a server until the next decision.
	sorted bool

	records []record
	// positions is the index of each shard in records. freePositions lists the
	// unused ones.
	positions     map[state.ShardID]int
	freePositions []int
	// order holds positions in the order of the ranges. notInOrder holds those
	// that are yet to be inserted.
	order      []int32
	notInOrder []int32
	// mergeCursor is the index in order at which the next search for mergeable
	// neighbours continues.
	mergeCursor int

	// total is the load of all shards.
	total float64
	// slots is the number of slots of the accepting servers, accepting the number
	// of these servers.
	slots     int
	accepting int
	// inFlight is the number of shards that are moving.
	inFlight int
	recent   recentChurn
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

// PutServer adds or replaces a server. The shards that it owns stay.
func (l *Layout) PutServer(server Server) {
	server.Slots = max(server.Slots, 1)
	current := l.ensureHost(server.ID)
	if current.Server == server {
		return
	}
	l.removeFromZone(current)
	current.Server = server
	l.addToZone(current)
	l.sorted = false
}

// RemoveServer marks a server as not accepting shards. It is removed once it owns
// none.
func (l *Layout) RemoveServer(id state.ServerID) {
	if server := l.hosts[id]; server != nil {
		l.removeFromZone(server)
		server.Accepts = false
		l.removeUnusedHost(server)
	}
}

// ensureHost returns a server. One that is unknown is added as not accepting shards.
func (l *Layout) ensureHost(id state.ServerID) *host {
	server := l.hosts[id]
	if server == nil {
		server = &host{Server: Server{ID: id, Slots: 1}}
		l.hosts[id] = server
	}
	return server
}

// removeUnusedHost removes a server that neither accepts nor owns shards.
func (l *Layout) removeUnusedHost(server *host) {
	if !server.Accepts && len(server.shards) == 0 {
		delete(l.hosts, server.ID)
	}
}

// PutShard adds or replaces a shard at the time now. If a move ends with an owner
// other than the one that it started from, it is added to the recent moves. The
// load of a known shard stays; SetLoad changes it.
func (l *Layout) PutShard(now time.Duration, shard Shard) {
	position, found := l.positions[shard.ID]
	if !found {
		l.insertShard(now, shard)
		return
	}
	current := &l.records[position]
	l.removeFromOwner(position)
	if shard.Moving && current.moveSource == "" {
		current.moveSource = current.Owner
	}
	if !shard.Moving && shard.Owner != "" {
		l.recordMoveEnd(now, current, shard.Owner)
	}
	if current.Range.First != shard.Range.First {
		l.removeFromOrder(position)
		l.notInOrder = append(l.notInOrder, int32(position))
	}
	if shard.Range.Width() < current.Range.Width() {
		current.warmAt = max(current.warmAt, now)
	}
	current.Range, current.Owner, current.Epoch = shard.Range, shard.Owner, shard.Epoch
	l.setMoving(current, shard.Moving)
	l.addToOwner(position)
}

// recordMoveEnd records the end of a move, if one was in progress. A move off a
// server that was leaving starts no cooldown, and does not keep the shard from
// returning once that server is back.
func (l *Layout) recordMoveEnd(now time.Duration, shard *record, owner state.ServerID) {
	source := shard.moveSource
	shard.moveSource = ""
	if source == "" || source == owner {
		return
	}
	l.recent.add(now, shard.Range.Width())
	if from := l.hosts[source]; from != nil && from.Accepts {
		shard.recordDeparture(now, source)
	}
}

func (l *Layout) insertShard(now time.Duration, shard Shard) {
	position := len(l.records)
	if count := len(l.freePositions); count > 0 {
		position = l.freePositions[count-1]
		l.freePositions = l.freePositions[:count-1]
	} else {
		l.records = append(l.records, record{})
	}
	load := sanitizeLoad(shard.Load)
	moving := shard.Moving
	shard.Load, shard.Moving = 0, false
	shard.HotShare = min(sanitizeLoad(shard.HotShare), 1)
	l.records[position] = record{Shard: shard, live: true, warmAt: now}
	l.positions[shard.ID] = position
	l.notInOrder = append(l.notInOrder, int32(position))
	l.addToOwner(position)
	l.addLoad(position, load)
	l.setMoving(&l.records[position], moving)
}

// RemoveShard removes a shard.
func (l *Layout) RemoveShard(id state.ShardID) {
	position, found := l.positions[id]
	if !found {
		return
	}
	l.addLoad(position, -l.records[position].Load)
	l.setMoving(&l.records[position], false)
	l.removeFromOwner(position)
	l.removeFromOrder(position)
	delete(l.positions, id)
	l.records[position] = record{}
	l.freePositions = append(l.freePositions, position)
}

// Shard returns a shard as the layout holds it.
func (l *Layout) Shard(id state.ShardID) (Shard, bool) {
	position, found := l.positions[id]
	if !found {
		return Shard{}, false
	}
	return l.records[position].Shard, true
}

// Owned returns the shards that a server owns, in no particular order.
func (l *Layout) Owned(id state.ServerID) []Shard {
	server := l.hosts[id]
	if server == nil {
		return nil
	}
	shards := make([]Shard, 0, len(server.shards))
	for _, position := range server.shards {
		shards = append(shards, l.records[position].Shard)
	}
	return shards
}

// ServerLoad returns the load of the shards that a server owns.
func (l *Layout) ServerLoad(id state.ServerID) float64 {
	if server := l.hosts[id]; server != nil {
		return server.load
	}
	return 0
}

// SetLoad sets a shard's load, in busy slots, and the hash and the share of its
// busiest key. An unknown shard is ignored.
func (l *Layout) SetLoad(id state.ShardID, load float64, hotHash uint64, hotShare float64) {
	position, found := l.positions[id]
	if !found {
		return
	}
	shard := &l.records[position]
	shard.HotHash = hotHash
	shard.HotShare = min(sanitizeLoad(hotShare), 1)
	l.addLoad(position, sanitizeLoad(load)-shard.Load)
	if shard.Load > l.coldLoad() {
		shard.warmAt = max(shard.warmAt, l.now)
	}
}

func (l *Layout) addLoad(position int, difference float64) {
	shard := &l.records[position]
	shard.Load = max(shard.Load+difference, 0)
	l.total = max(l.total+difference, 0)
	if owner := l.hosts[shard.Owner]; owner != nil && difference != 0 {
		owner.load = max(owner.load+difference, 0)
		l.sorted = false
	}
}

func (l *Layout) setMoving(shard *record, moving bool) {
	switch {
	case moving && !shard.Moving:
		l.inFlight++
	case !moving && shard.Moving:
		l.inFlight--
	}
	shard.Moving = moving
}

// addToOwner adds a shard to the list of its owner. addToOwner and removeFromOwner
// are for changes between decisions; transfer is for those within one.
func (l *Layout) addToOwner(position int) {
	shard := &l.records[position]
	if shard.Owner == "" {
		return
	}
	owner := l.ensureHost(shard.Owner)
	owner.addShard(position, shard.Load)
	l.sorted = false
}

func (l *Layout) removeFromOwner(position int) {
	shard := &l.records[position]
	owner := l.hosts[shard.Owner]
	if owner == nil {
		return
	}
	owner.removeShardLoad(position, shard.Load)
	l.sorted = false
	l.removeUnusedHost(owner)
}

// meanUtilization returns the load per slot of the accepting servers if it were
// balanced.
func (l *Layout) meanUtilization() float64 {
	if l.slots == 0 {
		return 0
	}
	return l.total / float64(l.slots)
}

// prepare brings the parts of the layout up to date that changes leave to the next
// decision.
func (l *Layout) prepare(now time.Duration) {
	l.now = now
	l.recent.expire(now - l.limits.Window)
	l.completeOrder()
	if l.sorted {
		return
	}
	for _, zone := range l.zones {
		slices.SortFunc(zone.hosts, compareHosts)
	}
	l.recomputeZoneSums()
	l.sorted = true
}

// sanitizeLoad returns 0 for a load that is not a number, negative or above maxLoad.
func sanitizeLoad(load float64) float64 {
	if load > 0 && load <= maxLoad {
		return load
	}
	return 0
}

// maxLoad bounds one shard's load, in busy slots.
const maxLoad = 1e9
