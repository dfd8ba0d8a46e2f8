package gateway

import (
	"bytes"
	"context"
	"math"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// maxRelayConnections bounds the connections of other gateways for relayed requests, each of which carries
	// one request at a time.
	maxRelayConnections = 512
	// relayBufferBytes is the size of the buffer with which a connection for relayed requests begins. A larger head moves it
	// to a server with a larger one.
	relayBufferBytes = 2*defaultHeaderBytes + 1<<10
	relayIdleTimeout = 30 * time.Second
)

var (
	errOtherCluster  = eris.New("the gateway belongs to another cluster")
	errTooManyRelays = eris.New("the maximum number of connections for relayed requests is reached")
)

func (g *Gateway) newRelayServer(bufferBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      telemetry.Recovered(g.log, g.serveRelayed, refusePanicked),
		HeaderReceived:               g.requestConfig,
		Name:                         role,
		ReadBufferSize:               bufferBytes,
		StreamRequestBody:            true,
		MaxRequestBodySize:           defaultBodyBytes,
		ReadTimeout:                  bodyTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  relayIdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		ConnState:                    g.countRelayed,
		Logger:                       g.log,
	}
}

// countRelayed counts the connections that carry a relayed request, from its first byte until its answer is written.
func (g *Gateway) countRelayed(connection net.Conn, change fasthttp.ConnState) {
	stream, ok := connection.(*meteredStream)
	if !ok || change == fasthttp.StateClosed && stream.heads.Outgrown() {
		return
	}
	active := change == fasthttp.StateActive
	switch {
	case active && !stream.active:
		g.relayedRunning.Add(1)
	case !active && stream.active:
		g.relayedRunning.Add(-1)
	}
	stream.active = active
	g.enterPhase(stream, change)
	followHeads(stream, change)
}

// serveRelay serves relayed requests on a connection of another gateway until it ends.
func (g *Gateway) serveRelay(ctx context.Context, hello message.Hello, connection *wire.Conn) error {
	if cluster := g.subscription.clusterID(); cluster == "" || hello.Cluster != cluster {
		return errOtherCluster
	}
	defer g.relayStreams.Add(-1)
	if g.relayStreams.Add(1) > maxRelayConnections {
		return errTooManyRelays
	}
	defer context.AfterFunc(ctx, connection.Close)()
	if err := connection.Send(ctx, &message.RelayWelcome{}); err != nil {
		return err
	}
	admitted := intake.Admit(connection.Detach(), g.clientBudget, g.clock)
	if admitted == nil {
		return errTooManyRelays
	}
	defer admitted.Load().Close()
	return eris.Wrap(g.serveRelayStream(admitted), "serve relayed requests")
}

// maxRelayedBytes bounds the head and the body of a relayed request. The operator's limits are applied by the gateway that
// a request came to, by the table that it follows: what that has accepted, a relay takes as far as its memory allows.
func (g *Gateway) maxRelayedBytes() int { return int(g.settings.EffectiveRequestMemory()) }

// serveRelayStream serves relayed requests on a connection, by servers with larger buffers where heads need them.
func (g *Gateway) serveRelayStream(admitted *intake.Connection) error {
	traffic := connectionTraffic{g.meter}
	heads := intake.NewHeadReader(countedReader{admitted, traffic}, relayBufferBytes, g.maxRelayedBytes, admitted.Load(), g.clock)
	stream := &meteredStream{Connection: admitted, traffic: traffic, heads: heads}
	bufferBytes := relayBufferBytes
	for {
		err := g.relayServers.of(bufferBytes).ServeConn(stream)
		if !stream.heads.Outgrown() {
			return err
		}
		heads, bufferBytes = stream.heads.Moved()
		stream = &meteredStream{Connection: admitted, traffic: traffic, heads: heads, active: true}
	}
}

// meteredStream is a connection with relayed requests whose bytes are counted.
type meteredStream struct {
	*intake.Connection
	traffic connectionTraffic
	heads   *intake.HeadReader
	// turn waits for the turn to send bytes of the answer; nil for none.
	turn func(bytes int)
	// active is true while the connection carries a request.
	active bool
}

func (s *meteredStream) headReader() *intake.HeadReader { return s.heads }

// Read implements net.Conn.
func (s *meteredStream) Read(target []byte) (int, error) { return s.heads.Read(target) }

// Close implements net.Conn. A connection whose head has outgrown the server's buffer stays open for another one.
func (s *meteredStream) Close() error {
	if s.heads.Outgrown() {
		return nil
	}
	return s.Connection.Close()
}

// Write implements net.Conn.
func (s *meteredStream) Write(data []byte) (int, error) {
	if s.turn == nil {
		return s.write(data)
	}
	return writeInTurns(data, holdingTurn(s.Connection, s.turn), s.write)
}

func (s *meteredStream) write(data []byte) (int, error) {
	count, err := s.Connection.Write(data)
	s.traffic.Passed(0, count)
	return count, err
}

// serveRelayed sends one request of another gateway to the instance that this gateway has chosen.
func (g *Gateway) serveRelayed(context *fasthttp.RequestCtx) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	body, err := g.readBody(context, g.maxRelayedBytes())
	current, instance, failure := g.readRelayed(context)
	if err != nil {
		failure = asFault(err)
	}
	current.body, current.load = body, intake.LoadOf(context.Conn())
	result := relay.NotSent
	if failure == nil {
		result, failure = g.executeRelayed(context, current, instance)
	}
	detail := ""
	if failure != nil {
		detail = failure.Detail
		context.Response.Reset()
		context.SetStatusCode(fasthttp.StatusServiceUnavailable)
		context.Response.Header.SetBytesV(g.dialect.RequestID, context.Request.Header.Peek(g.dialect.RequestID))
	} else {
		cleanAnswer(&context.Response)
	}
	relay.SetResult(&context.Response.Header, result, detail)
	if err != nil || g.stopping.Load() {
		context.SetConnectionClose()
	}
	g.holdAnswer(current)
	g.metrics.relayed.WithLabelValues(relayedIn, result.Label()).Inc()
	g.logRelayed(current, instance.ID, result, failure)
}

// readRelayed parses a relayed request.
func (g *Gateway) readRelayed(context *fasthttp.RequestCtx) (*request, directory.Instance, *fault.Error) {
	now := g.clock.Now()
	header := &context.Request.Header
	current := &request{
		id: string(header.Peek(g.dialect.RequestID)), inbound: &context.Request, answer: &context.Response, clock: g.clock,
		arrived: now, deadline: now + g.settings.MaxTimeout, interrupt: &forward.Interrupt{},
	}
	target, failure := relay.TakeTarget(header)
	if failure != nil {
		return current, directory.Instance{}, failure
	}
	table := g.subscription.current()
	if g.stopping.Load() || table == nil {
		return current, directory.Instance{}, fault.New(fault.RouterStopping, "this gateway is starting or stopping")
	}
	if err := current.readDeadline(g.dialect.Deadline); err != nil {
		return current, directory.Instance{}, asFault(err)
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	route, found := table.Route(string(header.Host()), string(path))
	if !found {
		return current, directory.Instance{}, fault.Newf(fault.UnknownService, "no route for host %.100q", header.Host())
	}
	if name := string(header.Peek(g.dialect.Tenant)); name != "" {
		current.tenant = &directory.Tenant{Name: name}
	}
	current.route, current.urgency = route, table.Urgency(route, current.tenant)
	current.service, current.keyed, current.key = target.Service, target.Keyed, target.Key
	service, found := table.Service(target.Service)
	if !found {
		return current, directory.Instance{}, fault.Newf(fault.NoOwner, "service %q is not configured", target.Service)
	}
	instance, found := service.Instance(target.Instance)
	if !found {
		return current, directory.Instance{}, fault.Newf(fault.NoOwner, "instance %s is not known", target.Instance)
	}
	return current, instance, nil
}

// executeRelayed makes the attempt of a relayed request, over a connection of this gateway or not at all.
func (g *Gateway) executeRelayed(context *fasthttp.RequestCtx, current *request, instance directory.Instance) (relay.Result, *fault.Error) {
	if !g.reach.Reachable(instance.ID) {
		return g.unreachedResult(), fault.Newf(fault.ConnectFailed, "this gateway cannot reach instance %s", instance.ID)
	}
	if err := g.admitToLink(current); err != nil {
		return relay.NotSent, asFault(err)
	}
	result, failure := g.sendRelayed(context, current, instance)
	g.settleLink(current, failure == nil)
	return result, failure
}

// sendRelayed sends a relayed request that was admitted.
func (g *Gateway) sendRelayed(context *fasthttp.RequestCtx, current *request, instance directory.Instance) (relay.Result, *fault.Error) {
	defer g.callers.watch(context.Conn(), current)()
	now := g.clock.Now()
	g.balancer.TryBegin(now, instance, math.MaxInt)
	began := time.Now()
	attempt, failure := g.send(current, instance, way{
		client: g.upstreams.client(instance),
		check:  func() *fault.Error { return g.checkRelayed(context.Conn(), current, instance) },
	})
	if failure == nil {
		g.recordSignal(current, instance, now)
	}
	g.recordReach(current, instance.ID, attempt, failure)
	g.balancer.End(balance.Outcome{Now: g.clock.Now(), Service: current.service, Instance: instance.ID, Took: time.Since(began), Answered: failure == nil})
	g.attemptEnded.Raise()
	if stream, metered := context.Conn().(*meteredStream); metered {
		stream.turn = g.pacer.turnFunc(current, len(current.answer.Body()))
	}
	if failure != nil && failure.Kind == fault.ConnectFailed {
		return g.unreachedResult(), failure
	}
	return relay.ResultOf(failure), failure
}

// unreachedResult returns the result for an instance that this gateway cannot reach.
func (g *Gateway) unreachedResult() relay.Result {
	if g.reach.CutOff() {
		return relay.CutOff
	}
	return relay.InstanceUnreached
}

// checkRelayed is called just before the first byte of a relayed request is written. It returns why the request
// may no longer be sent; nil if it may.
func (g *Gateway) checkRelayed(connection net.Conn, current *request, instance directory.Instance) *fault.Error {
	if current.remaining() <= 0 || hasDisconnected(connection) {
		return fault.New(fault.DeadlineBeforeStart, "the deadline passed, or the other gateway gave the request up, before it was sent")
	}
	if failure := g.rejectBeforeStop(current); failure != nil {
		return failure
	}
	if wait := g.signals.rest(g.clock.Now(), instance.ID); wait > 0 {
		return fault.Newf(fault.NoOwner, "instance %s wants no requests for %s", instance.ID, wait.Round(time.Millisecond))
	}
	if failure := g.checkTable(); failure != nil {
		return failure
	}
	if !g.maySendTo(current, instance) {
		return fault.Newf(fault.NoOwner, "instance %s may not get the request any more", instance.ID)
	}
	return nil
}

// logRelayed logs a relayed request that got no answer of its instance.
func (g *Gateway) logRelayed(current *request, id directory.InstanceID, result relay.Result, failure *fault.Error) {
	if failure == nil {
		return
	}
	telemetry.WithError(g.log, telemetry.EventRelayFailed, failure).WithField(telemetry.FieldRequest, current.id).
		WithField(telemetry.FieldServer, id).WithField(telemetry.FieldService, current.service).WithField("result", result).
		WithField(telemetry.FieldDuration, (g.clock.Now() - current.arrived).Milliseconds()).Info("relayed request failed")
}
