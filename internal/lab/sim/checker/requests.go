package checker

import "github.com/thorntiller/thorntiller/internal/fault"

// requestRecord is what is known of one request of a caller.
type requestRecord struct {
	executions int
	repeatable bool
	answered   bool
	notRun     bool
	kind       fault.Kind
}

type requestChecker struct {
	requests  map[string]*requestRecord
	completed int
	refused   int
	unknown   int
}

func newRequestChecker() requestChecker {
	return requestChecker{requests: make(map[string]*requestRecord)}
}

func (c *Checker) request(id string) *requestRecord {
	found, ok := c.requests.requests[id]
	if !ok {
		found = &requestRecord{}
		c.requests.requests[id] = found
	}
	return found
}

func (c *Checker) countExecution(execution Execution) {
	known := c.request(execution.Request)
	known.executions++
	if !execution.Repeatable && known.executions > 1 {
		c.Fail(AtMostOnce, "request %s, which may not be repeated, runs a second time, on %s", execution.Request, execution.Incarnation)
	}
	if known.notRun {
		c.Fail(RefusalTrue, "request %s runs on %s after its caller was told %s (not run)", execution.Request, execution.Incarnation, known.kind)
	}
}

// Answered records the final answer to a caller; kind is empty for a completed
// request, whose answer must be the one to this request.
func (c *Checker) Answered(id string, kind fault.Kind, answerTo string) {
	known := c.request(id)
	if known.answered {
		c.Fail(OwnAnswer, "request %s is answered twice", id)
	}
	known.answered = true
	known.kind = kind
	if kind == "" {
		c.requests.completed++
		if answerTo != id || known.executions == 0 {
			c.Fail(OwnAnswer, "request %s gets the answer to %q after %d executions", id, answerTo, known.executions)
		}
		return
	}
	if fault.AnswerFor(kind).Outcome != fault.NotRun {
		c.requests.unknown++
		return
	}
	c.requests.refused++
	known.notRun = true
	if known.executions > 0 {
		c.Fail(RefusalTrue, "request %s is refused with %s (not run) after %d executions", id, kind, known.executions)
	}
}

// Answers returns how many requests were completed, refused and left unknown.
func (c *Checker) Answers() (completed, refused, unknown int) {
	return c.requests.completed, c.requests.refused, c.requests.unknown
}
