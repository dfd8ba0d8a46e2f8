package coordinator

import (
	"maps"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// handoverWeight is the weight of the newest move in the mean.
const handoverWeight = 0.2

// Handovers tells how long moved shards had no owner, by service, as this
// leader measured it: from the revocation to the answer by which the new owner
// confirmed the shard.
type Handovers struct {
	mean map[state.ServiceName]time.Duration
}

// Expected returns the smoothed mean of a service's moves, or false while none
// was measured.
func (h Handovers) Expected(service state.ServiceName) (time.Duration, bool) {
	mean, found := h.mean[service]
	return mean, found
}

// handovers follows the moves in flight, which each service's MaxMoves bounds.
type handovers struct {
	Handovers
	revoked map[state.ShardID]time.Duration
	granted map[state.ServerID][]grant
}

// grant is a moved shard whose new owner has yet to confirm it.
type grant struct {
	service state.ServiceName
	since   time.Duration
	version state.Revision
}

func newHandovers() *handovers {
	return &handovers{
		Handovers: Handovers{mean: make(map[state.ServiceName]time.Duration)},
		revoked:   make(map[state.ShardID]time.Duration),
		granted:   make(map[state.ServerID][]grant),
	}
}

// note takes a new version of a shard.
func (h *handovers) note(now time.Duration, shard state.Shard) {
	since, moving := h.revoked[shard.ID]
	switch {
	case shard.Phase == state.ShardRevoking && !moving:
		h.revoked[shard.ID] = now
	case shard.Phase == state.ShardOwned && moving:
		delete(h.revoked, shard.ID)
		h.granted[shard.Owner] = append(h.granted[shard.Owner], grant{service: shard.Service, since: since, version: shard.Revision})
	}
}

// confirmed takes the assignment version that a server has in force.
func (h *handovers) confirmed(now time.Duration, server state.ServerID, version state.Revision) {
	waiting := h.granted[server]
	if len(waiting) == 0 {
		return
	}
	var remaining []grant
	for _, granted := range waiting {
		if version < granted.version {
			remaining = append(remaining, granted)
			continue
		}
		h.measure(granted.service, now-granted.since)
	}
	if len(remaining) == 0 {
		delete(h.granted, server)
		return
	}
	h.granted[server] = remaining
}

func (h *handovers) measure(service state.ServiceName, taken time.Duration) {
	mean, found := h.mean[service]
	if !found {
		h.mean[service] = taken
		return
	}
	h.mean[service] = mean + time.Duration(handoverWeight*float64(taken-mean))
}

// Handovers returns what was measured in this term of leadership.
func (c *Coordinator) Handovers() Handovers {
	return Handovers{mean: maps.Clone(c.handovers.mean)}
}
