package gateway

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/routing"
)

// request is one caller's request while the gateway processes it.
type request struct {
	id      string
	inbound *fasthttp.Request
	body    intake.Body
	answer  *fasthttp.Response
	// load is what the caller's connection takes of the budget, answerReserved what it has reserved for the answer.
	load           *overload.Connection
	answerReserved int64
	// clock is the gateway's clock, whose readings arrived and deadline are.
	clock   clock.Clock
	arrived time.Duration
	// deadline is when the request is abandoned: the deadline of the caller, or an earlier one from the
	// route's timeout.
	deadline time.Duration
	route    *directory.Route
	service  string
	// keyRequired is true if callers must present an API key. tenant is the owner of that key; nil for none.
	keyRequired bool
	tenant      *directory.Tenant
	keyed       bool
	key         directory.Key
	// rangeFirst is the first key of the range that contains the key, under layoutRevision, as of the last
	// choice of the holder.
	rangeFirst     directory.Key
	layoutRevision directory.Revision
	// attempts lists the instances that the request was sent to.
	attempts []directory.InstanceID
	// outcomes has the result of each attempt, for the log.
	outcomes []attemptOutcome
	// candidates has the instances that had no capacity for a rejected request, with their loads, for the log.
	candidates []balance.InstanceLoad
	// urgency is the rank of the route's priority, from 0 for the least urgent to 1.
	urgency float64
	// reserved is the number of bytes reserved on this machine's link.
	reserved float64
	// withdrawn is true if the latest attempt was not sent, see checkBeforeWrite.
	withdrawn bool
	// placeAsked is true once a keeper was asked for a place, and place is the place that it granted.
	placeAsked bool
	place      *heldPlace
	// noCapacity is true if no place is available in time. retryIn is the time after which the caller is
	// told to retry, for failures that determine one: no place, a limit without tokens, or a rest.
	noCapacity bool
	retryIn    time.Duration
	// rejectedWithCapacity is true if the instance that rejected the request last should have had capacity
	// for it.
	rejectedWithCapacity bool
	// quotaTaken is true once a token of the tenant was taken.
	quotaTaken bool
	// tokenInstance is the instance whose token the request holds; empty for none.
	tokenInstance directory.InstanceID
	// socketFailure is the failure of an attempt for which this machine could open no connection; nil for none.
	socketFailure *fault.Error
	// limitedAt has the instances whose rate limits had no capacity for the request, and limitFailure is
	// the last failure for that reason; nil for none.
	limitedAt    []directory.InstanceID
	limitFailure *fault.Error
	// restFailure is the failure for the instance whose rest ends first; nil for none.
	restFailure *fault.Error
	// reachFailure is the failure for an instance to which there is no way; nil for none.
	reachFailure *fault.Error
	// interrupt aborts the attempt when the caller disconnects.
	interrupt *forward.Interrupt
	// suspicion is the state of the request with regard to crashes of instances.
	suspicion crashwatch.Request
	// relaysTried are the relays that did not send the request. relayFailed is true if the latest attempt ended
	// with its connection to a relay, which says nothing of the instance.
	relaysTried []string
	relayFailed bool
	// revision is that of the table with which the request was routed, tableAge the age of its proof then, and
	// staleTable is true if that was older than the staleness limit.
	revision   directory.Revision
	tableAge   time.Duration
	staleTable bool
}

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	Instance directory.InstanceID `json:"instance"`
	// Relay is the address of the gateway that relayed the attempt; empty for a direct one.
	Relay string `json:"relay,omitempty"`
	// AfterMs is when the attempt began, relative to the arrival of the request.
	AfterMs int64 `json:"after_ms"`
	TookMs  int64 `json:"took_ms"`
	// Kind is empty for an answer that was forwarded.
	Kind fault.Kind `json:"kind,omitempty"`
	forward.ConnectionReport
}

// readRequest parses the request and finds its route in a table, whose proof had the given age before it was read.
func (g *Gateway) readRequest(context *fasthttp.RequestCtx, table *routing.Table, age time.Duration) (*request, error) {
	now := g.clock.Now()
	read := &request{
		id:      string(context.Request.Header.Peek(g.dialect.RequestID)),
		inbound: &context.Request, answer: &context.Response,
		clock: g.clock, arrived: now, deadline: now + g.settings.MaxTimeout, interrupt: &forward.Interrupt{},
	}
	read.suspicion.Identify = func() quarantine.Request { return g.identify(read) }
	if table == nil {
		return read, fault.New(fault.StaleRouter, "this gateway has no directory yet")
	}
	read.revision, read.tableAge, read.staleTable = table.Revision, age, g.subscription.stale(age)
	if err := read.readDeadline(g.dialect.Deadline); err != nil {
		return read, err
	}
	target, _, _ := bytes.Cut(context.Request.Header.RequestURI(), []byte("?"))
	route, found := table.Route(string(context.Request.Header.Host()), string(target))
	if !found {
		return read, read.denied(fault.UnknownService, "no route for host %.100q and path %.100q", context.Request.Header.Host(), target)
	}
	if !g.subscription.mayFollow(age) {
		return read, outdated(age)
	}
	read.route = route
	if err := g.readTenant(read, table); err != nil {
		return read, err
	}
	read.urgency = table.Urgency(route, read.tenant)
	if route.TimeoutMs > 0 {
		read.limitDeadline(time.Duration(route.TimeoutMs * float64(time.Millisecond)))
	}
	read.service = g.splitter.Pick(route, rand.Float64())
	service, found := table.Service(read.service)
	if !found {
		return read, fault.Newf(fault.NoOwner, "service %q is not configured", read.service)
	}
	return read, read.readKey(g.dialect.Key, service.Config)
}

// limitDeadline limits the deadline to a timeout after the arrival.
func (r *request) limitDeadline(timeout time.Duration) {
	r.deadline = min(r.deadline, r.arrived+timeout)
}

func (r *request) readDeadline(header string) error {
	value := string(r.inbound.Header.Peek(header))
	if value == "" {
		return nil
	}
	milliseconds, err := strconv.ParseFloat(value, 64)
	if err != nil || milliseconds < 0 {
		return fault.Newf(fault.InvalidRequest, "header %s is %.32q: give milliseconds", header, value)
	}
	r.limitDeadline(time.Duration(milliseconds * float64(time.Millisecond)))
	return nil
}

func (r *request) readKey(header string, service directory.Service) error {
	if !service.Keyed {
		return nil
	}
	value := string(r.inbound.Header.Peek(header))
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || number < 0 || directory.Key(number) > directory.MaxKey {
		return r.denied(fault.InvalidRequest, "header %s is %.32q: give a key from 0 to %d", header, value, directory.MaxKey)
	}
	r.keyed = true
	r.key = directory.Key(number)
	return nil
}

// sentAttempts counts the attempts that sent the request.
func (r *request) sentAttempts() int {
	count := 0
	for _, outcome := range r.outcomes {
		if outcome.Kind != fault.ConnectFailed && outcome.Kind != fault.SocketUnavailable {
			count++
		}
	}
	return count
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return r.deadline - r.clock.Now() }

func (r *request) repeatable() bool { return r.route.Kind.MayRepeat() }

// target returns the latency target of the route, within which an answer is of full use.
func (r *request) target() time.Duration {
	return time.Duration(r.route.TargetLatencyMs * float64(time.Millisecond))
}

// buildOutgoing builds the HTTP request of one attempt. Method, path, query and body stay as the caller
// sent them.
func (r *request) buildOutgoing(outgoing *fasthttp.Request, dialect Dialect, instance directory.Instance) {
	r.inbound.Header.CopyTo(&outgoing.Header)
	for name := range strings.SplitSeq(string(r.inbound.Header.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			outgoing.Header.Del(name)
		}
	}
	for _, name := range forward.HopHeaders() {
		outgoing.Header.Del(name)
	}
	outgoing.Header.SetProtocol("HTTP/1.1")
	outgoing.Header.SetNoDefaultContentType(true)
	outgoing.Header.SetRequestURIBytes(r.inbound.Header.RequestURI())
	outgoing.Header.SetHostBytes(r.inbound.Header.Host())
	r.body.SetTo(outgoing)
	if r.body.Len() > 0 || r.inbound.Header.ContentLength() != 0 {
		outgoing.Header.SetContentLength(r.body.Len())
	}
	outgoing.Header.Del(dialect.Deadline)
	outgoing.Header.Set(dialect.Deadline, strconv.FormatInt(max(1, r.remaining().Milliseconds()), 10))
	outgoing.Header.Del(dialect.ExpectInstance)
	outgoing.Header.Set(dialect.ExpectInstance, instance.ID.Server())
	r.setTenant(outgoing, dialect)
}
