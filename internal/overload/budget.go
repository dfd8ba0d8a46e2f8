package overload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/broadcast"
)

const (
	// TypicalConnectionBytes is what an open connection takes besides the bodies on it: its buffers, its goroutine and
	// the header of a request.
	TypicalConnectionBytes = 32 << 10
	// FreeBytes is the size up to which a body takes nothing from the budget, so that small requests pass while it is
	// used up. It fits into the buffers of a connection.
	FreeBytes = 8 << 10
	// minStall is how long a client must have made no progress before its connection may be evicted: some round trips,
	// and a lost packet.
	minStall = 250 * time.Millisecond
	// spareConnections may be open beyond the limit while evicted ones are being closed.
	spareConnections = 64
	// sparePart is the part of Limits.Places that is spare where there are few.
	sparePart = 8
)

// Limits bound a Budget.
type Limits struct {
	// Bytes is the memory that all connections may take together.
	Bytes int64
	// ConnectionBytes is what each open connection takes of it; zero if only bodies count.
	ConnectionBytes int64
	// Connections is the number of connections that may be open.
	Connections int
	// Places, if not nil, returns how many connections the process has descriptors for, with the spare ones. It is read
	// for each connection.
	Places func() int
	// Collect, if not nil, frees the memory of bodies that was returned. It is called when that would otherwise exceed
	// Bytes together with the memory that is taken.
	Collect func()
}

// Budget is the memory and the connections that clients may take. It is safe for concurrent use.
type Budget struct {
	limits  Limits
	used    atomic.Int64
	peak    atomic.Int64
	evicted atomic.Uint64
	refused atomic.Uint64
	// garbage is the memory of bodies that was returned since the last collection.
	garbage    atomic.Int64
	collecting sync.Mutex
	// freed is raised when memory is returned while somebody may wait for it.
	freed       *broadcast.Broadcast
	mutex       sync.Mutex
	connections map[*Connection]struct{}
}

// NewBudget returns a budget of which nothing is taken.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, freed: broadcast.New(), connections: make(map[*Connection]struct{})}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns the largest number of bytes that were taken at a time.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Evicted returns how many connections were evicted.
func (b *Budget) Evicted() uint64 { return b.evicted.Load() }

// Refused returns how many connections and reservations were refused.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// Open admits a connection. If there are more than may be open, or memory is short, it evicts others. It returns nil if
// the connection must be closed.
func (b *Budget) Open(now time.Duration, client Client) *Connection {
	opened := &Connection{budget: b, client: client}
	opened.enter(now, Idle)
	limit, most := b.limits.connections()
	b.mutex.Lock()
	count := len(b.connections) + 1
	excess := count - limit
	if count > most {
		b.mutex.Unlock()
		b.evict(now, need{connections: 1})
		b.refused.Add(1)
		return nil
	}
	b.connections[opened] = struct{}{}
	b.mutex.Unlock()
	missing := b.take(b.limits.ConnectionBytes) - b.limits.Bytes
	if excess > 0 || missing > 0 {
		b.evict(now, need{connections: excess, bytes: missing})
	}
	return opened
}

// connections returns the number of open connections beyond which others give way to a further one, and the number
// beyond which it is refused.
func (l Limits) connections() (limit, most int) {
	limit, most = l.Connections, l.Connections+spareConnections
	if l.Places == nil {
		return limit, most
	}
	if places := l.Places(); places < most {
		limit, most = min(limit, places-min(spareConnections, places/sparePart)), places
	}
	return limit, most
}

// take adds to the bytes that are taken, and returns them.
func (b *Budget) take(bytes int64) int64 {
	used := b.used.Add(bytes)
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
	return used
}

// collect frees returned memory if it does not fit beside the memory that is taken.
func (b *Budget) collect() {
	if b.limits.Collect == nil || b.used.Load()+b.garbage.Load() <= b.limits.Bytes {
		return
	}
	b.collecting.Lock()
	defer b.collecting.Unlock()
	garbage := b.garbage.Load()
	if b.used.Load()+garbage <= b.limits.Bytes {
		return // collected meanwhile
	}
	b.limits.Collect()
	b.garbage.Add(-garbage)
}

// returned returns the memory of bodies.
func (b *Budget) returned(bytes int64) {
	b.garbage.Add(bytes)
	b.release(bytes)
}

func (b *Budget) release(bytes int64) {
	if bytes == 0 {
		return
	}
	b.used.Add(-bytes)
	b.freed.Raise()
}
