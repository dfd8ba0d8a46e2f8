package sim

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// Times of a router, as internal/router has them.
const (
	pingInterval   = 150 * time.Millisecond
	silenceLimit   = 600 * time.Millisecond
	reconnectBase  = 25 * time.Millisecond
	reconnectMax   = 250 * time.Millisecond
	requestEvery   = 30 * time.Millisecond
	shortExecution = 20 * time.Millisecond
	longExecution  = 400 * time.Millisecond
)

// router keeps a routing table and drives the cores of requests by it.
type router struct {
	*process
	starts     int
	builder    *table.Builder
	connection *connection
	preferred  int
	failures   int
	resync     bool
	nonce      uint64
	requests   routerRequests
	heard      time.Duration
}

func (r *router) start() {
	r.begin()
	r.starts++
	r.builder = table.NewBuilder()
	r.connection = nil
	r.failures = 0
	r.sim.checker.RouterStarts(string(r.node))
	r.preferred = r.sim.random.IntN(len(r.sim.controllers))
	r.every(pingInterval, r.ping)
	r.startRequests()
	r.connect()
}

func (r *router) crash() {
	r.sim.trace("%s crashes", r.node)
	r.sim.checker.RouterDies(r.life())
	if r.connection != nil {
		r.connection.close()
	}
	r.end()
}

func (r *router) connect() {
	target := r.sim.controllers[r.preferred]
	r.connection = &connection{
		router: r, controller: target,
		up: r.sim.network.NewPipe(r.node, target.node), down: r.sim.network.NewPipe(target.node, r.node),
	}
	r.heard = r.now()
	r.sim.trace("%s connects to %s", r.node, target.node)
	view := r.builder.Table()
	hello := message.RouterHello{Cluster: view.Cluster(), Router: state.Router{ID: state.RouterID(r.node)}}
	if !r.resync {
		hello.Revision = view.Revision()
		hello.Digest = view.Digest()
	}
	r.connection.toController(message.RouterFrame{Hello: &hello})
	r.ping()
}

// ping keeps the connection alive, or gives it up after a long silence.
func (r *router) ping() {
	if r.connection == nil {
		return
	}
	if r.now()-r.heard > max(silenceLimit, 3*pingInterval) {
		r.disconnect("")
		return
	}
	r.nonce++
	r.connection.toController(message.RouterFrame{Ping: &message.Ping{
		Nonce: r.nonce, SentNs: int64(r.now()), Revision: r.builder.Table().Revision(),
	}})
}

// disconnect goes on, after a delay, with the controller that a refusal named,
// else with the next one.
func (r *router) disconnect(named string) {
	r.connection.close()
	r.connection = nil
	r.requests.freshness.Disconnected()
	following := (r.preferred + 1) % len(r.sim.controllers)
	for index, target := range r.sim.controllers {
		if string(target.node) == named && index != r.preferred {
			following = index
		}
	}
	r.preferred = following
	delay := min(reconnectBase<<min(r.failures, 5), reconnectMax)
	r.failures++
	delay = delay/2 + time.Duration(r.sim.random.Int64N(int64(delay/2+1)))
	r.after(delay, r.connect)
}

// take handles a frame of the present connection.
func (r *router) take(from *connection, frame message.ControllerFrame) {
	if r.connection != from {
		return
	}
	r.heard = r.now()
	var err error
	switch {
	case frame.Snapshot != nil:
		var complete bool
		complete, err = r.builder.ApplySnapshot(*frame.Snapshot)
		if complete {
			r.resync = false
			r.failures = 0
			r.inForce()
		}
	case frame.Delta != nil:
		err = r.applyDelta(*frame.Delta)
	case frame.Pong != nil:
		r.requests.freshness.Observe(*frame.Pong, r.builder.Table().Revision())
	case frame.Refusal != nil:
		r.disconnect(frame.Refusal.Detail)
	}
	if err == nil {
		return
	}
	r.sim.trace("%s fetches the table anew: %v", r.node, err)
	r.sim.counts.Resyncs++
	if table.NeedsSnapshot(err) {
		r.resync = true
	}
	r.disconnect("")
}

func (r *router) applyDelta(delta message.TableDelta) error {
	if r.sim.planted.deafRouters {
		return nil
	}
	if r.sim.planted.skipDigest && r.sim.chance(skipDigestChance) {
		delta.Objects = nil
		delta.Digest = r.builder.Table().Digest()
	}
	if err := r.builder.ApplyDelta(delta); err != nil {
		return err
	}
	r.inForce()
	return nil
}

func (r *router) inForce() {
	current := r.builder.Table()
	r.sim.checker.Table(string(r.node), current.Revision(), current.Digest())
	r.sim.checker.Acknowledged(uint64(current.Revision()), "the table of "+string(r.node))
	r.requests.tableChanged()
}
