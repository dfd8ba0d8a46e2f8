package sim

import (
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
)

// connection is one table connection between a router and a controller.
type connection struct {
	router     *router
	controller *controller
	up, down   *network.Pipe
	// generation is the life of the controller process that took the
	// connection; zero before that.
	generation int
}

func (c *connection) close() {
	c.up.Close()
	c.down.Close()
}

// toRouter queues a frame for the router.
func (c *connection) toRouter(frame message.ControllerFrame) {
	c.controller.outgoing(func() {
		c.down.Send(func() { c.router.receive(func() { c.router.take(c, frame) }) })
	})
}

// toController queues a frame for the controller.
func (c *connection) toController(frame message.RouterFrame) {
	c.router.outgoing(func() {
		c.up.Send(func() { c.controller.receive(func() { c.controller.takeFrame(c, frame) }) })
	})
}

// stream is the controller's side of a connection.
type stream struct {
	connection *connection
	position   tablestream.Position
}

func (c *controller) takeFrame(from *connection, frame message.RouterFrame) {
	if frame.Hello != nil {
		from.generation = c.generation
	}
	switch {
	case c.replica == nil || !c.replica.driver.Leading() || from.generation != c.generation:
		from.toRouter(c.refusal())
	case frame.Hello != nil:
		c.replica.subscribe(from, *frame.Hello)
	case frame.Ping != nil:
		ping := *frame.Ping
		c.step(func() {
			c.replica.readRevision(func(revision state.Revision) {
				from.toRouter(message.ControllerFrame{Pong: &message.Pong{Nonce: ping.Nonce, SentNs: ping.SentNs, Revision: revision}})
			})
		})
	}
}

// refusal names the leader, if this controller knows one.
func (c *controller) refusal() message.ControllerFrame {
	refusal := message.Refusal{Kind: fault.NotLeader}
	if c.replica != nil {
		leader := c.replica.core.Status().Leader
		for _, other := range c.sim.controllers {
			if leader != 0 && other.self.Replica == leader {
				refusal.Detail = string(other.node)
			}
		}
	}
	return message.ControllerFrame{Refusal: &refusal}
}

// subscribe decides what the router holds already, and sends the rest.
func (r *replica) subscribe(from *connection, hello message.RouterHello) {
	added := &stream{connection: from, position: tablestream.Begin(hello, r.table())}
	r.streams = append(r.streams, added)
	r.feed(added)
}

func (r *replica) table() tablestream.Table {
	return tablestream.Table{Cluster: r.owner.self.Cluster, Revision: r.state.Revision(), Digest: r.state.Digest()}
}

func (r *replica) feedStreams() {
	for _, subscribed := range r.streams {
		r.feed(subscribed)
	}
}

func (r *replica) feed(to *stream) {
	changes, _, reached := to.position.Next(r.history)
	if !reached {
		r.feedWhole(to)
		return
	}
	for _, change := range changes {
		to.connection.toRouter(message.ControllerFrame{Delta: r.sim.spoil(change.Delta)})
		to.position.SentChange(change)
	}
}

// feedWhole sends the whole table in parts.
func (r *replica) feedWhole(to *stream) {
	table := r.table()
	for _, part := range tablestream.Parts(table, r.state.Objects(), r.sim.settings.Table.SnapshotObjects) {
		to.connection.toRouter(message.ControllerFrame{Snapshot: &part})
	}
	to.position.SentSnapshot(table.Revision)
}

func (r *replica) closeStreams() {
	for _, subscribed := range r.streams {
		subscribed.connection.toRouter(message.ControllerFrame{Refusal: &message.Refusal{}})
	}
	r.streams = nil
}
