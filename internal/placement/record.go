package placement

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// record is one shard with its recent moves.
type record struct {
	Shard
	live bool
	// pinned is set while the decision in progress moves or splits the shard.
	pinned bool
	// moveSource is the owner that the move in progress started from, or empty.
	moveSource state.ServerID
	// movedAt is when the shard last moved. It is valid if moved is true.
	moved      bool
	movedAt    time.Duration
	departures []departure
	// warmAt is when the shard last was too busy to be merged, was split, or was
	// added.
	warmAt time.Duration
}

// departure is a move of a shard off a server.
type departure struct {
	server state.ServerID
	at     time.Duration
}

// maxDepartures bounds the departures that are kept for a shard, the newest ones.
const maxDepartures = 4

func (r *record) recordDeparture(at time.Duration, from state.ServerID) {
	r.moved = true
	r.movedAt = max(r.movedAt, at)
	r.departures = append(r.departures, departure{server: from, at: at})
	if len(r.departures) > maxDepartures {
		r.departures = slices.Delete(r.departures, 0, len(r.departures)-maxDepartures)
	}
}

// excludedFromBalance reports whether a shard must not be moved for balance now.
func (l *Layout) excludedFromBalance(shard *record) bool {
	return shard.pinned || shard.Moving || (shard.moved && l.now-shard.movedAt < l.limits.Cooldown)
}

// leftRecently reports whether the shard left the server within Window or Cooldown,
// whichever is longer.
func (l *Layout) leftRecently(shard *record, server state.ServerID) bool {
	for _, past := range shard.departures {
		if past.server == server && l.now-past.at < max(l.limits.Window, l.limits.Cooldown) {
			return true
		}
	}
	return false
}

// recentChurn holds the moves within the window and their share of the key space.
type recentChurn struct {
	moves []recentMove
	// sum is the sum of the widths.
	sum float64
}

type recentMove struct {
	at    time.Duration
	width float64
}

func (r *recentChurn) add(at time.Duration, width float64) {
	r.moves = append(r.moves, recentMove{at: at, width: width})
	r.sum += width
}

// expire removes the moves before a time. The sum is set to exactly 0 when no move
// is left.
func (r *recentChurn) expire(before time.Duration) {
	expired := 0
	for expired < len(r.moves) && r.moves[expired].at < before {
		r.sum -= r.moves[expired].width
		expired++
	}
	r.moves = slices.Delete(r.moves, 0, expired)
	if len(r.moves) == 0 {
		r.sum = 0
	}
}
