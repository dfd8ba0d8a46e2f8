package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backpressure"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/room"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// instanceSignals tracks the load signals in the answers of instances. It is safe for concurrent use.
type instanceSignals struct {
	mutex   sync.Mutex
	tracker *backpressure.Tracker
	// signalling is the number of instances that sent a signal. It is mostly zero, and choices among hundreds
	// of instances then take no lock for each.
	signalling atomic.Int64
	// reported has the instances for which an unreadable header was already logged.
	reported map[directory.InstanceID]bool
}

func newInstanceSignals() *instanceSignals {
	return &instanceSignals{tracker: backpressure.NewTracker(), reported: make(map[directory.InstanceID]bool)}
}

// forget drops the instances that are no longer known.
func (s *instanceSignals) forget(known func(directory.InstanceID) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Forget(known)
	s.signalling.Store(int64(s.tracker.Instances()))
	for id := range s.reported {
		if !known(id) {
			delete(s.reported, id)
		}
	}
}

// record stores the signal in an answer, and reports whether this is the first unreadable header of the
// instance.
func (s *instanceSignals) record(now, sentAt time.Duration, id directory.InstanceID, signal backpressure.Signal, unreadable bool) (backpressure.Change, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := unreadable && !s.reported[id]
	if first {
		s.reported[id] = true
	}
	change := s.tracker.Note(now, sentAt, id, signal)
	s.signalling.Store(int64(s.tracker.Instances()))
	return change, first
}

// limit returns the rate limit of an instance in requests per second, zero for none, and how long ago an
// answer last repeated it.
func (s *instanceSignals) limit(now time.Duration, id directory.InstanceID) (limit float64, age time.Duration) {
	if s.signalling.Load() == 0 {
		return 0, 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Limit(now, id)
}

// splitByLimit separates the instances that advertise a rate limit from the others. One that has not repeated
// its limit for limitCheckInterval counts as unlimited, so that a request finds out whether the limit still
// holds.
func (s *instanceSignals) splitByLimit(now time.Duration, instances []directory.Instance) (unlimited, limited []directory.Instance) {
	if s.signalling.Load() == 0 {
		return instances, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, instance := range instances {
		if limit, age := s.tracker.Limit(now, instance.ID); limit > 0 && age < limitCheckInterval {
			limited = append(limited, instance)
			continue
		}
		unlimited = append(unlimited, instance)
	}
	return unlimited, limited
}

// limitCheckInterval is how long a gateway avoids an instance without keys that advertises a rate limit before
// it checks whether the limit still holds.
const limitCheckInterval = 5 * time.Second

// rest returns how long no request may be sent to an instance; zero if one may be sent now.
func (s *instanceSignals) rest(now time.Duration, id directory.InstanceID) time.Duration {
	if s.signalling.Load() == 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Rest(now, id)
}

// beginSend is like rest, for a request that is sent at once if it may be.
func (s *instanceSignals) beginSend(now time.Duration, id directory.InstanceID) time.Duration {
	if s.signalling.Load() == 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Begin(now, id)
}

// leaving returns how long ago an instance first signalled that it is leaving; false if it has not.
func (s *instanceSignals) leaving(now time.Duration, id directory.InstanceID) (time.Duration, bool) {
	if s.signalling.Load() == 0 {
		return 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Leaving(now, id)
}

// checkHolder returns why a request may not be sent to the holder of its key because of that instance's
// signals; nil if it may.
func (g *Gateway) checkHolder(current *request, holder directory.Instance) *fault.Error {
	now := g.clock.Now()
	if wait := g.signals.rest(now, holder.ID); wait > 0 {
		return restingFailure(current, holder.ID, wait)
	}
	return g.leftFailure(holder)
}

// leftFailure returns the failure for an instance that signalled longer than DrainTime ago that it is leaving;
// nil for none.
func (g *Gateway) leftFailure(instance directory.Instance) *fault.Error {
	if since, leaves := g.signals.leaving(g.clock.Now(), instance.ID); leaves && since >= g.settings.DrainTime {
		return fault.Newf(fault.NoOwner, "instance %s leaves, as it said first %s ago", instance.ID, since.Round(time.Millisecond))
	}
	return nil
}

// checkBeforeSend checks an instance just before the request is sent, since its signals may have arrived
// while the request waited. A nil error means that the request is sent at once.
func (g *Gateway) checkBeforeSend(current *request, instance directory.Instance) *fault.Error {
	if failure := g.takeInstanceToken(current, instance); failure != nil {
		return failure
	}
	failure := g.leftFailure(instance)
	if failure == nil {
		if wait := g.signals.beginSend(g.clock.Now(), instance.ID); wait > 0 {
			failure = restingFailure(current, instance.ID, wait)
		}
	}
	if failure == nil {
		failure = g.guard.CheckBeforeSend(&current.suspicion)
	}
	if failure != nil {
		g.refundInstanceToken(current)
	}
	return failure
}

// restingFailure returns the failure of a request for an instance at rest, and records how long the rest lasts.
func restingFailure(current *request, id directory.InstanceID, wait time.Duration) *fault.Error {
	current.retryIn = wait
	return fault.Newf(fault.ServerResting, "instance %s wants no requests of this gateway for %s", id, wait.Round(time.Millisecond))
}

// recordResting keeps the failure of the instance whose rest ends first, of those that could have served the
// request.
func (r *request) recordResting(id directory.InstanceID, wait time.Duration) {
	known := r.restFailure != nil || r.limitFailure != nil
	if !known || wait < r.retryIn {
		r.restFailure = restingFailure(r, id, wait)
	}
}

// takeInstanceToken takes a token for a request that is about to be sent to an instance with a rate limit. The
// limit is for all gateways together, so the leader grants the tokens.
func (g *Gateway) takeInstanceToken(current *request, instance directory.Instance) *fault.Error {
	limit, age := g.signals.limit(g.clock.Now(), instance.ID)
	if limit == 0 {
		return nil
	}
	verdict, retryIn := g.instanceTokens.take(quota.Subject{
		Name: string(instance.ID), Limit: quota.LimitOfInstance(limit), Gateways: g.subscription.current().Gateways,
		Urgency: uint8(quota.MostUrgent * current.urgency),
	}, current.interrupt.Fired)
	if verdict == quota.Taken {
		current.tokenInstance = instance.ID
		if !current.keyed || g.stillHolds(current, instance.ID) {
			return nil
		}
		g.refundInstanceToken(current)
		return fault.Newf(fault.NoOwner, "key %d passed on to another holder", current.key)
	}
	if len(current.limitedAt) == 0 || retryIn < current.retryIn {
		current.retryIn = retryIn
	}
	current.limitedAt = append(current.limitedAt, instance.ID)
	current.limitFailure = fault.Newf(fault.ServerLimited, "instance %s takes %g requests a second from all gateways, as it said %s ago",
		instance.ID, limit, age.Round(time.Millisecond))
	return current.limitFailure
}

// endInstanceToken refunds the token of an attempt if nothing reached the instance.
func (g *Gateway) endInstanceToken(current *request, failure *fault.Error) {
	if failure == nil {
		current.tokenInstance = ""
		return
	}
	switch {
	case current.withdrawn, neverSent(failure), failure.Kind == fault.CancelledBeforeStart:
		g.refundInstanceToken(current)
	default:
		current.tokenInstance = ""
	}
}

func (g *Gateway) refundInstanceToken(current *request) {
	if current.tokenInstance != "" {
		g.instanceTokens.refund(string(current.tokenInstance))
		current.tokenInstance = ""
	}
}

// releaseInstance undoes the choice of an instance for a request that is not sent to it.
func (g *Gateway) releaseInstance(current *request, instance directory.Instance) {
	g.balancer.Release(instance.ID)
	current.place.end(room.Unused, 0)
	current.place = nil
	g.attemptEnded.Raise()
}

// recordSignal records the signal in a complete answer of an instance, and returns the rest that it asks for;
// zero for none. An answer with status 421 is ignored: it may come from another instance at that address.
func (g *Gateway) recordSignal(current *request, instance directory.Instance, sentAt time.Duration) time.Duration {
	answer := current.answer
	if answer.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return 0
	}
	signal, err := g.readSignal(answer)
	change, first := g.signals.record(g.clock.Now(), sentAt, instance.ID, signal, err != nil)
	line := func(event telemetry.Event) *logrus.Entry {
		return telemetry.With(g.log, event).WithField(telemetry.FieldServer, instance.ID).
			WithField(telemetry.FieldService, instance.Service).WithField(telemetry.FieldRequest, current.id)
	}
	if first {
		line(telemetry.EventServerUnreadable).WithField(telemetry.FieldError, err.Error()).Warn("cannot parse a load signal header of an instance")
	}
	if change.Limit {
		line(telemetry.EventServerLimit).WithField("limit", change.To).WithField("limit_before", change.From).Info("rate limit of an instance changed")
	}
	if change.Leaving {
		line(telemetry.EventServerSaysLeaving).Info("instance signals that it is leaving")
	}
	if change.Rest {
		line(telemetry.EventServerRest).WithField("rest_ms", signal.Rest.Milliseconds()).Info("instance asks to get no requests for a while")
	}
	return signal.Rest
}

// readSignal parses the signal headers of an answer. The error describes the first one that cannot be parsed.
func (g *Gateway) readSignal(answer *fasthttp.Response) (backpressure.Signal, error) {
	var signal backpressure.Signal
	var failure error
	if values := answer.Header.PeekAll(g.dialect.Limit); len(values) > 0 {
		limit, readable, err := backpressure.ParseLimit(toStrings(values))
		signal.Limit, signal.LimitUnreadable = limit, !readable
		failure = err
	}
	signal.Leaving = string(answer.Header.Peek(g.dialect.Leaving)) == leavingValue
	if answer.StatusCode() != fasthttp.StatusServiceUnavailable {
		return signal, failure
	}
	if value := answer.Header.Peek(fasthttp.HeaderRetryAfter); len(value) > 0 {
		rest, err := backpressure.ParseRest(string(value))
		signal.Rest = rest
		if failure == nil {
			failure = err
		}
	}
	return signal, failure
}

// leavingValue is the value of the header by which an instance signals that it is leaving.
const leavingValue = "1"

func toStrings(values [][]byte) []string {
	read := make([]string, 0, len(values))
	for _, value := range values {
		read = append(read, string(value))
	}
	return read
}
