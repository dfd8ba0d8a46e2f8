package hollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// Waits between two connections, as real routers keep them.
const (
	reconnectBase = 25 * time.Millisecond
	reconnectMax  = 250 * time.Millisecond
)

var errGap = eris.New("a change does not follow the table")

// refusedError carries the address of the leader, if the controller named one.
type refusedError struct {
	leader string
}

// Error implements the error interface.
func (e *refusedError) Error() string {
	return "the controller does not lead; it names " + e.leader
}

// router is one hollow router.
type router struct {
	id        string
	options   RouterOptions
	builder   *table.Builder // nil for routers without a table
	onObjects func(at time.Duration, objects []state.Object)

	mutex sync.Mutex
	held  position

	// traffic holds the bytes of connections that ended.
	traffic    counter
	connection atomic.Pointer[wire.Conn]
	snapshots  atomic.Uint64
	deltas     atomic.Uint64
	breaks     atomic.Uint64
	faults     atomic.Uint64
	// revision is the one in force; proved is when the ping was sent that the
	// newest pong answered, once the table had reached its revision.
	revision atomic.Uint64
	proved   atomic.Int64
}

func newRouter(id string, options RouterOptions, whole bool) *router {
	created := &router{id: id, options: options}
	if whole {
		created.builder = table.NewBuilder()
	}
	return created
}

func (r *router) position() position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.held
}

// run keeps one connection open until the context ends.
func (r *router) run(ctx context.Context) {
	preferred := rand.IntN(len(r.options.Controllers))
	delay := reconnectBase
	for ctx.Err() == nil {
		began := time.Now()
		err := r.connect(ctx, r.options.Controllers[preferred])
		r.breaks.Add(1)
		preferred = r.next(preferred, err)
		delay = min(2*delay, reconnectMax)
		if time.Since(began) > reconnectMax {
			delay = reconnectBase
		}
		pause(ctx, delay/2+rand.N(delay/2+1))
	}
}

// next returns the controller to try after a connection ended: the leader that
// a refusal names, else the one after the last.
func (r *router) next(last int, ended error) int {
	var refused *refusedError
	if errors.As(ended, &refused) {
		if named := slices.Index(r.options.Controllers, refused.leader); named >= 0 {
			return named
		}
	}
	return (last + 1) % len(r.options.Controllers)
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (r *router) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := wire.Dial(ctx, address, wire.Options{})
	if err != nil {
		return err
	}
	r.connection.Store(connection)
	defer r.countBytes(connection)
	defer connection.Close()
	held := r.position()
	hello := message.Hello{Purpose: message.PurposeTable, Cluster: held.cluster, From: r.id}
	if err := connection.Send(ctx, &hello); err != nil {
		return err
	}
	first := message.RouterFrame{Hello: &message.RouterHello{
		Router: state.Router{ID: state.RouterID(r.id), Zone: "hollow"}, Cluster: held.cluster, Revision: held.revision, Digest: held.digest,
	}}
	if err := connection.Send(ctx, &first); err != nil {
		return err
	}
	var group conc.WaitGroup
	defer group.Wait()
	defer connection.Close()
	defer cancel()
	group.Go(func() { r.ping(ctx, connection) })
	return r.receive(connection)
}

// countBytes adds the bytes of a connection that ended.
func (r *router) countBytes(connection *wire.Conn) {
	r.connection.Store(nil)
	r.traffic.received.Add(connection.BytesReceived())
	r.traffic.sent.Add(connection.BytesSent())
}

// read returns the traffic of all connections, the open one included.
func (r *router) read() Traffic {
	traffic := r.traffic.read()
	if connection := r.connection.Load(); connection != nil {
		traffic.Received += connection.BytesReceived()
		traffic.Sent += connection.BytesSent()
	}
	return traffic
}

// ping sends pings until the context ends, and then closes the connection.
func (r *router) ping(ctx context.Context, connection *wire.Conn) {
	defer connection.Close()
	ticker := time.NewTicker(r.options.PingInterval)
	defer ticker.Stop()
	for nonce := uint64(1); ; nonce++ {
		ping := message.Ping{Nonce: nonce, SentNs: int64(clock.BootTime()), Revision: state.Revision(r.revision.Load())}
		if err := connection.Send(ctx, &message.RouterFrame{Ping: &ping}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *router) receive(connection *wire.Conn) error {
	for {
		err := r.receiveOne(connection)
		if err != nil {
			return err
		}
	}
}

func (r *router) receiveOne(connection *wire.Conn) error {
	if r.builder == nil {
		var frame brief
		if err := connection.Receive(&frame); err != nil {
			return err
		}
		return r.takeBrief(frame)
	}
	var frame message.ControllerFrame
	if err := connection.Receive(&frame); err != nil {
		return err
	}
	return r.take(frame)
}

func (r *router) take(frame message.ControllerFrame) error {
	switch {
	case frame.Snapshot != nil:
		complete, err := r.builder.ApplySnapshot(*frame.Snapshot)
		return r.applied(frame.Snapshot.Objects, complete, &r.snapshots, err)
	case frame.Delta != nil:
		err := r.builder.ApplyDelta(*frame.Delta)
		return r.applied(frame.Delta.Objects, err == nil, &r.deltas, err)
	default:
		return r.takeOther(frame.Pong, frame.Refusal)
	}
}

func (r *router) applied(objects []state.Object, complete bool, count *atomic.Uint64, err error) error {
	if err != nil {
		r.faults.Add(1)
		return err
	}
	if r.onObjects != nil {
		r.onObjects(clock.BootTime(), objects)
	}
	if complete {
		view := r.builder.Table()
		r.hold(position{cluster: view.Cluster(), revision: view.Revision(), digest: view.Digest()})
		count.Add(1)
	}
	return nil
}

func (r *router) hold(next position) {
	r.mutex.Lock()
	r.held = next
	r.mutex.Unlock()
	r.revision.Store(uint64(next.revision))
}

func (r *router) takeBrief(frame brief) error {
	held := r.position()
	switch {
	case frame.Snapshot != nil && frame.Snapshot.Last:
		r.snapshots.Add(1)
		r.hold(position{cluster: frame.Snapshot.Cluster, revision: frame.Snapshot.Revision, digest: frame.Snapshot.Digest})
		return nil
	case frame.Snapshot != nil:
		return nil
	case frame.Delta != nil && frame.Delta.From != held.revision:
		r.faults.Add(1)
		return errGap
	case frame.Delta != nil:
		r.deltas.Add(1)
		r.hold(position{cluster: held.cluster, revision: frame.Delta.To, digest: frame.Delta.Digest})
		return nil
	default:
		return r.takeOther(frame.Pong, frame.Refusal)
	}
}

func (r *router) takeOther(pong *message.Pong, refusal *message.Refusal) error {
	if refusal != nil {
		return &refusedError{leader: refusal.Detail}
	}
	if pong == nil {
		return eris.New("the controller sent an empty frame")
	}
	r.traffic.messages.Add(1)
	if r.revision.Load() >= uint64(pong.Revision) {
		r.proved.Store(pong.SentNs)
	}
	return nil
}
