package startup

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxDependencies bounds the addresses that are remembered; the one that was tried least recently is forgotten.
	maxDependencies = 64
	// maxErrorBytes bounds the text of an error that is remembered.
	maxErrorBytes = 200
)

// Attempt is how the attempts to reach one address have ended since it last answered.
type Attempt struct {
	Address  string `json:"address"`
	Failures int    `json:"failures"`
	// Error is the text of the last failure.
	Error string `json:"error"`
	// LastMs is the time since the last failure, in milliseconds.
	LastMs int64 `json:"last_ms"`
}

// Outage is a time in which a dependency could not be reached.
type Outage struct {
	Failures int
	// Duration is the time since the first failure.
	Duration time.Duration
}

// Dependencies remembers the other processes that could not be reached. It is safe for concurrent use. Times are
// readings of a clock.Clock.
type Dependencies struct {
	mutex sync.Mutex
	lost  map[string]*outage
	// failures counts all failed attempts.
	failures int
}

type outage struct {
	failures    int
	err         string
	since, last time.Duration
}

func newDependencies() *Dependencies { return &Dependencies{lost: make(map[string]*outage)} }

// Failed records a failed attempt, or a connection that broke. It reports whether this is the first failure since the
// address answered, or since the start; the caller logs only that one.
func (d *Dependencies) Failed(now time.Duration, address string, err error) (first bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failures++
	known, found := d.lost[address]
	if !found {
		d.makeRoom()
		known = &outage{since: now}
		d.lost[address] = known
	}
	known.failures++
	known.last = now
	known.err = textOf(err)
	return !found
}

// Answered records that an address answered. It returns the outage that this ends, and false if there was none.
func (d *Dependencies) Answered(now time.Duration, address string) (Outage, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.lost[address]
	if !found {
		return Outage{}, false
	}
	delete(d.lost, address)
	return Outage{Failures: known.failures, Duration: now - known.since}, true
}

// Forget forgets all addresses that do not answer, so that their next failures are the first ones: the process has found
// what it looked for, and does not ask them any more.
func (d *Dependencies) Forget() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.lost)
}

// Attempts returns the addresses that do not answer, in their order.
func (d *Dependencies) Attempts(now time.Duration) []Attempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	attempts := make([]Attempt, 0, len(d.lost))
	for address, known := range d.lost {
		attempts = append(attempts, Attempt{
			Address: address, Failures: known.failures, Error: known.err, LastMs: (now - known.last).Milliseconds(),
		})
	}
	slices.SortFunc(attempts, func(a, b Attempt) int { return cmp.Compare(a.Address, b.Address) })
	return attempts
}

// Failures returns the number of failed attempts since the start.
func (d *Dependencies) Failures() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.failures
}

// makeRoom forgets the address that was tried least recently if there are too many. The mutex must be held.
func (d *Dependencies) makeRoom() {
	if len(d.lost) < maxDependencies {
		return
	}
	oldest := ""
	for address, known := range d.lost {
		if oldest == "" || known.last < d.lost[oldest].last {
			oldest = address
		}
	}
	delete(d.lost, oldest)
}

func textOf(err error) string {
	text := eris.ToString(err, false)
	return text[:min(len(text), maxErrorBytes)]
}
