package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A gateway of hundreds meets one of hundreds of instances about once a minute and learns
// nothing of it, while instances of one service differ in speed by a factor of two and
// more. All gateways together meet it several times a second: their reports are summed
// here, and what differs from the mean by more than chance goes into the directory, by
// which each gateway chooses.

const (
	// publishInterval is the time between two looks at the service times.
	publishInterval = 500 * time.Millisecond
	// leastTimeRatio is by how much a service time must differ from what is known of it
	// to be published: less would change few choices.
	leastTimeRatio = 1.25
	// timeCertainty is how many standard errors it must differ by. The times of single
	// requests deviate from their mean by about that mean.
	timeCertainty = 1.5
	// leastAnswers is the number of answers below which a mean says nothing.
	leastAnswers = 8
)

// publishTimes adds the service times that differ from what the directory says.
func (b *Batch) publishTimes() {
	if b.now-b.core.publishedAt < publishInterval {
		return
	}
	b.core.publishedAt = b.now
	for instance := range b.view.EachInstance() {
		demand, found := b.core.demands[instance.Service]
		if !found || instance.State == directory.InstanceGone || !b.chosenFreely(instance.Service) {
			continue
		}
		known, met := demand.speeds[instance.ID]
		if !met {
			continue
		}
		if measured, differs := demand.differs(known, instance); differs {
			b.times = append(b.times, directory.InstanceTime{ID: instance.ID, ServiceTime: measured})
		}
	}
}

// chosenFreely reports whether gateways choose among the instances of a service. Keys have
// one holder, and are placed by the service times here.
func (b *Batch) chosenFreely(service string) bool {
	configured, found := b.view.Service(service)
	return found && !configured.Keyed
}

// differs returns the service time of an instance, and whether it differs from what the
// directory says by more than chance. One of which it says nothing has the mean of its
// service.
func (d *demand) differs(known *speed, instance directory.Instance) (time.Duration, bool) {
	if known.answers < leastAnswers || known.latency <= 0 || d.mean <= 0 {
		return 0, false
	}
	expected := d.mean
	if instance.ServiceTime > 0 {
		expected = instance.ServiceTime.Seconds()
	}
	measured := known.latency
	ratio := max(measured/expected, expected/measured)
	bound := max(leastTimeRatio, 1+timeCertainty/math.Sqrt(min(known.answers, 1/latencySmoothing)))
	return time.Duration(measured * float64(time.Second)).Round(time.Millisecond), ratio >= bound
}
