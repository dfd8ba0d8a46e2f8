package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Config holds the settings of the core.
type Config struct {
	// Lease is how long an instance holds keys, from the sending of a heartbeat.
	Lease time.Duration
	// Interval is the longest regular time between two heartbeats, zero if it is not known.
	Interval time.Duration
	// MaxLease is the longest lease that any earlier leader may have granted.
	MaxLease time.Duration
	// ClockRateBound is the largest difference in speed of two machines' clocks, as
	// a share.
	ClockRateBound float64
	// Margin is added before a lease counts as ended.
	Margin time.Duration
	// Gather is how long a keyed service without a layout waits for instances.
	Gather time.Duration
	// HoldBack is how long the answer to a heartbeat may wait for news; 0 for not at
	// all.
	HoldBack time.Duration
	// AddressReuse is the shortest time after which an address passes to an
	// instance of another service.
	AddressReuse time.Duration
	// Stripes is how many ranges of keys each instance gets at first, far apart from
	// each other: keys that are busy at the same time lie close together, and are then
	// spread over many instances before anything is known of them.
	Stripes int
	// MaxMoves bounds the holdings of a service that are being moved for the sake
	// of balance.
	MaxMoves int
}

// heartbeatDelay is by how much a heartbeat may come later than its regular time: one that was
// not answered is sent again a second later.
const heartbeatDelay = 1200 * time.Millisecond

// recent is how long after a heartbeat an instance counts as alive for what it might get: half a
// lease, but not less than to the next heartbeat.
func (c Config) recent() time.Duration {
	if c.Interval == 0 {
		return c.Lease / 2
	}
	return min(max(c.Lease/2, c.Interval+heartbeatDelay), c.Lease)
}

// Range is a range of keys, both ends included.
type Range struct {
	First directory.Key
	Last  directory.Key
}

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Held is a range that an instance holds or still works on.
type Held struct {
	Range
	Fence directory.Fence
}

// Released is a range that an instance let go.
type Released struct {
	Range
	// Handover is for the next holder.
	Handover string
}

// Beat is one heartbeat.
type Beat struct {
	Instance directory.InstanceID
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// WarmUp is how much longer the instance is slow from its start.
	WarmUp time.Duration
	// Sequence rises with each heartbeat of the instance.
	Sequence uint64
	Held     []Held
	Released []Released
}

// Grant is the answer to a heartbeat.
type Grant struct {
	// Renewed is false for an answer that renews nothing.
	Renewed  bool
	Holdings []directory.Holding
	Lease    time.Duration
}

// contact is what this leader knows of an instance from its heartbeats.
type contact struct {
	beatAt time.Duration
	// interval is the time between two regular heartbeats, as last seen.
	interval time.Duration
	sequence uint64
	// inSequence is true once a heartbeat came after another one of the same term, so
	// that it is surely newer. The first one may have been sent long ago, and says
	// nothing of what the instance holds now.
	inSequence bool
	// leaseEnd is when the last lease that the instance may hold has surely ended.
	leaseEnd time.Duration
	// returned is true from the heartbeat that came after the end of a lease until it is
	// answered: the batch that took it may have passed on the keys before, and is not applied
	// yet.
	returned bool
	warmAt   time.Duration
	slots    int
	// answerableUntil is until when the answer to the newest heartbeat can still carry
	// what is decided; zero once it was given.
	answerableUntil time.Duration
	// drainsSince is when the instance first said that it leaves, or its zone was found
	// evacuated; zero while it stays.
	drainsSince time.Duration
	// held is what the instance held at its last heartbeat.
	held []Held
}

// holds reports whether the instance holds keys already, so that it needs no handover
// for them.
func (c *contact) holds(holding directory.Holding) bool {
	return slices.ContainsFunc(c.held, func(held Held) bool {
		return held.Fence == holding.Fence && held.First <= holding.First && holding.Last <= held.Last
	})
}

// shortestInterval is less than the time between two regular heartbeats, and more
// than that between those of an instance that lets keys go.
const shortestInterval = 300 * time.Millisecond

func (c *contact) noteInterval(now time.Duration) {
	if elapsed := now - c.beatAt; c.beatAt > 0 && elapsed > shortestInterval {
		c.interval = elapsed
	}
}

// drains returns for how long the instance has said that it leaves.
func (c *contact) drains(now time.Duration) time.Duration {
	if c.drainsSince == 0 {
		c.drainsSince = now
	}
	return now - c.drainsSince
}
