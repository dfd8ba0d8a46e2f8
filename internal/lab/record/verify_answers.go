package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// checkAnswers finds answers that are not whole or belong to another request.
func (c *checker) checkAnswers() {
	for _, done := range c.run.done {
		if done.Body != BodyDamaged && done.Body != BodyForeign {
			continue
		}
		c.violate(attemptViolation(CountWrongAnswer, done, string(done.Body)+" answer: "+done.Detail))
	}
}

func attemptViolation(count Count, done Attempt, detail string) Violation {
	return Violation{
		Count:   count,
		Service: done.Service,
		Key:     done.Key,
		Request: done.Request,
		AtNs:    done.ReceivedNs,
		Detail:  detail,
	}
}

// checkCutOff finds attempts that a planned stop cut off.
func (c *checker) checkCutOff() {
	for _, done := range c.run.done {
		for _, event := range c.run.events {
			if event.Kind == EventPlannedStop && c.cutOffBy(done, event) {
				c.violate(attemptViolation(CountCutOff, done,
					"cut off by the planned stop of "+cmp.Or(event.Router, event.Server)+": "+done.Detail))
				break
			}
		}
	}
}

func (c *checker) cutOffBy(done Attempt, stop Event) bool {
	if done.ReceivedNs < stop.FromNs || (stop.ToNs != 0 && done.SentNs > stop.ToNs) {
		return false
	}
	if stop.Router != "" {
		return done.Router == stop.Router && done.Transport == TransportLost
	}
	return isCutOffAnswer(done) && c.ranOn(done, stop.Server)
}

// isCutOffAnswer tells whether a router lost the back end in mid-exchange.
func isCutOffAnswer(done Attempt) bool {
	return done.ErrorKind == fault.ConnectionLost || done.ErrorKind == fault.AnswerTruncated
}

func (c *checker) ranOn(done Attempt, server string) bool {
	starts := c.run.startsByRequest[cmp.Or(done.IdempotencyKey, done.Request)]
	return slices.ContainsFunc(starts, func(start Execution) bool {
		return start.Server == server && done.SentNs <= start.MonotonicNs && start.MonotonicNs <= done.ReceivedNs
	})
}

// serviceKey names a key of a service; Key is empty for the whole service.
type serviceKey struct {
	service string
	key     string
}

// measureOutages finds the longest outage of any service and of any key.
func (c *checker) measureOutages() {
	outages := make(map[serviceKey]*Outage)
	ends := make(map[string]int64)
	for _, done := range c.run.done {
		ends[done.Service] = done.ReceivedNs
		addOutage(outages, serviceKey{service: done.Service}, done)
		if done.Key != "" {
			addOutage(outages, serviceKey{done.Service, done.Key}, done)
		}
	}
	for name, outage := range outages {
		outage.End(ends[name.service])
		longest := float64(outage.LongestNs()) / float64(time.Millisecond)
		if name.key == "" {
			c.summary.MaxUnavailableMs = max(c.summary.MaxUnavailableMs, longest)
			continue
		}
		c.summary.MaxKeyUnavailableMs = max(c.summary.MaxKeyUnavailableMs, longest)
	}
}

func addOutage(outages map[serviceKey]*Outage, name serviceKey, done Attempt) {
	if outages[name] == nil {
		outages[name] = &Outage{}
	}
	outages[name].Add(done)
}

// checkDrains finds executions that began too long after the server's mark.
func (c *checker) checkDrains() {
	limit := c.inputs.DrainLimit.Nanoseconds()
	for _, start := range c.run.starts {
		for _, event := range c.run.events {
			marked := event.Kind == EventDrain && event.Server == start.Server
			ended := event.ToNs != 0 && start.MonotonicNs >= event.ToNs
			if !marked || ended || start.MonotonicNs <= event.FromNs+limit {
				continue
			}
			late := time.Duration(start.MonotonicNs - event.FromNs)
			c.violate(startViolation(CountLateToDrained, start, "began "+late.String()+" after the mark"))
			break
		}
	}
}

func startViolation(count Count, start Execution, detail string) Violation {
	return Violation{
		Count:   count,
		Service: start.Service,
		Key:     start.Key,
		Request: start.Request,
		Server:  start.Server,
		AtNs:    start.MonotonicNs,
		Detail:  detail,
	}
}
