package balance

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// An instance that rejects a request is either full, or it rejects some requests although it has room: a
// fault of its own, which the next request may not meet. Where only that instance may run the request, a
// resend is worthwhile only in the second case, since a full instance would reject it again.

const (
	// decayTime is the time constant of the decaying counts of requests: several times as long as most
	// requests take.
	decayTime = 2 * time.Second
	// roomyUtilization is the utilization of the slots below which an instance counts as having room. With two
	// slots, one in three requests then finds both taken, and hardly any finds a queue of eight full.
	roomyUtilization = 0.5
)

// Fleet describes the senders and instances of a service.
type Fleet struct {
	// Senders is the number of processes that send requests to the service, including this one.
	Senders int
	// Slots is the total over all instances of the service.
	Slots int
}

// HasRoom estimates whether an instance that has just rejected a request of this process should have had
// room for it. It extrapolates from this process's own requests to those of all senders: the ones to the
// whole service show how busy its instances are on average, and the ones to the instance whether it is asked
// for far more than the others. For example, where each of 985 senders sends an instance one request in half
// an hour, a second request from this process within two seconds means that the key is a hot one.
func (b *Balancer) HasRoom(now time.Duration, instance directory.Instance, fleet Fleet) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	needed := b.serviceLatency[instance.Service]
	if needed == 0 {
		needed = b.settings.FirstLatency.Seconds()
	}
	// slotsInUse returns the slots that all senders together keep in use if each has sent as many requests
	// recently.
	slotsInUse := func(sent float64) float64 {
		return sent / decayTime.Seconds() * needed * float64(max(fleet.Senders, 1))
	}
	const thisRequest = 1
	own := 0.0
	if known, found := b.states[instance.ID]; found {
		own = max(known.sent.valueAt(now)-thisRequest, 0)
	}
	all := b.sent[instance.Service].valueAt(now)
	return slotsInUse(own) < roomyUtilization*float64(max(instance.Slots, 1)) &&
		slotsInUse(all) < roomyUtilization*float64(max(fleet.Slots, 1))
}

// decayingCount is an exponentially decaying count of requests.
type decayingCount struct {
	count     float64
	updatedAt time.Duration
}

// valueAt returns the count at a time.
func (s decayingCount) valueAt(now time.Duration) float64 {
	return s.count * math.Exp(-max(0, now-s.updatedAt).Seconds()/decayTime.Seconds())
}

// increment returns the count with one more request.
func (s decayingCount) increment(now time.Duration) decayingCount {
	return decayingCount{count: s.valueAt(now) + 1, updatedAt: now}
}
