package heartbeat

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Config holds the settings of the core.
type Config struct {
	// Lease is how long an instance holds keys, counted from when it sent the heartbeat.
	Lease time.Duration
	// Interval is the longest regular time between two heartbeats; zero if it is not known.
	Interval time.Duration
	// MaxLease is the longest lease that an earlier leader may have granted.
	MaxLease time.Duration
	// ClockRateBound is the largest relative difference in speed between the clocks of two machines.
	ClockRateBound float64
	// Margin is an additional time before a lease counts as expired.
	Margin time.Duration
	// Gather is how long a keyed service without a layout waits for instances to register.
	Gather time.Duration
	// HoldBack is how long the answer to a heartbeat may be held back for new keys, as far as the lease
	// allows; zero for not at all.
	HoldBack time.Duration
	// AddressReuse is the minimum time since the last heartbeat from an address before an instance of
	// another service may use it.
	AddressReuse time.Duration
	// Stripes is the number of key ranges that each instance gets in the first layout. They are far
	// apart: keys that are hot at the same time tend to be adjacent, and are spread over many
	// instances in this way before any demand is known.
	Stripes int
	// MaxMoves bounds the holdings of a service that are being moved because of load.
	MaxMoves int
}

// heartbeatDelayTolerance is by how much a heartbeat may arrive later than its regular time: a heartbeat
// without an answer is sent again a second later.
const heartbeatDelayTolerance = 1200 * time.Millisecond

// livenessTimeout is how long after a heartbeat an instance counts as alive when keys are assigned: half
// a lease, but at least until its next heartbeat is due, and at most a lease.
func (c Config) livenessTimeout() time.Duration {
	if c.Interval == 0 {
		return c.Lease / 2
	}
	return min(max(c.Lease/2, c.Interval+heartbeatDelayTolerance), c.Lease)
}

// Range is a range of keys, both ends included.
type Range struct {
	First directory.Key
	Last  directory.Key
}

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Held is a range that an instance holds or still processes requests for.
type Held struct {
	Range
	Fence directory.Fence
}

// Released is a range that an instance has released.
type Released struct {
	Range
	// Handover is passed to the next holder.
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
	// WarmUp is the remaining time for which the instance is slow after its start.
	WarmUp time.Duration
	// Sequence increases with each heartbeat of the instance.
	Sequence uint64
	Held     []Held
	Released []Released
}

// Grant is the answer to a heartbeat.
type Grant struct {
	// Renewed is false if the answer does not renew the lease.
	Renewed  bool
	Holdings []directory.Holding
	Lease    time.Duration
}

// heartbeatState is what this leader knows about an instance from its heartbeats.
type heartbeatState struct {
	// receivedAt is when the newest heartbeat was received.
	receivedAt time.Duration
	// interval is the most recently observed time between two regular heartbeats.
	interval time.Duration
	sequence uint64
	// inSequence is true once a second heartbeat was received in the same term.
	inSequence bool
	// leaseEnd is the time after which the last lease of the instance has certainly expired.
	leaseEnd time.Duration
	// renewedAt is when the heartbeat was received whose answer renewed the lease last; zero if this
	// leader has answered none.
	renewedAt time.Duration
	// returnedAfterExpiry is true from a heartbeat after the expiry of the lease until that heartbeat
	// is answered: its batch may also reassign the keys, and is not applied yet.
	returnedAfterExpiry bool
	// warmAt is when the warm-up of the instance ends.
	warmAt time.Duration
	slots  int
	// answerableUntil is until when the answer to the newest heartbeat can still carry a decision;
	// zero once it was sent.
	answerableUntil time.Duration
	// drainingSince is when the instance first reported that it drains, or its zone was found
	// evacuated; zero otherwise.
	drainingSince time.Duration
	// held is what the instance held according to its newest heartbeat.
	held []Held
}

// holds reports whether the instance already holds the keys of a holding, so that it needs no handover
// for them.
func (s *heartbeatState) holds(holding directory.Holding) bool {
	return slices.ContainsFunc(s.held, func(held Held) bool {
		return held.Fence == holding.Fence && held.First <= holding.First && holding.Last <= held.Last
	})
}

// maySend reports whether the answer to the newest heartbeat may contain a granted holding: the instance lists all of
// its keys, or the grant is recorded.
func (s *heartbeatState) maySend(holding directory.Holding) bool {
	return holding.GrantSequence >= s.sequence || listsKeys(s.held, holding)
}

// listsKeys reports whether ranges of a heartbeat include all keys of a holding, with whatever fences.
func listsKeys(rows []Held, holding directory.Holding) bool {
	next := holding.First
	for next <= holding.Last {
		reached := next
		for _, held := range rows {
			if held.First <= next && next <= held.Last {
				reached = max(reached, held.Last+1)
			}
		}
		if reached == next {
			return false
		}
		next = reached
	}
	return true
}

// isAfterGrant reports whether the newest heartbeat was sent after the instance got a holding, so that it tells whether
// the instance has released it. One from before may arrive late, also twice, at a leader that knows no newer ones. For
// a grant of unknown sequence, by a controller of an earlier version, the second heartbeat of a term counts.
func (s *heartbeatState) isAfterGrant(holding directory.Holding) bool {
	if holding.GrantSequence == 0 {
		return s.inSequence
	}
	return s.sequence > holding.GrantSequence
}

// minRegularInterval is shorter than the time between two regular heartbeats, and longer than the time
// between those of an instance that is releasing keys.
const minRegularInterval = 300 * time.Millisecond

func (s *heartbeatState) updateInterval(now time.Duration) {
	if elapsed := now - s.receivedAt; s.receivedAt > 0 && elapsed > minRegularInterval {
		s.interval = elapsed
	}
}

// drainingFor returns how long the instance has been draining, and starts the count at the first call.
func (s *heartbeatState) drainingFor(now time.Duration) time.Duration {
	if s.drainingSince == 0 {
		s.drainingSince = now
	}
	return now - s.drainingSince
}
