package record

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultDrainLimit is how long after its mark a leaving server may still
	// get new work.
	DefaultDrainLimit = 5 * time.Second
	// DefaultForceLimit is how long an accepted configuration may take until it
	// is in force everywhere.
	DefaultForceLimit = 5 * time.Second
	// maxViolations bounds the violations that are told; all are counted.
	maxViolations = 1000
)

// Inputs name what Verify compares.
type Inputs struct {
	// BackendFiles hold Execution lines, CallerFiles Attempt lines and
	// EventFiles Event lines.
	BackendFiles []string
	CallerFiles  []string
	EventFiles   []string
	// DrainLimit and ForceLimit are the defaults when zero.
	DrainLimit  time.Duration
	ForceLimit  time.Duration
	Assignments AssignmentHistory
	Revisions   RevisionHistory
}

// Verify reads the record files of a run that has ended and counts each broken
// guarantee. It fails when a file cannot be read.
func Verify(inputs Inputs) (Summary, []Violation, error) {
	run, err := load(inputs)
	if err != nil {
		return Summary{}, nil, err
	}
	checking := &checker{run: run, inputs: inputs.withDefaults()}
	checking.checkRequests()
	checking.checkAnswers()
	checking.checkCutOff()
	checking.checkOwners()
	checking.checkDrains()
	checking.checkAssignments()
	checking.checkRevisions()
	checking.measureOutages()
	return checking.finish()
}

func (i Inputs) withDefaults() Inputs {
	i.DrainLimit = cmp.Or(i.DrainLimit, DefaultDrainLimit)
	i.ForceLimit = cmp.Or(i.ForceLimit, DefaultForceLimit)
	return i
}

// checker gathers the counts of one run.
type checker struct {
	run        *run
	inputs     Inputs
	summary    Summary
	violations []Violation
}

func (c *checker) violate(violation Violation) {
	c.summary.add(violation.Count)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation)
	}
}

func (c *checker) finish() (Summary, []Violation, error) {
	broken := c.summary.RanTwice + c.summary.NotRunButRan + c.summary.WrongAnswer + c.summary.CutOff +
		c.summary.DoubleOwner + c.summary.LostAssignments + c.summary.ConfigReverted + c.summary.LateToDrained
	c.summary.OK = broken == 0 && c.summary.Requests > 0
	return c.summary, c.violations, nil
}

// run is what the files of one run hold, by the questions that are asked.
type run struct {
	// starts are ordered by time.
	starts []Execution
	// startsByRequest has the starts of each logical request.
	startsByRequest map[string][]Execution
	// startsByAttempt has the starts of each attempt that back ends were told of.
	startsByAttempt map[string][]Execution
	finishes        map[executionID]Execution
	refusals        int
	untraced        int
	// requests has the attempts of each logical request.
	requests map[string]*logicalRequest
	// done has the done lines ordered by ReceivedNs.
	done   []Attempt
	events []Event
}

// executionID names one execution.
type executionID struct {
	incarnation string
	number      uint64
}

// logicalRequest is one request of a caller with all of its attempts.
type logicalRequest struct {
	first Attempt
	sent  int
	done  []Attempt
}

func load(inputs Inputs) (*run, error) {
	loaded := &run{
		startsByRequest: make(map[string][]Execution),
		startsByAttempt: make(map[string][]Execution),
		finishes:        make(map[executionID]Execution),
		requests:        make(map[string]*logicalRequest),
	}
	for _, path := range inputs.BackendFiles {
		if err := loaded.loadExecutions(path); err != nil {
			return nil, err
		}
	}
	for _, path := range inputs.CallerFiles {
		if err := loaded.loadAttempts(path); err != nil {
			return nil, err
		}
	}
	for _, path := range inputs.EventFiles {
		events, err := ReadFile[Event](path)
		if err != nil {
			return nil, err
		}
		loaded.events = append(loaded.events, events...)
	}
	slices.SortStableFunc(loaded.starts, func(a, b Execution) int { return cmp.Compare(a.MonotonicNs, b.MonotonicNs) })
	slices.SortStableFunc(loaded.done, func(a, b Attempt) int { return cmp.Compare(a.ReceivedNs, b.ReceivedNs) })
	return loaded, nil
}

func (r *run) loadExecutions(path string) error {
	lines, err := ReadFile[Execution](path)
	if err != nil {
		return err
	}
	for number, line := range lines {
		switch line.Kind {
		case ExecutionStart:
			r.addStart(line)
		case ExecutionFinish:
			r.finishes[executionID{line.Incarnation, line.Number}] = line
		case ExecutionRefuse:
			r.refusals++
		default:
			return eris.Errorf("%s:%d: kind is %q", path, number+1, line.Kind)
		}
	}
	return nil
}

func (r *run) addStart(line Execution) {
	r.starts = append(r.starts, line)
	request := cmp.Or(line.IdempotencyKey, line.Request)
	r.startsByRequest[request] = append(r.startsByRequest[request], line)
	if line.Attempt == "" {
		r.untraced++
		return
	}
	r.startsByAttempt[line.Attempt] = append(r.startsByAttempt[line.Attempt], line)
}

func (r *run) loadAttempts(path string) error {
	lines, err := ReadFile[Attempt](path)
	if err != nil {
		return err
	}
	for number, line := range lines {
		identity := cmp.Or(line.IdempotencyKey, line.Request)
		request, known := r.requests[identity]
		if !known {
			request = &logicalRequest{first: line}
			r.requests[identity] = request
		}
		switch line.Kind {
		case AttemptSent:
			request.sent++
		case AttemptDone:
			request.done = append(request.done, line)
			r.done = append(r.done, line)
		default:
			return eris.Errorf("%s:%d: kind is %q", path, number+1, line.Kind)
		}
	}
	return nil
}
