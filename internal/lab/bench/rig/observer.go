package rig

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/hollow"
	"github.com/thorntiller/thorntiller/internal/state"
)

// observer follows ownership as the first hollow router and the hollow back
// ends see it. Times are by record.Monotonic.
type observer struct {
	mutex  sync.Mutex
	shards map[state.ShardID]state.Shard
	// settled counts shards that are owned and not to move.
	settled int
	open    map[state.ServerID]bool
	// closedAt is when a server's session was last seen closed.
	closedAt map[state.ServerID]time.Duration
	closures int
	// lost is the loss that is being watched, or nil. An owner may be lost twice
	// over, so that the epoch tells a new owner from the old one.
	lost *loss
}

// loss follows the shards of one lost server to their new owners.
type loss struct {
	// missing holds the shards without a new owner in the routing table, and
	// ungranted those that no back end took at a higher epoch.
	missing   map[state.ShardID]state.Epoch
	ungranted map[state.ShardID]state.Epoch
	shards    int
	ownedAt   time.Duration
	grantedAt time.Duration
	revision  state.Revision
}

func newObserver() *observer {
	return &observer{
		shards:   make(map[state.ShardID]state.Shard),
		open:     make(map[state.ServerID]bool),
		closedAt: make(map[state.ServerID]time.Duration),
	}
}

// take is called for the objects of each change of the routing table.
func (o *observer) take(at time.Duration, objects []state.Object) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, object := range objects {
		switch {
		case object.Server != nil:
			o.takeServer(at, *object.Server)
		case object.Shard != nil && !object.Deleted:
			o.takeShard(at, *object.Shard)
		}
	}
}

func (o *observer) takeServer(at time.Duration, server state.Server) {
	if o.open[server.ID] && !server.Session.Open {
		o.closedAt[server.ID] = at
		o.closures++
	}
	o.open[server.ID] = server.Session.Open
}

func settled(shard state.Shard) bool {
	return shard.Phase == state.ShardOwned && shard.Target == ""
}

func (o *observer) takeShard(at time.Duration, shard state.Shard) {
	if settled(o.shards[shard.ID]) {
		o.settled--
	}
	if settled(shard) {
		o.settled++
	}
	o.shards[shard.ID] = shard
	if o.lost == nil {
		return
	}
	if epoch, found := o.lost.missing[shard.ID]; found && shard.Owner != "" && shard.Epoch > epoch {
		delete(o.lost.missing, shard.ID)
		o.lost.ownedAt = at
		o.lost.revision = max(o.lost.revision, shard.Revision)
	}
}

// granted is called for each assignment set that a back end took.
func (o *observer) granted(grant hollow.Grant) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.lost == nil {
		return
	}
	for _, assignment := range grant.Assignments {
		id := state.ShardID(assignment.Shard)
		if epoch, found := o.lost.ungranted[id]; found && assignment.Epoch > uint64(epoch) {
			delete(o.lost.ungranted, id)
			o.lost.grantedAt = max(o.lost.grantedAt, grant.At)
		}
	}
}

// watch begins to follow the shards of servers that are about to be lost.
func (o *observer) watch(servers []state.ServerID) *loss {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lost = &loss{missing: make(map[state.ShardID]state.Epoch), ungranted: make(map[state.ShardID]state.Epoch)}
	for id, shard := range o.shards {
		if slices.Contains(servers, shard.Owner) {
			o.lost.missing[id] = shard.Epoch
			o.lost.ungranted[id] = shard.Epoch
		}
	}
	o.lost.shards = len(o.lost.missing)
	return o.lost
}

func (o *observer) stopWatching() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lost = nil
}

// holds evaluates a condition while nothing changes.
func (o *observer) holds(condition func() bool) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return condition()
}

// owned counts the shards of each server.
func (o *observer) owned() map[state.ServerID]int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := make(map[state.ServerID]int)
	for _, shard := range o.shards {
		counts[shard.Owner]++
	}
	return counts
}

func (o *observer) summary() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return fmt.Sprintf("%d of %d shards are settled", o.settled, len(o.shards))
}

// closed returns when a server's session was last seen closed, and how many
// sessions were seen closed in all.
func (o *observer) closed(server state.ServerID) (time.Duration, int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.closedAt[server], o.closures
}
