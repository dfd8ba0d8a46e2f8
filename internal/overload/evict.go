package overload

import (
	"cmp"
	"slices"
	"time"
)

// need is what evictions are to return.
type need struct {
	connections int
	bytes       int64
	// spared must not be evicted; nil for none.
	spared *Connection
}

func (n need) met() bool { return n.connections <= 0 && n.bytes <= 0 }

// candidate is a connection that may be evicted, as it was when it was looked at.
type candidate struct {
	connection *Connection
	phase      Phase
	progressAt time.Duration
	bytes      int64
	// holdsBody is true if the connection has taken memory for a body or an answer.
	holdsBody bool
}

// evictionBatch is how many connections with a stalled request are evicted at a time once the limit of connections is reached: a search
// for them looks at all connections.
const evictionBatch = spareConnections / 2

// evict evicts stalled connections until the need is met or none is left. Connections with a request or an answer go
// before idle ones, and among them those that have made no progress for longest.
func (b *Budget) evict(now time.Duration, wanted need) {
	batch := 0
	if wanted.connections > 0 {
		batch = evictionBatch
	}
	for position, next := range b.candidates(now, wanted) {
		if wanted.met() && (position >= batch || rank(next, wanted) > 0) {
			return
		}
		if !next.connection.client.Stalled(next.phase) || !next.connection.phase.CompareAndSwap(int32(next.phase), int32(Evicted)) {
			continue
		}
		wanted.connections--
		wanted.bytes -= next.bytes
		b.evicted.Add(1)
		next.connection.client.Evict(next.phase)
	}
}

// EvictReading evicts all connections whose requests have not come whole.
func (b *Budget) EvictReading() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for each := range b.connections {
		if each.phase.CompareAndSwap(int32(Reading), int32(Evicted)) {
			b.evicted.Add(1)
			each.client.Evict(Reading)
		}
	}
}

// candidates returns the connections that may be evicted, in order. While only memory is wanted, those that hold none
// for a body are left out, unless the connections themselves use up the memory. Those on the way out count as evicted.
func (b *Budget) candidates(now time.Duration, wanted need) []candidate {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var found []candidate
	leaving := need{}
	for each := range b.connections {
		seen := candidate{
			connection: each, phase: Phase(each.phase.Load()),
			progressAt: time.Duration(each.progressAt.Load()), bytes: each.bytes.Load() + b.limits.ConnectionBytes,
			holdsBody: each.bytes.Load() > 0,
		}
		switch {
		case seen.phase == Evicted:
			leaving.connections++
			leaving.bytes += seen.bytes
		case each == wanted.spared, seen.phase == Serving, now-seen.progressAt < minStall:
		default:
			found = append(found, seen)
		}
	}
	if leaving.connections >= wanted.connections && leaving.bytes >= wanted.bytes {
		return nil
	}
	slices.SortFunc(found, func(left, right candidate) int {
		return cmp.Or(
			cmp.Compare(rank(left, wanted), rank(right, wanted)),
			cmp.Compare(left.progressAt, right.progressAt),
		)
	})
	return found
}

// rank orders kinds of candidates: lower ones are evicted first.
func rank(seen candidate, wanted need) int {
	switch {
	case seen.phase == Idle && !seen.holdsBody:
		return 2
	case wanted.connections <= 0 && !seen.holdsBody:
		return 1
	default:
		return 0
	}
}
