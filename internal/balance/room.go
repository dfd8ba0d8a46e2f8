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

// Fleet is what shares the instances of a service.
type Fleet struct {
	// Senders is the number of processes like this one that send requests.
	Senders int
	// Slots are those of all instances of the service.
	Slots int
}

// HasRoom reports whether an instance that has just rejected a request of this process should have
// had room for it, as far as can be told from the requests that this one of the senders has sent:
// those to the whole service tell how busy its instances are in the mean, and those to the instance
// whether it is asked for far more than the others. Where each of 985 sends an instance a request in
// half an hour, and this one a second within two seconds, the key is a hot one.
func (b *Balancer) HasRoom(now time.Duration, instance directory.Instance, fleet Fleet) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	needed := b.latency[instance.Service]
	if needed == 0 {
		needed = b.settings.FirstLatency.Seconds()
	}
	// inUse are the slots that a number of requests of late keeps in use, those of all senders.
	inUse := func(sent float64) float64 {
		return sent / useWindow.Seconds() * needed * float64(max(fleet.Senders, 1))
	}
	const thisOne = 1
	own := 0.0
	if known, found := b.loads[instance.ID]; found {
		own = max(known.sent.ofLate(now)-thisOne, 0)
	}
	all := b.sent[instance.Service].ofLate(now)
	return inUse(own) < roomyUse*float64(max(instance.Slots, 1)) && inUse(all) < roomyUse*float64(max(fleet.Slots, 1))
}

// sending counts requests sent, of which earlier ones count less and less.
type sending struct {
	count float64
	at    time.Duration
}

// ofLate is the number of requests as of now.
func (s sending) ofLate(now time.Duration) float64 {
	return s.count * math.Exp(-max(0, now-s.at).Seconds()/useWindow.Seconds())
}

// with returns the count with one more request.
func (s sending) with(now time.Duration) sending { return sending{count: s.ofLate(now) + 1, at: now} }
