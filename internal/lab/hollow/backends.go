package hollow

import (
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// Buffers of one connection; thousands share a process.
	readBuffer  = 1024
	writeBuffer = 1024
	// maxBody bounds a lease message: a server may own every shard.
	maxBody = 64 << 20
	// silenceLimit bounds how long a message to a silent back end is held.
	silenceLimit = 30 * time.Second
)

// BackEndOptions describe a set of hollow back ends.
type BackEndOptions struct {
	// Count is how many there are; Prefix begins their identifiers.
	Count  int
	Prefix string
	// Zones are given out in turn.
	Zones []string
	// Slots and Connections are told to the controllers of each back end.
	Slots       int
	Connections int
	// OnGrant, when not nil, is told of each assignment set that a back end
	// took. It must return at once.
	OnGrant func(Grant)
}

// Grant is an assignment set that a back end took.
type Grant struct {
	Server string
	// At is record.Monotonic of the moment at which it was in force.
	At          time.Duration
	Assignments []backendapi.Assignment
}

// BackEnds are hollow back ends, each at its own loopback address. Until Open
// they refuse every message, so that all can be registered first.
type BackEnds struct {
	options   BackEndOptions
	server    *fasthttp.Server
	listeners []net.Listener
	ordered   []*backEnd
	byPort    map[int]*backEnd
	open      atomic.Bool
	leases    counter
	probes    counter
	requests  counter
	refused   atomic.Uint64
	group     conc.WaitGroup
}

// NewBackEnds listens for every back end. The kernel chooses the ports.
func NewBackEnds(options BackEndOptions) (*BackEnds, error) {
	b := &BackEnds{options: options, byPort: make(map[int]*backEnd, options.Count)}
	b.server = &fasthttp.Server{
		Handler:                       b.handle,
		ReadBufferSize:                readBuffer,
		WriteBufferSize:               writeBuffer,
		MaxRequestBodySize:            maxBody,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: false,
		CloseOnShutdown:               true,
		ReduceMemoryUsage:             false,
		Logger:                        quiet{},
	}
	for number := range options.Count {
		if err := b.listen(number); err != nil {
			b.closeListeners()
			return nil, err
		}
	}
	for number, listener := range b.listeners {
		counted := countedListener{Listener: listener, hollow: b.ordered[number]}
		b.group.Go(func() { _ = b.server.Serve(counted) }) // ends at Stop
	}
	return b, nil
}

// quiet drops the server's lines about connections that broke, which are what
// a measured loss looks like.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (b *BackEnds) listen(number int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrapf(err, "hollow back end %d: ask the kernel for a port", number)
	}
	b.listeners = append(b.listeners, listener)
	address := listener.Addr().(*net.TCPAddr)
	hollow := newBackEnd(fmt.Sprintf("%s-%05d", b.options.Prefix, number), address.String())
	b.ordered = append(b.ordered, hollow)
	b.byPort[address.Port] = hollow
	return nil
}

// Open lets the back ends answer.
func (b *BackEnds) Open() {
	b.open.Store(true)
}

// Specs describes the back ends for an intent.
func (b *BackEnds) Specs() []state.ServerSpec {
	specs := make([]state.ServerSpec, 0, len(b.ordered))
	for number, hollow := range b.ordered {
		specs = append(specs, state.ServerSpec{
			ID: state.ServerID(hollow.id), Address: hollow.address, Zone: b.options.Zones[number%len(b.options.Zones)],
			Slots: b.options.Slots, Connections: b.options.Connections,
		})
	}
	return specs
}

// Silence makes a back end go silent, as a frozen process does: it accepts
// messages and answers none. It returns the moment, by record.Monotonic.
func (b *BackEnds) Silence(number int) time.Duration {
	b.ordered[number].silence()
	return clock.BootTime()
}

// Thaw ends the silence; what was held up is handled then.
func (b *BackEnds) Thaw(number int) {
	b.ordered[number].thaw()
}

// LeaseEnd returns when a back end's lease ends, by record.Monotonic.
func (b *BackEnds) LeaseEnd(number int) time.Duration {
	hollow := b.ordered[number]
	hollow.mutex.Lock()
	defer hollow.mutex.Unlock()
	return hollow.holder.LeaseEnd()
}

// LowestTerm returns the lowest term of the newest messages that back ends took.
func (b *BackEnds) LowestTerm() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, hollow := range b.ordered {
		hollow.mutex.Lock()
		lowest = min(lowest, hollow.term)
		hollow.mutex.Unlock()
	}
	return lowest
}

// TakeGaps returns how many back ends were without a lease for a time since the
// last call, and the longest such time.
func (b *BackEnds) TakeGaps() (int, time.Duration) {
	count, longest := 0, time.Duration(0)
	for _, hollow := range b.ordered {
		hollow.mutex.Lock()
		if hollow.gap > 0 {
			count++
			longest = max(longest, hollow.gap)
		}
		hollow.gap = 0
		hollow.mutex.Unlock()
	}
	return count, longest
}

// ID returns the identifier of a back end.
func (b *BackEnds) ID(number int) state.ServerID {
	return state.ServerID(b.ordered[number].id)
}

// BackEndCounts is what the back ends took since they began.
type BackEndCounts struct {
	Leases   Traffic `json:"leases"`
	Probes   Traffic `json:"probes"`
	Requests Traffic `json:"requests"`
	// Refused counts requests that a back end refused to execute.
	Refused uint64 `json:"refused"`
	// Leased counts back ends that hold a lease now.
	Leased int `json:"leased"`
}

// Counts reads the counters.
func (b *BackEnds) Counts() BackEndCounts {
	now := clock.BootTime()
	counts := BackEndCounts{
		Leases: b.leases.read(), Probes: b.probes.read(), Requests: b.requests.read(), Refused: b.refused.Load(),
	}
	for _, hollow := range b.ordered {
		if hollow.leased(now) {
			counts.Leased++
		}
	}
	return counts
}

// Stop ends every back end.
func (b *BackEnds) Stop() {
	for _, hollow := range b.ordered {
		hollow.thaw()
	}
	_ = b.server.Shutdown() // the process ends, whatever is still open
	b.closeListeners()
	b.group.Wait()
}

func (b *BackEnds) closeListeners() {
	for _, listener := range b.listeners {
		_ = listener.Close() // it only has to stop accepting
	}
}
