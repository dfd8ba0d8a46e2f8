package startup

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Step is a step of a start.
type Step string

// Steps in the order in which a role takes those that it has.
const (
	StepDataFolderLocked  Step = "data_folder_locked"
	StepListening         Step = "listening"
	StepGroupKnown        Step = "group_known"
	StepStateRecovered    Step = "state_recovered"
	StepControllerReached Step = "controller_reached"
	StepTableReceived     Step = "table_received"
	StepReady             Step = "ready"
)

const (
	fieldStep       = "step"
	fieldProcessAge = "process_age_ms"
	fieldAttempts   = "attempts"
	fieldReason     = "reason"
	fieldFailures   = "failures"
	// fieldOutage is the time since the first failure, in milliseconds.
	fieldOutage = "outage_ms"
)

const (
	// minPoll and maxPoll bound the time between two looks at the readiness, which grows as pollShare of the time
	// that the process has run.
	minPoll   = 20 * time.Millisecond
	maxPoll   = time.Second
	pollShare = 20
)

// Progress follows one process from its start on. It is safe for concurrent use.
type Progress struct {
	// Dependencies has the other processes that could not be reached.
	Dependencies *Dependencies

	log   *logrus.Entry
	clock clock.Clock
	// startedAt is the reading of the clock at the start of the process, or at New if that is not known.
	startedAt time.Duration

	mutex   sync.Mutex
	reached map[Step]struct{}
	// ready reports the readiness without the addresses that do not answer.
	ready telemetry.Ready
}

// New returns the progress of this process.
func New(system clock.Clock, log *logrus.Entry) *Progress {
	startedAt := system.Now()
	if age, known := ProcessAge(); known {
		startedAt -= age
	}
	progress := &Progress{
		Dependencies: newDependencies(), log: log, clock: system, startedAt: startedAt, reached: make(map[Step]struct{}),
	}
	progress.WaitFor("the first step of the start")
	return progress
}

// Reach logs that the process has come to a step, once.
func (p *Progress) Reach(step Step) {
	p.mutex.Lock()
	_, before := p.reached[step]
	p.reached[step] = struct{}{}
	p.mutex.Unlock()
	if before {
		return
	}
	telemetry.With(p.log, telemetry.EventStartStep).WithField(fieldStep, step).WithField(fieldProcessAge, p.age().Milliseconds()).
		Info("step of the start reached")
}

// WaitFor makes the process not ready, and says what it waits for.
func (p *Progress) WaitFor(what string) {
	p.Follow(func() (bool, string) { return false, "waiting for " + what })
}

// Follow makes the process ready when ready says so.
func (p *Progress) Follow(ready telemetry.Ready) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ready = ready
}

// Ready is a telemetry.Ready whose reasons name the addresses that do not answer, one a line.
func (p *Progress) Ready() (ready bool, reason string) {
	if ready, reason = p.state(); ready {
		return true, ""
	}
	var text strings.Builder
	text.WriteString(reason)
	for _, attempt := range p.Dependencies.Attempts(p.clock.Now()) {
		fmt.Fprintf(&text, "\n%s: failed attempts: %d, the last one %d ms ago: %s", attempt.Address, attempt.Failures, attempt.LastMs, attempt.Error)
	}
	return false, text.String()
}

// state reports the readiness without the addresses that do not answer.
func (p *Progress) state() (ready bool, reason string) {
	p.mutex.Lock()
	current := p.ready
	p.mutex.Unlock()
	return current()
}

// Failed records a failed attempt to reach an address. It reports whether the caller is to log it: repeated failures
// are part of the lines of Watch.
func (p *Progress) Failed(address string, err error) (first bool) {
	return p.Dependencies.Failed(p.clock.Now(), address, err)
}

// Answered records that an address answered. It returns the outage that this ends, and false if there was none.
func (p *Progress) Answered(address string) (Outage, bool) {
	return p.Dependencies.Answered(p.clock.Now(), address)
}

// LogAnswered is Answered, and logs the outage that this ends.
func (p *Progress) LogAnswered(address string) {
	outage, ended := p.Answered(address)
	if !ended {
		return
	}
	outage.describe(telemetry.With(p.log, telemetry.EventControllerReached)).WithField(telemetry.FieldAddress, address).
		Info("the controller answers again")
}

// describe adds an outage to a log line.
func (o Outage) describe(line *logrus.Entry) *logrus.Entry {
	return line.WithField(fieldFailures, o.Failures).WithField(fieldOutage, o.Duration.Milliseconds())
}

// WithAnswered is Answered, and adds the outage that this ends to a log line.
func (p *Progress) WithAnswered(address string, line *logrus.Entry) *logrus.Entry {
	if outage, ended := p.Answered(address); ended {
		return outage.describe(line)
	}
	return line
}

// Watch logs when the process becomes ready, and what it waits for while it is not, until the context ends.
func (p *Progress) Watch(ctx context.Context) {
	var due notices
	for ctx.Err() == nil {
		isReady, reason := p.state()
		switch due.update(p.clock.Now(), isReady) {
		case noticeReady:
			p.logReady()
		case noticeNotReady:
			p.logNotReady(reason, p.clock.Now()-due.since)
		case noticeNone:
		}
		clock.Sleep(ctx, min(max(p.age()/pollShare, minPoll), maxPoll))
	}
}

// Register registers the metrics of the readiness and of the dependencies.
func (p *Progress) Register(registry *telemetry.Metrics) {
	registry.GaugeFunction("ready", "1 while the process is ready to serve, else 0.", func() float64 {
		if ready, _ := p.state(); ready {
			return 1
		}
		return 0
	})
	registry.CounterFunction("dependency_failures_total", "Failed attempts to reach controllers, or other gateways in their place, and connections to them that broke.", nil,
		func() float64 { return float64(p.Dependencies.Failures()) })
}

func (p *Progress) logReady() {
	p.mutex.Lock()
	_, again := p.reached[StepReady]
	p.mutex.Unlock()
	if !again {
		p.Reach(StepReady)
		return
	}
	telemetry.With(p.log, telemetry.EventReadyAgain).WithField(fieldProcessAge, p.age().Milliseconds()).Info("ready again")
}

func (p *Progress) logNotReady(reason string, since time.Duration) {
	telemetry.With(p.log, telemetry.EventNotReady).WithField(fieldReason, reason).
		WithField(telemetry.FieldDuration, since.Milliseconds()).WithField(fieldProcessAge, p.age().Milliseconds()).
		WithField(fieldAttempts, p.Dependencies.Attempts(p.clock.Now())).Warn("not ready")
}

// age returns the time since the start of the process.
func (p *Progress) age() time.Duration { return p.clock.Now() - p.startedAt }
