package router

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// executor carries out the actions that the core asks for.
type executor struct {
	clock     clock.Clock
	builder   *table.Builder
	fleet     *fleet.Fleet
	freshness *table.Freshness
	core      *execution.Core
	metrics   *metrics
	log       *logrus.Entry
	guard     *crashwatch.Guard
	crashes   *crashwatch.Watch
	overdue   *overdueWatch
}

// outgoing is one request with its state in the core.
type outgoing struct {
	exchange  *Exchange
	execution *execution.Execution
	// target, client and attemptID are of the newest attempt. A cancel must go
	// to the very process that got the attempt, thus by the same client.
	target    *fleet.BackEnd
	client    *forward.Client
	attemptID string
	// withdrawn is why the newest attempt was not sent; nil if it was.
	withdrawn *fault.Error
}

// run is the innermost Handler: it acts until the core finishes the request.
func (e *executor) run(ctx context.Context, exchange *Exchange) error {
	if failure := e.guard.Check(&exchange.suspicion); failure != nil {
		return failure
	}
	request := &outgoing{exchange: exchange, execution: e.core.Begin(&exchange.Request, exchange.service)}
	defer request.execution.End()
	changed := e.builder.Changed()
	action := request.execution.Plan(e.reading())
	for action.Kind != execution.Finish {
		if action.Kind == execution.Plan {
			changed = e.builder.Changed()
		}
		action = e.carryOut(ctx, request, action, changed)
	}
	if action.Failure == nil {
		return nil
	}
	return action.Failure
}

// carryOut does what an action asks for and returns the next one.
func (e *executor) carryOut(ctx context.Context, request *outgoing, action execution.Action, changed <-chan struct{}) execution.Action {
	switch action.Kind {
	case execution.Wait:
		return e.wait(ctx, request, action, changed)
	case execution.Acquire:
		request.target = e.fleet.Get(action.Decision.Server)
		err := request.target.Queue.Acquire(ctx, request.exchange.Request.Deadline)
		return request.execution.Acquired(e.reading(), request.target.Queue, err)
	case execution.Attempt:
		return e.attempt(request, action)
	case execution.Cancel:
		// An error proves nothing.
		proved, err := request.client.Cancel(request.attemptID, action.Timeout)
		return e.counted(request, request.execution.Cancelled(e.clock.Now(), proved && err == nil))
	default:
		return request.execution.Plan(e.reading())
	}
}

func (e *executor) reading() execution.Reading {
	now := e.clock.Now()
	return execution.Reading{Now: now, Table: e.builder.Table(), Fresh: e.freshness.Fresh(now)}
}

// wait waits for a change of the table or the end of the action's time.
func (e *executor) wait(ctx context.Context, request *outgoing, action execution.Action, changed <-chan struct{}) execution.Action {
	timer := time.NewTimer(action.Until - e.clock.Now())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return request.execution.Stopped()
	}
	return execution.Action{Kind: execution.Plan}
}

// attempt sends the request once and tells the core what came back.
func (e *executor) attempt(request *outgoing, action execution.Action) execution.Action {
	exchange := request.exchange
	server := action.Decision.Server
	failure := e.guard.CheckBeforeSend(&exchange.suspicion)
	if failure == nil {
		failure = e.sendGuarded(request, action)
	}
	if failure != nil && failure.Kind == fault.AnswerMismatched {
		telemetry.WithError(e.log, telemetry.EventAnswerMismatched, failure).WithField("server", server.ID).Error("answer to another request")
	}
	if request.withdrawn != nil {
		return request.execution.Withdrawn(e.reading(), request.withdrawn)
	}
	next := request.execution.Answered(e.clock.Now(), failure)
	e.logEvents(server, next.Events, failure)
	return e.counted(request, next)
}

// sendGuarded sends a request that is not in quarantine, and notes whether its server crashed. One that
// was in flight at a crash before is not sent again: it may take down another server.
func (e *executor) sendGuarded(request *outgoing, action execution.Action) *fault.Error {
	exchange := request.exchange
	if exchange.suspicion.Suspected() {
		request.execution.ForbidResend()
	}
	began := e.clock.Now()
	failure := e.send(request, action.Decision, action.Timeout)
	if failure == nil {
		failure = judgeAnswer(request.target, exchange.Answer)
	}
	e.guard.EndTrial(&exchange.suspicion, failure)
	switch {
	case failure == nil:
		if exchange.Answer.StatusCode() < fasthttp.StatusInternalServerError {
			e.guard.Answered(&exchange.suspicion)
		}
	case failure.Kind == fault.ConnectionLost || failure.Kind == fault.AnswerTruncated || failure.Kind == fault.DeadlineExceeded:
		e.noteLoss(exchange, action.Decision.Server, e.clock.Now()-began, failure)
	default:
	}
	return failure
}

// noteLoss takes an attempt that may have ended with its server. A server that leaves may end at any
// time, whatever it runs.
func (e *executor) noteLoss(exchange *Exchange, server *state.Server, took time.Duration, failure *fault.Error) {
	if server.Leaving || server.Intent != state.ServerActive {
		return
	}
	e.guard.Lost(e.crashes, &exchange.suspicion, crashwatch.Attempt{
		Service: string(server.Service), Instance: incarnationOf(server), Address: server.Address, RequestID: exchange.ID,
		Took: took, ConnectionEnded: failure.Kind != fault.DeadlineExceeded,
	})
}

// noteEnded tells of the servers of which another process runs than that which lost requests.
func (r *Router) noteEnded() {
	view := r.builder.Table()
	r.crashes.Check(func(id directory.InstanceID) bool {
		name, _, _ := strings.Cut(string(id), incarnationMark)
		server, found := view.Server(state.ServerID(name))
		return found && incarnationOf(server) != id
	})
}

// incarnationMark stands between a server's identifier and that of its process.
const incarnationMark = "#"

// incarnationOf names the process of a server that had the newest session.
func incarnationOf(server *state.Server) directory.InstanceID {
	return directory.InstanceID(string(server.ID) + incarnationMark + server.Session.Incarnation)
}

func (e *executor) send(request *outgoing, decision *dispatch.Decision, timeout time.Duration) *fault.Error {
	exchange := request.exchange
	request.attemptID = exchange.ID + "." + strconv.Itoa(request.execution.Attempts()+1)
	request.withdrawn = nil
	interrupt := &forward.Interrupt{}
	defer e.overdue.begin(interrupt, timeout)()
	attempt := forward.Attempt{
		ID: request.attemptID, Request: fasthttp.AcquireRequest(), Response: exchange.Answer, Timeout: timeout, Interrupt: interrupt,
		Check: func() *fault.Error {
			request.withdrawn = request.execution.MaySend(e.reading())
			return request.withdrawn
		},
	}
	defer fasthttp.ReleaseRequest(attempt.Request)
	exchange.fill(attempt.Request, decision, attempt.ID, timeout)
	exchange.Answer.Reset()
	e.metrics.attempts.WithLabelValues(string(exchange.service.Name)).Inc()
	request.client = clientOf(request.target)
	failure := request.client.Do(&attempt)
	if failure != nil && interrupt.Fired() && fault.AnswerFor(failure.Kind).Outcome == fault.Unknown {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the back end's answer was whole")
	}
	return failure
}

// judgeAnswer returns the refusal in an answer, and keeps its load report.
func judgeAnswer(target *fleet.BackEnd, answer *fasthttp.Response) *fault.Error {
	if load, found := forward.LoadOf(answer); found {
		target.ReportLoad(load.Running, load.Queued, load.Slots)
	}
	return forward.RefusalOf(answer)
}

// counted counts an attempt after which the request is sent again.
func (e *executor) counted(request *outgoing, next execution.Action) execution.Action {
	if next.Kind == execution.Plan && next.Failure != nil {
		e.metrics.resends.WithLabelValues(string(request.exchange.service.Name), string(next.Failure.Kind)).Inc()
	}
	return next
}

func (e *executor) logEvents(server *state.Server, events []execution.Event, failure *fault.Error) {
	for _, event := range events {
		switch event {
		case execution.ServerDraining:
			telemetry.With(e.log, telemetry.EventServerDraining).WithField("server", server.ID).Info("server takes no new work")
		case execution.ServerReadmitted:
			telemetry.With(e.log, telemetry.EventServerReadmitted).WithField("server", server.ID).Info("server gets requests again")
		case execution.ServerEjected:
			telemetry.WithError(e.log, telemetry.EventServerEjected, failure).WithField("server", server.ID).Warn("server gets no requests for a while")
		}
	}
}
