package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/retry"
)

// execute sends the request to instances until one answers or no further attempt is allowed. A nil error means
// that current.answer holds the complete answer of an instance.
func (g *Gateway) execute(current *request) error {
	// unknown is the failure of an attempt after which the request may have run.
	var unknown *fault.Error
	for {
		instance, err := g.acquire(current)
		if err != nil {
			return overallFailure(unknown, asFault(err))
		}
		failure := g.attempt(current, instance)
		if failure == nil {
			return nil
		}
		if fault.AnswerFor(failure.Kind).Outcome == fault.Unknown {
			unknown = failure
		}
		current.rejectedWithCapacity = failure.Kind == fault.Shedding && g.hasCapacity(current)
		if !g.mayResend(current, failure) {
			return overallFailure(unknown, failure)
		}
		g.metrics.resends.WithLabelValues(current.service, string(failure.Kind)).Inc()
	}
}

// overallFailure returns the failure that holds for all attempts of a request: that the last attempt did
// not run proves nothing about an earlier one that may have.
func overallFailure(unknown, last *fault.Error) *fault.Error {
	if unknown != nil && fault.AnswerFor(last.Kind).Outcome == fault.NotRun {
		return unknown
	}
	return last
}

// mayResend reports whether the request is to be sent again after a failure, and takes the resend from the
// budget.
func (g *Gateway) mayResend(current *request, failure *fault.Error) bool {
	if current.interrupt.Fired() || len(current.attempts) >= current.route.MaxAttempts {
		return false
	}
	if !retry.Allowed(failure.Kind, current.repeatable()) {
		return false
	}
	if fault.AnswerFor(failure.Kind).Outcome == fault.Unknown && current.suspicion.Suspected() {
		// The request may already have crashed one instance, and would crash another one.
		return false
	}
	if g.linkFull(current) {
		// The link may be the only cause of the failure, and a further attempt would add to its load.
		return false
	}
	if failure.Kind == fault.ServerResting && current.keyed {
		return false
	}
	if failure.Kind == fault.Shedding && current.keyed && !current.rejectedWithCapacity {
		// Only the holder may run the request, and the holder is at capacity.
		return false
	}
	if failure.Kind == fault.SocketUnavailable {
		// Nothing reached an instance, and another one may have an open connection.
		current.socketFailure = failure
		return current.remaining() > minRemaining
	}
	if failure.Kind == fault.ConnectFailed || current.withdrawn {
		// Nothing reached an instance, and the budget counts arrivals.
		current.attempts = current.attempts[:len(current.attempts)-1]
		return current.remaining() > minRemaining
	}
	return current.remaining() > minRemaining && g.budget(current.service).TakeResend()
}

// hasCapacity reports whether the instance that rejected the request should have had capacity for it.
func (g *Gateway) hasCapacity(current *request) bool {
	table := g.subscription.current()
	service, found := table.Service(current.service)
	if !found {
		return false
	}
	instance, found := service.Instance(current.attempts[len(current.attempts)-1])
	return found && g.balancer.HasRoom(g.clock.Now(), instance, balance.Fleet{Senders: table.Gateways, Slots: service.Slots()})
}

// minRemaining is the remaining time below which a request is no longer sent.
const minRemaining = 20 * time.Millisecond

// attempt sends the request to one instance, at which the balancer has counted it as in flight.
func (g *Gateway) attempt(current *request, instance directory.Instance) *fault.Error {
	current.attempts = append(current.attempts, instance.ID)
	current.answer.Reset()
	current.withdrawn, current.relayFailed = false, false
	began, sentAt := time.Now(), g.clock.Now() // time.Now does not count a suspension as time of the instance
	chosen, failure := g.chooseWay(current, instance)
	var connection forward.ConnectionReport
	if failure == nil {
		var sent *forward.Attempt
		sent, failure = g.send(current, instance, chosen)
		connection = sent.Connection
		if chosen.relay == "" {
			g.recordReach(current, instance.ID, sent, failure)
		} else {
			failure = g.endRelayed(current, instance.ID, chosen.relay, current.answer, failure)
		}
	}
	if failure == nil {
		rest := g.recordSignal(current, instance, sentAt)
		failure = g.refusalOf(current.answer)
		if failure != nil && rest > 0 {
			failure = restingFailure(current, instance.ID, rest)
		}
	}
	if failure != nil && current.interrupt.Fired() {
		failure = current.interrupted()
	}
	took := time.Since(began)
	current.recordAttempt(instance.ID, chosen.relay, connection, sentAt, took, failure)
	g.recordResult(current, instance, chosen, took, failure)
	if failure == nil {
		g.guard.EndTrial(&current.suspicion)
		g.recordAnswered(current)
		return nil
	}
	lost := g.lostAttempt(current, instance, took)
	g.guard.FailTrial(&current.suspicion, lost, failure)
	if !current.relayFailed {
		g.recordLoss(current, lost, failure)
	}
	return failure
}

// send sends the request to an instance, or to the relay on the way to it, and receives the answer.
func (g *Gateway) send(current *request, instance directory.Instance, chosen way) (*forward.Attempt, *fault.Error) {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	current.buildOutgoing(outgoing, g.dialect, instance)
	if chosen.relay != "" {
		relay.SetTarget(&outgoing.Header, targetOf(current, instance))
	}
	body := current.body.Len()
	waitTurn := g.pacer.turnFunc(current, body)
	attempt := &forward.Attempt{
		ID: current.id, Request: outgoing, Response: current.answer, Timeout: current.remaining(), Interrupt: current.interrupt,
		Check: chosen.check, Reserve: func(bytes int64) bool { return current.reserveAnswer(g.clock, bytes) },
		Write: func(data []byte, write func([]byte) (int, error)) (int, error) {
			return writeInTurns(data, waitTurn, write)
		},
	}
	failure := chosen.client.Do(attempt)
	if failure != nil {
		current.returnAnswer()
	}
	if failure == nil || !current.withdrawn && !neverSent(failure) {
		g.meter.Add(link.Out, link.Attempts, body)
	}
	if failure == nil {
		g.meter.Add(link.In, link.Answers, len(current.answer.Body()))
	}
	return attempt, failure
}

// neverSent reports whether an attempt failed before it had a connection.
func neverSent(failure *fault.Error) bool {
	switch failure.Kind {
	case fault.ConnectFailed, fault.SocketUnavailable, fault.QueueFull:
		return true
	default:
		return false
	}
}

// recordAttempt records the result of an attempt.
func (r *request) recordAttempt(
	instance directory.InstanceID, relayAddress string, connection forward.ConnectionReport, began, took time.Duration, failure *fault.Error,
) {
	outcome := attemptOutcome{
		Instance: instance, Relay: relayAddress, AfterMs: (began - r.arrived).Milliseconds(), TookMs: took.Milliseconds(), ConnectionReport: connection,
	}
	if failure != nil {
		outcome.Kind = failure.Kind
	}
	r.outcomes = append(r.outcomes, outcome)
}

// refusalOf returns a failure if the answer proves that the instance did not run the request, and nil
// otherwise.
func (g *Gateway) refusalOf(answer *fasthttp.Response) *fault.Error {
	switch {
	case answer.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return fault.New(fault.WrongEpoch, "the instance is another one, or does not hold the key")
	case len(answer.Header.Peek(g.dialect.NotExecuted)) > 0:
		return fault.Newf(fault.Shedding, "the instance refused with status %d", answer.StatusCode())
	default:
		return nil
	}
}

// recordResult passes the result of an attempt to the balancer and to everything else that tracks
// instances.
func (g *Gateway) recordResult(current *request, instance directory.Instance, chosen way, took time.Duration, failure *fault.Error) {
	outcome := balance.Outcome{
		Now: g.clock.Now(), Service: current.service, Instance: instance.ID, Took: took, Answered: failure == nil,
		Full: failure != nil && (failure.Kind == fault.Shedding || failure.Kind == fault.ServerResting),
	}
	if failure != nil && failure.Kind == fault.WrongEpoch && current.keyed {
		g.rejections.record(instance.ID, current.rangeFirst, current.layoutRevision)
	}
	if failure == nil && current.answer.StatusCode() < fasthttp.StatusInternalServerError {
		// An instance that fails at once must not count as a fast one.
		limit, _ := g.signals.limit(outcome.Now, instance.ID)
		g.demand.countAnswer(current.service, instance.ID, took, limit)
	}
	if failure != nil && failure.Kind == fault.WrongEpoch && !current.keyed {
		// Its address belongs to another instance by now.
		outcome.Gone = true
	}
	if failure != nil && !current.interrupt.Fired() {
		switch failure.Kind {
		case fault.ConnectFailed:
			// While this machine's own link is full, a failed connection proves nothing about the instance.
			outcome.Unreachable = chosen.relay == "" && !g.linkFull(current)
			outcome.Failed = outcome.Unreachable
		case fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched, fault.DeadlineExceeded:
			outcome.Failed = !current.relayFailed
		default:
		}
	}
	g.endPlace(current, chosen, took, failure)
	g.endInstanceToken(current, failure)
	if g.balancer.End(outcome) {
		g.logEjected(instance, failure)
	}
	g.attemptEnded.Raise()
}
