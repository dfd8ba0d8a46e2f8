package router

import (
	"context"
	"strconv"
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

// executor carries out the actions that the execution core returns.
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

// outgoingRequest is an exchange with its execution and its latest attempt.
type outgoingRequest struct {
	exchange  *Exchange
	execution *execution.Execution
	// target, client and attemptID belong to the latest attempt. A cancel must reach the same
	// process as the attempt, so it uses the same client.
	target    *fleet.BackEnd
	client    *forward.Client
	attemptID string
	// withdrawn is the reason why the latest attempt was not sent; nil if it was.
	withdrawn *fault.Error
}

// run is the innermost Handler. It carries out actions until the request is finished.
func (e *executor) run(ctx context.Context, exchange *Exchange) error {
	defer e.guard.End(&exchange.suspicion)
	remaining := exchange.Request.Deadline - e.clock.Now()
	if failure := e.guard.AwaitTrial(&exchange.suspicion, remaining, func() bool { return ctx.Err() != nil }); failure != nil {
		return failure
	}
	request := &outgoingRequest{exchange: exchange, execution: e.core.Begin(&exchange.Request, exchange.service)}
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

// carryOut carries out an action and returns the next one.
func (e *executor) carryOut(ctx context.Context, request *outgoingRequest, action execution.Action, changed <-chan struct{}) execution.Action {
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
		// After an error it is unknown whether the request ran.
		proved, err := request.client.Cancel(request.attemptID, action.Timeout)
		return e.countResend(request, request.execution.Cancelled(e.clock.Now(), proved && err == nil))
	default:
		return request.execution.Plan(e.reading())
	}
}

func (e *executor) reading() execution.Reading {
	now := e.clock.Now()
	return execution.Reading{Now: now, Table: e.builder.Table(), Fresh: e.freshness.Fresh(now)}
}

// wait waits for a change of the table, but no longer than the action's Until.
func (e *executor) wait(ctx context.Context, request *outgoingRequest, action execution.Action, changed <-chan struct{}) execution.Action {
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

// attempt sends the request once and passes the result to the execution.
func (e *executor) attempt(request *outgoingRequest, action execution.Action) execution.Action {
	exchange := request.exchange
	server := action.Decision.Server
	request.withdrawn = nil
	failure := e.guard.CheckBeforeSend(&exchange.suspicion)
	if failure == nil {
		failure = e.sendGuarded(request, action)
	}
	if failure != nil && failure.Kind == fault.AnswerMismatched {
		telemetry.WithError(e.log, telemetry.EventAnswerMismatched, failure).WithField("server", server.ID).
			Error("answer does not belong to the request that was sent")
	}
	if request.withdrawn != nil {
		return request.execution.Withdrawn(e.reading(), request.withdrawn)
	}
	next := request.execution.Answered(e.clock.Now(), failure)
	e.logEvents(server, next.Events, failure)
	return e.countResend(request, next)
}

// sendGuarded sends a request that is not in quarantine, and reports an attempt during which the server
// may have crashed. A request that was in flight during an earlier crash is not resent, because it may
// crash another server.
func (e *executor) sendGuarded(request *outgoingRequest, action execution.Action) *fault.Error {
	exchange := request.exchange
	if exchange.suspicion.Suspected() {
		request.execution.ForbidResend()
	}
	sentAt := e.clock.Now()
	failure := e.send(request, action.Decision, action.Timeout)
	if failure == nil {
		failure = checkAnswer(request.target, exchange.Answer)
	}
	if failure == nil {
		e.guard.EndTrial(&exchange.suspicion)
		if exchange.Answer.StatusCode() < fasthttp.StatusInternalServerError {
			e.guard.Answered(&exchange.suspicion)
		}
		return nil
	}
	lost := lostAttempt(exchange, action.Decision.Server, e.clock.Now()-sentAt)
	e.guard.FailTrial(&exchange.suspicion, lost, failure)
	switch failure.Kind {
	case fault.ConnectionLost, fault.AnswerTruncated, fault.DeadlineExceeded:
		lost.ConnectionEnded = failure.Kind != fault.DeadlineExceeded
		e.guard.Lost(e.crashes, &exchange.suspicion, lost)
	default:
	}
	return failure
}

// lostAttempt describes an attempt that ended without an answer, for the crash watch.
func lostAttempt(exchange *Exchange, server *state.Server, elapsed time.Duration) crashwatch.Attempt {
	return crashwatch.Attempt{
		Service: string(server.Service), Instance: server.Process(), Address: server.Address, RequestID: exchange.ID,
		Took: elapsed, Leaving: server.Leaving || server.Intent != state.ServerActive,
	}
}

// checkReplacedProcesses reports to the crash watch which of the server processes that lost requests have been
// replaced by a new process.
func (r *Router) checkReplacedProcesses() {
	view := r.builder.Table()
	r.crashes.Check(func(id directory.InstanceID) bool {
		server, found := view.Server(state.ServerOfProcess(id))
		return found && server.Process() != id
	})
}

// otherServers returns addresses of servers other than the one of a process.
func (r *Router) otherServers(id directory.InstanceID) []string {
	own := state.ServerOfProcess(id)
	var others crashwatch.Others
	r.builder.Table().EachServer(func(server *state.Server) {
		if server.ID != own && server.Session.Incarnation != "" {
			others.Add(server.Address)
		}
	})
	return others.Addresses()
}

func (e *executor) send(request *outgoingRequest, decision *dispatch.Decision, timeout time.Duration) *fault.Error {
	exchange := request.exchange
	request.attemptID = exchange.ID + "." + strconv.Itoa(request.execution.Attempts()+1)
	request.withdrawn = nil
	interrupt := &forward.Interrupt{}
	defer e.overdue.add(interrupt, timeout)()
	attempt := forward.Attempt{
		ID: request.attemptID, Request: fasthttp.AcquireRequest(), Response: exchange.Answer, Timeout: timeout, Interrupt: interrupt,
		Check: func() *fault.Error {
			request.withdrawn = request.execution.MaySend(e.reading())
			if request.withdrawn == nil {
				request.withdrawn = e.guard.CheckBeforeWrite(&exchange.suspicion)
			}
			return request.withdrawn
		},
	}
	defer fasthttp.ReleaseRequest(attempt.Request)
	exchange.fillAttemptRequest(attempt.Request, decision, attempt.ID, timeout)
	exchange.Answer.Reset()
	e.metrics.attempts.WithLabelValues(string(exchange.service.Name)).Inc()
	request.client = clientOf(request.target)
	failure := request.client.Do(&attempt)
	if failure != nil && interrupt.Fired() && fault.AnswerFor(failure.Kind).Outcome == fault.Unknown {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the back end's answer was whole")
	}
	return failure
}

// checkAnswer returns the answer's refusal, if it is one, and stores its load report.
func checkAnswer(target *fleet.BackEnd, answer *fasthttp.Response) *fault.Error {
	if load, found := forward.LoadOf(answer); found {
		target.ReportLoad(load.Running, load.Queued, load.Slots)
	}
	return forward.RefusalOf(answer)
}

// countResend counts a failed attempt after which the request is sent again, and returns
// the action unchanged.
func (e *executor) countResend(request *outgoingRequest, next execution.Action) execution.Action {
	if next.Kind == execution.Plan && next.Failure != nil {
		e.metrics.resends.WithLabelValues(string(request.exchange.service.Name), string(next.Failure.Kind)).Inc()
	}
	return next
}

func (e *executor) logEvents(server *state.Server, events []execution.Event, failure *fault.Error) {
	for _, event := range events {
		switch event {
		case execution.ServerDraining:
			telemetry.With(e.log, telemetry.EventServerDraining).WithField("server", server.ID).Info("server is draining and accepts no new requests")
		case execution.ServerReadmitted:
			telemetry.With(e.log, telemetry.EventServerReadmitted).WithField("server", server.ID).Info("server was readmitted and gets requests again")
		case execution.ServerEjected:
			telemetry.WithError(e.log, telemetry.EventServerEjected, failure).WithField("server", server.ID).
				Warn("server was ejected after failures and gets no requests for now")
		}
	}
}
