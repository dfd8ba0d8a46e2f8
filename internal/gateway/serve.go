package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// serve answers one request of a caller.
func (g *Gateway) serve(context *fasthttp.RequestCtx) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	g.meter.Add(link.In, link.Bodies, len(context.Request.Body()))
	current, err := g.readRequest(context, g.awaitTable(context))
	if err == nil {
		g.budget(current.service).Fresh()
		if current.keyed {
			g.demand.arrived(current.service, current.key)
		}
		err = g.executeWatched(context, current)
	}
	failure := asFault(err)
	if failure == nil {
		cleanAnswer(current.answer)
	} else {
		g.refuse(current, failure)
	}
	if g.stopping.Load() {
		context.SetConnectionClose()
	}
	if connection, metered := context.Conn().(*meteredConnection); metered && current.route != nil {
		connection.turn = g.pacer.turnOf(current, len(current.answer.Body()))
	}
	g.meter.Add(link.Out, link.Answers, len(current.answer.Body()))
	g.observe(current, failure)
}

// executeWatched executes the request and gives it up when its caller leaves. A request that this
// gateway may not live to answer is rejected.
func (g *Gateway) executeWatched(context *fasthttp.RequestCtx, current *request) error {
	if err := g.rejectBeforeStop(current); err != nil {
		return err
	}
	defer g.callers.watch(context.Conn(), current.interrupt)()
	return g.executeAdmitted(current)
}

// executeAdmitted executes the request if the own link has room for it.
func (g *Gateway) executeAdmitted(current *request) error {
	if err := g.admit(current); err != nil {
		return err
	}
	err := g.takeQuota(current)
	if err == nil {
		err = g.throttled(current)
	}
	if err == nil {
		err = g.execute(current)
	}
	g.returnQuota(current, err)
	g.leaveLink(current, err == nil)
	return err
}

// tableWait is the share of a caller's time for which its request waits for the first
// directory: a request that is refused after more of it counts as held without success.
const tableWait = 0.08

// awaitTable returns the table. A gateway that has just started waits for it for a
// moment, since all others may have just started as well.
func (g *Gateway) awaitTable(context *fasthttp.RequestCtx) *routing.Table {
	changed := g.subscription.updates.Next()
	if table := g.subscription.current(); table != nil {
		return table
	}
	milliseconds, err := strconv.ParseFloat(string(context.Request.Header.Peek(g.dialect.Deadline)), 64)
	if err != nil || milliseconds <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(tableWait * milliseconds * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	return g.subscription.current()
}

// execute sends the request to instances until one answers or nothing more can be
// done. A nil error means that the answer holds an instance's whole answer.
func (g *Gateway) execute(current *request) error {
	// unknown is the failure of an attempt after which the request may have run.
	var unknown *fault.Error
	for {
		instance, err := g.acquire(current)
		if err != nil {
			return truthful(unknown, asFault(err))
		}
		failure := g.attempt(current, instance)
		if failure == nil {
			return nil
		}
		if fault.AnswerFor(failure.Kind).Outcome == fault.Unknown {
			unknown = failure
		}
		current.rejectedWithRoom = failure.Kind == fault.Shedding && g.hasRoom(current)
		if !g.mayResend(current, failure) {
			return truthful(unknown, failure)
		}
		g.metrics.resends.WithLabelValues(current.service, string(failure.Kind)).Inc()
	}
}

// truthful returns the failure that tells what is known of a request after all of its
// attempts: that the last one did not run says nothing of an earlier one that may have.
func truthful(unknown, last *fault.Error) *fault.Error {
	if unknown != nil && fault.AnswerFor(last.Kind).Outcome == fault.NotRun {
		return unknown
	}
	return last
}

// mayResend reports whether the request is to be sent once more after a failure,
// and takes the resend out of the budget.
func (g *Gateway) mayResend(current *request, failure *fault.Error) bool {
	if current.interrupt.Fired() || len(current.attempts) >= current.route.MaxAttempts {
		return false
	}
	if !retry.Allowed(failure.Kind, current.repeatable()) {
		return false
	}
	if g.linkFull(current) {
		// The attempt may have failed for that alone, and the next one would add to it.
		return false
	}
	if failure.Kind == fault.ServerResting && current.keyed {
		return false
	}
	if failure.Kind == fault.Shedding && current.keyed && !current.rejectedWithRoom {
		// Only the holder may run it, and the holder is full.
		return false
	}
	if failure.Kind == fault.ConnectFailed {
		// Nothing arrived anywhere: the budget counts arrivals.
		current.attempts = current.attempts[:len(current.attempts)-1]
		return current.left() > minimumLeft
	}
	return current.left() > minimumLeft && g.budget(current.service).TakeResend()
}

// hasRoom reports whether the instance that rejected a request should have had room for it.
func (g *Gateway) hasRoom(current *request) bool {
	table := g.subscription.current()
	service, found := table.Service(current.service)
	if !found {
		return false
	}
	instance, found := service.Instance(current.attempts[len(current.attempts)-1])
	return found && g.balancer.HasRoom(g.clock.Now(), instance, balance.Fleet{Senders: table.Gateways, Slots: service.Slots()})
}

// minimumLeft is the time below which a request is not sent any more.
const minimumLeft = 20 * time.Millisecond

// attempt sends the request to one instance, for which the balancer has counted it
// in.
func (g *Gateway) attempt(current *request, instance directory.Instance) *fault.Error {
	current.attempts = append(current.attempts, instance.ID)
	current.answer.Reset()
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	current.fill(outgoing, g.dialect, instance)
	turn := g.pacer.turnOf(current, len(current.inbound.Body()))
	began, sentAt := time.Now(), g.clock.Now()
	failure := g.upstreams.client(instance).Do(&forward.Attempt{
		ID: current.id, Request: outgoing, Response: current.answer, Timeout: current.left(), Interrupt: current.interrupt,
		Write: func(data []byte, write func([]byte) (int, error)) (int, error) {
			return writeInTurns(data, turn, write)
		},
	})
	if failure == nil || failure.Kind != fault.ConnectFailed && failure.Kind != fault.QueueFull {
		g.meter.Add(link.Out, link.Attempts, len(current.inbound.Body()))
	}
	if failure == nil {
		g.meter.Add(link.In, link.Answers, len(current.answer.Body()))
		rest := g.noteSignal(current, instance, sentAt)
		failure = g.refusalOf(current.answer)
		if failure != nil && rest > 0 {
			failure = resting(current, instance.ID, rest)
		}
	}
	if failure != nil && current.interrupt.Fired() {
		failure = fault.New(fault.ConnectionLost, "the caller left")
	}
	took := time.Since(began)
	current.note(instance.ID, began, took, failure)
	g.ended(current, instance, took, failure)
	return failure
}

// note keeps what became of a sending.
func (r *request) note(instance directory.InstanceID, began time.Time, took time.Duration, failure *fault.Error) {
	outcome := attemptOutcome{Instance: instance, AfterMs: began.Sub(r.arrived).Milliseconds(), TookMs: took.Milliseconds()}
	if failure != nil {
		outcome.Kind = failure.Kind
	}
	r.outcomes = append(r.outcomes, outcome)
}

// refusalOf returns the proof in an answer that the instance did not run the
// request, as a failure; nil if there is none.
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

// ended tells the balancer what became of an attempt.
func (g *Gateway) ended(current *request, instance directory.Instance, took time.Duration, failure *fault.Error) {
	outcome := balance.Outcome{
		Now: g.clock.Now(), Service: current.service, Instance: instance.ID, Took: took, Answered: failure == nil,
		Full: failure != nil && (failure.Kind == fault.Shedding || failure.Kind == fault.ServerResting),
	}
	if failure != nil && failure.Kind == fault.WrongEpoch && current.keyed {
		g.rejections.note(instance.ID, current.rangeFirst, current.layoutRevision)
	}
	if failure == nil && current.answer.StatusCode() < fasthttp.StatusInternalServerError {
		// An instance that fails at once is not a fast one.
		limit, _ := g.signals.limit(outcome.Now, instance.ID)
		g.demand.answered(current.service, instance.ID, took, limit)
	}
	if failure != nil && failure.Kind == fault.WrongEpoch && !current.keyed {
		// Its address belongs to another instance by now.
		outcome.Gone = true
	}
	if failure != nil && !current.interrupt.Fired() {
		switch failure.Kind {
		case fault.ConnectFailed:
			// Behind a full link of this machine a connection says nothing of the instance.
			outcome.Unreachable = !g.linkFull(current)
			outcome.Failed = outcome.Unreachable
		case fault.ConnectionLost, fault.AnswerTruncated, fault.AnswerMismatched, fault.DeadlineExceeded:
			outcome.Failed = true
		default:
		}
	}
	if current.keyed && outcome.Unreachable {
		g.unreachable.note(outcome.Now, instance.ID)
	}
	if current.keyed && failure == nil {
		g.unreachable.reached(instance.ID)
	}
	g.endPlace(current, took, failure)
	g.endInstanceToken(current, failure)
	if g.balancer.End(outcome) {
		g.logEjected(instance, failure)
	}
	g.slots.Raise()
}

// acquire waits until an instance may get the request. An error proves that the
// request was not sent since the last attempt.
func (g *Gateway) acquire(current *request) (directory.Instance, error) {
	for {
		freed, updated := g.slots.Next(), g.subscription.updates.Next()
		instance, failure := g.choose(current)
		if failure == nil {
			failure = g.maySend(current, instance)
			if failure == nil {
				return instance, nil
			}
			g.giveBack(current, instance)
			if !current.keyed {
				continue
			}
		}
		wait := min(time.Until(g.patience(current, failure)), current.left()-minimumLeft)
		if wait <= 0 || current.interrupt.Fired() {
			return directory.Instance{}, failure
		}
		timer := time.NewTimer(min(wait, lookInterval))
		select {
		case <-freed:
		case <-updated:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// lookInterval bounds the time between two looks for an instance.
const lookInterval = 50 * time.Millisecond

// patience is until when a request waits for an instance, by why there is none. Keys
// that nobody holds get a holder soon, so that waiting serves the caller better than
// a refusal; but less than half of its time is spent so, since it can still ask
// again with the rest.
func (g *Gateway) patience(current *request, failure *fault.Error) time.Time {
	const heldShare = 0.4
	if failure.Kind == fault.ConnectFailed || failure.Kind == fault.ServerLimited || current.noRoom {
		return current.arrived
	}
	given := current.deadline.Sub(current.arrived)
	if failure.Kind == fault.NoOwner {
		return current.arrived.Add(time.Duration(heldShare * float64(given)))
	}
	const share = 5
	wait := current.target() / share
	if wait <= 0 {
		wait = given / share
	}
	until := current.arrived.Add(wait)
	if failure.Kind == fault.ServerResting && time.Now().Add(current.retryIn).After(until) {
		return current.arrived
	}
	return until
}

// choose returns an instance that may get the request now, counted in by the
// balancer.
func (g *Gateway) choose(current *request) (directory.Instance, *fault.Error) {
	table := g.subscription.current()
	service, found := table.Service(current.service)
	if !found {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "service %q is not configured", current.service)
	}
	current.revision = table.Revision
	if current.keyed {
		return g.chooseOwner(current, service)
	}
	if !current.regionBound() {
		if instance, failure, decided := g.placeInService(current, service); decided {
			return instance, failure
		}
	}
	now := g.clock.Now()
	candidates := g.candidates(now, current, service.Instances)
	if len(candidates) == 0 {
		return directory.Instance{}, current.nobodyLeft()
	}
	instance, chosen := g.chooseAmong(now, current, candidates)
	if !chosen {
		current.candidates = g.balancer.Standings(g.clock.Now(), candidates)
		return directory.Instance{}, fault.Newf(fault.QueueFull, "each instance of service %q has as many requests as it may", current.service)
	}
	if !g.coldStarts.take(now, instance.ID) {
		// Another request took the turn meanwhile; this one looks again.
		g.balancer.Release(instance.ID)
		return directory.Instance{}, fault.Newf(fault.QueueFull, "instance %s is cold and gets no more requests now", instance.ID)
	}
	return instance, nil
}

// chooseAmong returns the instance that is to get a request, counted in by the balancer. One that
// named a limit gets it only if no other one has room.
func (g *Gateway) chooseAmong(now time.Duration, current *request, candidates []directory.Instance) (directory.Instance, bool) {
	unlimited, limited := g.signals.splitByLimit(now, candidates)
	for _, instances := range [][]directory.Instance{unlimited, limited} {
		if len(instances) == 0 {
			continue
		}
		instance, chosen := g.balancer.Choose(balance.Request{
			Now: now, Service: current.service, Instances: instances, Limit: inFlightLimit,
			Random: [2]float64{rand.Float64(), rand.Float64()},
		})
		if chosen {
			return instance, true
		}
	}
	return directory.Instance{}, false
}

// nobodyLeft is the failure of a request that no instance may get, by what those said that would
// have served it.
func (r *request) nobodyLeft() *fault.Error {
	if r.limited != nil {
		return r.limited
	}
	if r.resting != nil {
		return r.resting
	}
	return fault.Newf(fault.NoOwner, "no instance of service %q is left to send to", r.service)
}

// candidates returns the instances that a request may be sent to.
func (g *Gateway) candidates(now time.Duration, current *request, instances []*directory.Instance) []directory.Instance {
	candidates := make([]directory.Instance, 0, len(instances))
	var leaving []directory.Instance
	current.resting = nil
	for _, each := range instances {
		instance := *each
		if !instance.Serving() || slices.Contains(current.attempts, instance.ID) || slices.Contains(current.limitedAt, instance.ID) {
			continue
		}
		if !g.mayServeHere(current, instance) || g.evacuations.excludes(instance) || !g.coldStarts.allows(now, instance.ID) {
			continue
		}
		if wait := g.signals.rest(now, instance.ID); wait > 0 {
			current.noteResting(instance.ID, wait)
			continue
		}
		if since, leaves := g.signals.leaving(now, instance.ID); leaves {
			if since < g.settings.DrainTime {
				leaving = append(leaving, instance)
			}
			continue
		}
		candidates = append(candidates, instance)
	}
	if len(candidates) == 0 {
		return leaving
	}
	return candidates
}

// inFlightLimit bounds the requests in flight from this gateway to an instance.
func inFlightLimit(slots int) int { return max(slots, 1) }

// keyedLimit bounds them for an instance that alone may run the request.
func keyedLimit(slots int) int { return max(slots, 1) + 1 }

// chooseOwner returns the instance that holds the request's key.
func (g *Gateway) chooseOwner(current *request, service *routing.Service) (directory.Instance, *fault.Error) {
	layout := service.Layout
	holding, found := layout.At(current.key)
	if !found || holding.Owner == "" || !holding.Granted || holding.Revoked {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "nobody holds key %d", current.key)
	}
	instance, found := service.Instance(holding.Owner)
	if !found || instance.State == directory.InstanceDraining && !g.drains.mayServe(instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d leaves", current.key)
	}
	if !g.mayServeHere(current, instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d stands in a region that route or tenant do not allow", current.key)
	}
	if g.evacuations.excludesHolder(instance) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the zone of the holder of key %d is evacuated", current.key)
	}
	if failure := g.heldBack(current, instance); failure != nil {
		return directory.Instance{}, failure
	}
	current.rangeFirst, current.layoutRevision = holding.First, layout.Revision
	if !g.rejections.mayAsk(instance.ID, holding.First, layout.Revision) {
		return directory.Instance{}, fault.Newf(fault.NoOwner, "the holder of key %d has just said that it does not hold it", current.key)
	}
	if !g.unreachable.mayAsk(g.clock.Now(), instance.ID) {
		return directory.Instance{}, fault.Newf(fault.ConnectFailed, "no connection to the holder of key %d could be made of late", current.key)
	}
	if failure, decided := g.placeAtHolder(current, instance); decided {
		return instance, failure
	}
	if !g.balancer.TryBegin(g.clock.Now(), instance, keyedLimit(instance.Slots)) {
		current.candidates = g.balancer.Standings(g.clock.Now(), []directory.Instance{instance})
		return directory.Instance{}, fault.Newf(fault.QueueFull, "the holder of key %d has as many requests as it may", current.key)
	}
	if !g.coldStarts.take(g.clock.Now(), instance.ID) {
		g.balancer.Release(instance.ID)
		return directory.Instance{}, fault.Newf(fault.QueueFull, "the holder of key %d is cold and gets no more requests now", current.key)
	}
	return instance, nil
}
