package coordinator

import (
	"maps"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// handoverWeight is the weight of the newest move in the moving average.
const handoverWeight = 0.2

// Handovers holds how long moved shards had no owner, by service, as measured by
// this leader: from the revocation to the answer in which the new owner confirmed
// the shard.
type Handovers struct {
	mean map[state.ServiceName]time.Duration
}

// Expected returns the moving average of a service's moves, or false while none
// was measured.
func (h Handovers) Expected(service state.ServiceName) (time.Duration, bool) {
	mean, found := h.mean[service]
	return mean, found
}

// handovers tracks the moves in flight, whose number each service's MaxMoves
// bounds.
type handovers struct {
	Handovers
	revokedAt   map[state.ShardID]time.Duration
	unconfirmed map[state.ServerID][]unconfirmedMove
}

// unconfirmedMove is a moved shard that its new owner has not confirmed.
type unconfirmedMove struct {
	service state.ServiceName
	since   time.Duration
	version state.Revision
}

func newHandovers() *handovers {
	return &handovers{
		Handovers:   Handovers{mean: make(map[state.ServiceName]time.Duration)},
		revokedAt:   make(map[state.ShardID]time.Duration),
		unconfirmed: make(map[state.ServerID][]unconfirmedMove),
	}
}

// shardChanged handles a new version of a shard.
func (h *handovers) shardChanged(now time.Duration, shard state.Shard) {
	since, moving := h.revokedAt[shard.ID]
	switch {
	case shard.Phase == state.ShardRevoking && !moving:
		h.revokedAt[shard.ID] = now
	case shard.Phase == state.ShardOwned && moving:
		delete(h.revokedAt, shard.ID)
		h.unconfirmed[shard.Owner] = append(h.unconfirmed[shard.Owner], unconfirmedMove{service: shard.Service, since: since, version: shard.Revision})
	}
}

// versionConfirmed handles the assignment version that a server has in force.
func (h *handovers) versionConfirmed(now time.Duration, server state.ServerID, version state.Revision) {
	moves := h.unconfirmed[server]
	if len(moves) == 0 {
		return
	}
	var remaining []unconfirmedMove
	for _, move := range moves {
		if version < move.version {
			remaining = append(remaining, move)
			continue
		}
		h.addDuration(move.service, now-move.since)
	}
	if len(remaining) == 0 {
		delete(h.unconfirmed, server)
		return
	}
	h.unconfirmed[server] = remaining
}

func (h *handovers) addDuration(service state.ServiceName, duration time.Duration) {
	mean, found := h.mean[service]
	if !found {
		h.mean[service] = duration
		return
	}
	h.mean[service] = mean + time.Duration(handoverWeight*float64(duration-mean))
}

// Handovers returns the measurements of this term of leadership.
func (c *Coordinator) Handovers() Handovers {
	return Handovers{mean: maps.Clone(c.handovers.mean)}
}
