package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// With hundreds of gateways and hundreds of instances, a gateway sends a request to a given instance about
// once a minute and cannot measure its service time, while instances of one service differ in speed by a
// factor of two and more. All gateways together send it several requests per second. Their reports are
// summed here, and service times that differ significantly from the mean are published in the directory
// for the gateways to use.

const (
	// timesPublishInterval is the time between two checks of the service times.
	timesPublishInterval = 500 * time.Millisecond
	// minTimeRatio is the ratio by which a service time must differ from the published one to be
	// published. A smaller difference would change few routing choices.
	minTimeRatio = 1.25
	// minStandardErrors is how many standard errors it must differ by. The standard deviation of
	// response times is about their mean.
	minStandardErrors = 1.5
	// minAnswers is the minimum number of answers for a meaningful mean.
	minAnswers = 8
)

// publishTimes publishes the service times that differ from those in the directory.
func (b *Batch) publishTimes() {
	if b.now-b.core.timesCheckedAt < timesPublishInterval {
		return
	}
	b.core.timesCheckedAt = b.now
	for instance := range b.view.EachInstance() {
		demand, found := b.core.demands[instance.Service]
		if !found || instance.State == directory.InstanceGone || !b.gatewaysChoose(instance.Service) {
			continue
		}
		timing, measured := demand.timings[instance.ID]
		if !measured {
			continue
		}
		if serviceTime, differs := demand.changedServiceTime(timing, instance); differs {
			b.times = append(b.times, directory.InstanceTime{ID: instance.ID, ServiceTime: serviceTime})
		}
	}
}

// gatewaysChoose reports whether gateways choose among the instances of a service. In a keyed service each
// key has one holder, and the leader places keys by service times.
func (b *Batch) gatewaysChoose(service string) bool {
	configured, found := b.view.Service(service)
	return found && !configured.Keyed
}

// changedServiceTime returns the service time of an instance, and whether it differs significantly from
// the published one, or from the mean of the service if none is published.
func (d *demand) changedServiceTime(timing *timing, instance directory.Instance) (time.Duration, bool) {
	if timing.answerCount < minAnswers || timing.latency <= 0 || d.meanServiceTime <= 0 {
		return 0, false
	}
	expected := d.meanServiceTime
	if instance.ServiceTime > 0 {
		expected = instance.ServiceTime.Seconds()
	}
	measured := timing.latency
	ratio := max(measured/expected, expected/measured)
	minRatio := max(minTimeRatio, 1+minStandardErrors/math.Sqrt(min(timing.answerCount, 1/latencySmoothing)))
	return time.Duration(measured * float64(time.Second)).Round(time.Millisecond), ratio >= minRatio
}
