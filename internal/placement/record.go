package placement

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// record is one shard with its past.
type record struct {
	Shard
	live bool
	// pinned shards are part of the decision in the making.
	pinned bool
	// source is the owner that a move under way began at.
	source state.ServerID
	// movedAt is when the shard last moved, if moved.
	moved   bool
	movedAt time.Duration
	left    []departure
	// warmAt is when the shard was last seen to be too busy to be merged, was
	// cut, or came to be known.
	warmAt time.Duration
}

// departure is a server that a shard left.
type departure struct {
	server state.ServerID
	at     time.Duration
}

// maxDepartures bounds what a shard remembers; the newest stay.
const maxDepartures = 4

func (r *record) depart(at time.Duration, from state.ServerID) {
	r.moved = true
	r.movedAt = max(r.movedAt, at)
	r.left = append(r.left, departure{server: from, at: at})
	if len(r.left) > maxDepartures {
		r.left = slices.Delete(r.left, 0, len(r.left)-maxDepartures)
	}
}

// resting reports whether a shard may not move for the sake of balance.
func (l *Layout) resting(known *record) bool {
	return known.pinned || known.Moving || (known.moved && l.now-known.movedAt < l.limits.Cooldown)
}

// hasLeft reports whether the shard left the server within the window.
func (l *Layout) hasLeft(known *record, server state.ServerID) bool {
	for _, past := range known.left {
		if past.server == server && l.now-past.at < max(l.limits.Window, l.limits.Cooldown) {
			return true
		}
	}
	return false
}

// recentChurn is the share of the key space that moved within the window.
type recentChurn struct {
	moves []recentMove
	sum   float64
}

type recentMove struct {
	at    time.Duration
	width float64
}

func (r *recentChurn) add(at time.Duration, width float64) {
	r.moves = append(r.moves, recentMove{at: at, width: width})
	r.sum += width
}

// expire forgets the moves before a time.
func (r *recentChurn) expire(before time.Duration) {
	kept := 0
	for kept < len(r.moves) && r.moves[kept].at < before {
		r.sum -= r.moves[kept].width
		kept++
	}
	r.moves = slices.Delete(r.moves, 0, kept)
	if len(r.moves) == 0 {
		r.sum = 0
	}
}
