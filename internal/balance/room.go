package balance

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// An instance that rejects a request is full, or it rejects a part of them though it has room: a
// fault of its own, which the next request may not meet. Where an instance alone may run a request
// it is worth sending again in the second case only: a full one would reject it once more.

const (
	// useWindow is how far back requests count for how much of an instance is in use: some times
	// as long as most requests take.
	useWindow = 2 * time.Second
	// roomyUse is the share of the slots in use below which an instance has room: with two slots
	// one in three requests then finds both taken, and hardly any a queue of eight full.
	roomyUse = 0.5
)

// HasRoom reports whether an instance that has just rejected a request of this process should have
// had room for it, as far as can be told from the requests that this one of a number of alike
// senders has sent it: where each of 985 sends a request in half an hour, and this one a second within two
// seconds, the key is a hot one.
func (b *Balancer) HasRoom(now time.Duration, service string, instance directory.Instance, senders int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	needed := b.latency[service]
	if needed == 0 {
		needed = b.settings.FirstLatency.Seconds()
	}
	known, found := b.loads[instance.ID]
	if !found {
		return true
	}
	const thisOne = 1
	others := max(known.sentOfLate(now)-thisOne, 0) / useWindow.Seconds()
	return others*float64(max(senders, 1))*needed < roomyUse*float64(max(instance.Slots, 1))
}

// sentOfLate is the number of requests sent, of which earlier ones count less and less.
func (l *load) sentOfLate(now time.Duration) float64 {
	return l.sent * math.Exp(-max(0, now-l.sentAt).Seconds()/useWindow.Seconds())
}

// countSent counts a request.
func (l *load) countSent(now time.Duration) {
	l.sent = l.sentOfLate(now) + 1
	l.sentAt = now
}
