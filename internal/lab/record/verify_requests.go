package record

import (
	"fmt"
	"maps"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// checkRequests counts the logical requests by what their callers know, and
// those which ran though they must not have, or more than once.
func (c *checker) checkRequests() {
	c.summary.Attempts = len(c.run.done)
	c.summary.Executions = len(c.run.starts)
	c.summary.Refusals = c.run.refusals
	c.summary.UntracedExecutions = c.run.untraced
	for _, identity := range slices.Sorted(maps.Keys(c.run.requests)) {
		request := c.run.requests[identity]
		c.summary.Requests++
		outcome := request.outcome()
		c.count(outcome)
		starts := c.run.startsByRequest[identity]
		if outcome == fault.NotRun && len(starts) > 0 {
			c.violate(request.violation(CountNotRunButRan, starts[0],
				fmt.Sprintf("every attempt was answered not_run, but it ran %d times", len(starts))))
			continue
		}
		c.checkAttempts(request)
	}
	c.checkRanTwice()
}

func (c *checker) count(outcome fault.Outcome) {
	switch outcome {
	case fault.Completed:
		c.summary.Answered++
	case fault.NotRun:
		c.summary.NotRun++
	case fault.Unknown:
		c.summary.Unknown++
	}
}

// outcome is what the caller knows after all attempts: an attempt without a
// done line may have run.
func (r *logicalRequest) outcome() fault.Outcome {
	known := fault.NotRun
	if r.sent > len(r.done) {
		known = fault.Unknown
	}
	for _, done := range r.done {
		if done.Outcome == fault.Completed {
			return fault.Completed
		}
		if done.Outcome != fault.NotRun {
			known = fault.Unknown
		}
	}
	return known
}

func (r *logicalRequest) violation(count Count, start Execution, detail string) Violation {
	return Violation{
		Count:   count,
		Service: r.first.Service,
		Key:     r.first.Key,
		Request: r.first.Request,
		Server:  start.Server,
		AtNs:    start.MonotonicNs,
		Detail:  detail,
	}
}

// checkAttempts finds attempts that were answered not_run but ran themselves,
// where other attempts of the same request may well have run.
func (c *checker) checkAttempts(request *logicalRequest) {
	for _, done := range request.done {
		starts := c.run.startsByAttempt[done.Attempt]
		if done.Outcome == fault.NotRun && len(starts) > 0 {
			c.violate(request.violation(CountNotRunButRan, starts[0],
				fmt.Sprintf("attempt %s was answered not_run (%s), but it ran", done.Attempt, done.ErrorKind)))
		}
	}
}

// checkRanTwice goes by the back ends' records, so that it also finds requests
// of a caller whose record is gone.
func (c *checker) checkRanTwice() {
	for _, identity := range slices.Sorted(maps.Keys(c.run.startsByRequest)) {
		starts := c.run.startsByRequest[identity]
		if len(starts) < 2 || c.repeatable(identity, starts) {
			continue
		}
		second := starts[1]
		c.violate(Violation{
			Count:   CountRanTwice,
			Service: second.Service,
			Key:     second.Key,
			Request: identity,
			Server:  second.Server,
			AtNs:    second.MonotonicNs,
			Detail:  fmt.Sprintf("ran %d times, first on %s", len(starts), starts[0].Server),
		})
	}
}

// repeatable prefers the caller's word to what reached the back end.
func (c *checker) repeatable(identity string, starts []Execution) bool {
	if request, known := c.run.requests[identity]; known {
		return request.first.Repeatable
	}
	return !slices.ContainsFunc(starts, func(start Execution) bool { return !start.Repeatable })
}
