package remoteclock

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Reading is a reading of a process's clock.
type Reading struct {
	// Origin identifies the process; zero for none. Readings of two origins have nothing in common.
	Origin uint64 `msgpack:"o,omitempty"`
	// Microseconds is the time since the origin.
	Microseconds uint64 `msgpack:"u,omitempty"`
}

// NewOrigin returns the origin for the readings of this process.
func NewOrigin() uint64 { return rand.Uint64() | 1 }

// ReadingAt returns the reading of an origin at a time since it.
func ReadingAt(origin uint64, since time.Duration) Reading {
	return Reading{Origin: origin, Microseconds: uint64(max(0, since.Microseconds()))}
}

// since returns the time since the origin, rounded down as it was sent.
func (r Reading) since() time.Duration { return time.Duration(r.Microseconds) * time.Microsecond }

const (
	// maxDrift is how much faster one clock may run than the other: clocks that are disciplined over the network are slewed
	// by 500 ppm at most, and two of them differ by twice as much.
	maxDrift = 1e-3
	// maxOrigins bounds the processes whose distance is known: the controllers and gateways that one gateway asks, and
	// those that had their addresses before a restart.
	maxOrigins = 64
)

// Distances has a lower bound on the distance of other processes' clocks. The zero value is ready to use. It is safe for
// concurrent use.
type Distances struct {
	mutex sync.Mutex
	known map[uint64]distance
}

// distance is a bound on own reading minus remote reading, as of an own reading.
type distance struct {
	atLeast, asOf time.Duration
}

// EarliestOf returns the earliest own reading at which a remote reading may have been taken that came in the answer, received
// at one own reading, to a request that was sent at another one.
func (d *Distances) EarliestOf(remote Reading, sentAt, receivedAt time.Duration) time.Duration {
	if remote.Origin == 0 {
		return sentAt
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	shown := distance{atLeast: sentAt - remote.since(), asOf: sentAt}
	best, found := d.known[remote.Origin]
	now := best.at(receivedAt)
	// A reading from the future shows that one of the clocks was set or stood still.
	if !found || shown.atLeast >= now || remote.since()+now > receivedAt {
		best, now = shown, shown.atLeast
	}
	d.remember(remote.Origin, best)
	return max(sentAt, remote.since()+now)
}

// at returns the bound at a later own reading.
func (d distance) at(reading time.Duration) time.Duration {
	return d.atLeast - time.Duration(maxDrift*float64(max(0, reading-d.asOf)))
}

// remember sets the bound of an origin. The one that was confirmed longest ago makes room. The mutex must be held.
func (d *Distances) remember(origin uint64, bound distance) {
	if d.known == nil {
		d.known = make(map[uint64]distance)
	}
	if _, found := d.known[origin]; !found && len(d.known) >= maxOrigins {
		oldest, first := uint64(0), true
		for each, known := range d.known {
			if first || known.asOf < d.known[oldest].asOf {
				oldest, first = each, false
			}
		}
		delete(d.known, oldest)
	}
	d.known[origin] = bound
}
