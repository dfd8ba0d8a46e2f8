package heartbeat

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// demandWindow is the time constant of request rates: a request counts by a factor of e less for each
// demandWindow since it was reported.
const demandWindow = 1200 * time.Millisecond

// Report contains what one gateway counted for a service since its last report.
type Report struct {
	Service string `msgpack:"s"`
	// Keys and Counts are the numbers of requests by key, in parallel.
	Keys   []uint16 `msgpack:"k"`
	Counts []uint16 `msgpack:"c"`
	// Instances are the instances that sent answers.
	Instances []InstanceReport `msgpack:"i"`
}

// InstanceReport contains what one gateway counted for an instance.
type InstanceReport struct {
	ID       directory.InstanceID `msgpack:"i"`
	Answered uint32               `msgpack:"a"`
	// BusyMs is the sum of the response times of all answers, in milliseconds.
	BusyMs uint32 `msgpack:"b"`
	// Limit is the request rate that the instance declares to accept from all gateways together, in
	// requests per second; zero if it declares none.
	Limit float64 `msgpack:"l,omitempty"`
}

// demand is what is known about the requests for one service.
type demand struct {
	// rates react to a change at once, but have a high variance at low rates.
	rates keyRates
	// longRates are the rates over longWindow.
	longRates keyRates
	// timings are the measured service times of each instance.
	timings map[directory.InstanceID]*timing
	// meanServiceTime is the mean over all instances, in seconds.
	meanServiceTime float64
	// hot are the keys with a high rate.
	hot map[directory.Key]bool
}

func newDemand(now time.Duration) *demand {
	return &demand{rates: newKeyRates(now, demandWindow), longRates: newKeyRates(now, longWindow), timings: make(map[directory.InstanceID]*timing), hot: make(map[directory.Key]bool)}
}

// meanSmoothing is the weight that each answer of a report has in meanServiceTime.
const meanSmoothing = 0.05

// addReport adds the counts of a gateway. slotsOf returns the slots of an instance.
func (d *demand) addReport(now time.Duration, report Report, slotsOf func(directory.InstanceID) int) {
	d.advance(now)
	for index, key := range report.Keys {
		if index < len(report.Counts) {
			d.rates.count(directory.Key(key), float64(report.Counts[index]))
			d.longRates.count(directory.Key(key), float64(report.Counts[index]))
			d.watch(directory.Key(key))
		}
	}
	for _, instance := range report.Instances {
		if instance.Answered == 0 {
			continue
		}
		const milliseconds = 1000
		newest := float64(instance.BusyMs) / float64(instance.Answered) / milliseconds
		weight := min(meanSmoothing*float64(instance.Answered), 1)
		d.timingOf(instance.ID).addReport(now, instance.Answered, newest, slotsOf(instance.ID))
		d.timingOf(instance.ID).setLimit(now, instance.Limit)
		d.meanServiceTime = weightedMean(d.meanServiceTime, newest, weight)
	}
}

// advance decays the rates up to now.
func (d *demand) advance(now time.Duration) {
	d.rates.advance(now)
	d.longRates.advance(now)
}

// weightedMean updates an exponentially weighted mean; zero stands for no value yet.
func weightedMean(mean, newest, weight float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + weight*(newest-mean)
}

// rate returns the requests per second for a range of keys.
func (d *demand) rate(first, last directory.Key) float64 { return d.rates.between(first, last) }

// serviceTimeOf returns how long an instance needs for a request, without the time in its queue, in
// seconds. It is at most four times the mean of the service, but at least serviceTimeAtLimit; for an
// instance without measurements it is the mean.
func (d *demand) serviceTimeOf(now time.Duration, id directory.InstanceID, slots int) float64 {
	const maxRatio = 4
	timing, found := d.timings[id]
	if !found {
		return d.meanServiceTime
	}
	return max(min(timing.serviceTime(now, slots), maxRatio*d.meanServiceTime), timing.serviceTimeAtLimit(now, slots))
}

// limited reports whether an instance declares a limit.
func (d *demand) limited(now time.Duration, id directory.InstanceID) bool {
	timing, found := d.timings[id]
	return found && timing.serviceTimeAtLimit(now, 1) > 0
}

// AddReport adds a gateway's report to the demand for its service.
func (c *Core) AddReport(now time.Duration, report Report) {
	c.demandOf(now, report.Service).addReport(now, report, c.slotsOf)
}

// slotsOf returns the slots of an instance, or 1 if they are not known.
func (c *Core) slotsOf(id directory.InstanceID) int {
	if state, tracked := c.heartbeats[id]; tracked {
		return max(state.slots, 1)
	}
	return 1
}

// demandOf returns the demand for a service, decayed up to now.
func (c *Core) demandOf(now time.Duration, service string) *demand {
	existing, found := c.demands[service]
	if !found {
		existing = newDemand(now)
		c.demands[service] = existing
	}
	existing.advance(now)
	return existing
}
