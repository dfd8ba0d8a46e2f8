package backend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const (
	incarnationBytes = 16
	// reservedConnections stay open for controllers, health checks and refusals
	// while requests use up the configured connections.
	reservedConnections = 64
	// maxBody bounds the body of a lease message.
	maxBody = 16 << 20
	// maxPayload bounds the body of a request.
	maxPayload = 1 << 20
	// maxKeys bounds the keys whose balance is kept.
	maxKeys = 1 << 20
)

// Backend is one stand-in server process. Its methods are safe for concurrent
// use.
type Backend struct {
	config      Config
	incarnation string
	logger      *logrus.Logger
	records     *record.Writer[record.Execution]
	server      *fasthttp.Server
	listener    net.Listener
	serving     conc.WaitGroup
	faults      *faultState
	arrivals    atomic.Uint64
	coldUntil   time.Duration

	// mutex guards all below.
	mutex       sync.Mutex
	holder      *lease.Holder
	queue       slotQueue
	attempts    *attemptTable
	random      *mathrand.Rand
	executions  uint64
	balances    map[string]uint64
	leaseLoads  shardCounter
	reportLoads shardCounter
	lagging     laggingLoad
}

// New returns a back end that does not listen yet. Each one draws a new
// incarnation.
func New(config Config, logger *logrus.Logger) (*Backend, error) {
	config = config.withDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	incarnation, err := drawIncarnation()
	if err != nil {
		return nil, err
	}
	started := clock.BootTime()
	created := &Backend{
		config:      config,
		incarnation: incarnation,
		logger:      logger,
		faults:      newFaultState(),
		coldUntil:   started + config.ColdStart,
		holder:      lease.NewHolder(config.ID, incarnation, started),
		queue:       slotQueue{slots: config.Slots, limit: config.QueueLimit},
		attempts:    newAttemptTable(maxAttempts, started),
		random:      mathrand.New(mathrand.NewPCG(config.Seed, 0)),
		balances:    make(map[string]uint64),
		leaseLoads:  make(shardCounter),
		reportLoads: make(shardCounter),
		lagging:     laggingLoad{lag: config.LoadLag},
	}
	if config.Observed {
		created.holder.Observe(config.claims())
	}
	created.server = created.newServer()
	return created, nil
}

func drawIncarnation() (string, error) {
	drawn := make([]byte, incarnationBytes)
	if _, err := rand.Read(drawn); err != nil {
		return "", eris.Wrap(err, "draw incarnation")
	}
	return hex.EncodeToString(drawn), nil
}

func (b *Backend) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               b.handle,
		Name:                  "thorntiller-lab",
		Concurrency:           b.config.Connections + reservedConnections,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                b.logger,
	}
}

// Start opens the record file, listens and serves until Shutdown.
func (b *Backend) Start() error {
	if b.config.RecordFile != "" {
		records, err := record.OpenWriter[record.Execution](b.config.RecordFile)
		if err != nil {
			return err
		}
		b.records = records
	}
	listener, err := net.Listen("tcp", b.config.Address)
	if err != nil {
		return eris.Wrapf(err, "address: listen on %q", b.config.Address)
	}
	b.listener = listener
	counting := &countingListener{Listener: listener, limit: int64(b.config.Connections)}
	b.serving.Go(func() {
		if err := b.server.Serve(counting); err != nil {
			b.logger.WithError(err).Error("back end stopped serving")
		}
	})
	return nil
}

// Run serves until the context ends, then stops within the given time.
func (b *Backend) Run(ctx context.Context, stopWithin time.Duration) error {
	if err := b.Start(); err != nil {
		return err
	}
	b.logger.WithField("server", b.config.ID).WithField("address", b.Address()).Info("back end serves")
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
	defer cancel()
	return b.Shutdown(stopping)
}

// Shutdown stops accepting, finishes what runs and closes the record file.
func (b *Backend) Shutdown(ctx context.Context) error {
	b.faults.set(Fault{})
	if err := b.server.ShutdownWithContext(ctx); err != nil {
		return eris.Wrap(err, "stop back end")
	}
	b.serving.Wait()
	if b.records == nil {
		return nil
	}
	return b.records.Close()
}

// Address returns the address that the back end listens on.
func (b *Backend) Address() string {
	return b.listener.Addr().String()
}

// Incarnation returns the identifier of this process.
func (b *Backend) Incarnation() string {
	return b.incarnation
}

// Arrivals returns how many requests arrived, refused ones included.
func (b *Backend) Arrivals() uint64 {
	return b.arrivals.Load()
}

// Executions returns how many requests executed.
func (b *Backend) Executions() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.executions
}

// SetFault replaces the fault in force.
func (b *Backend) SetFault(fault Fault) {
	b.faults.set(fault)
}

// loadLocked is the load as the back end reports it, without shard loads.
func (b *Backend) loadLocked() backendapi.LoadReport {
	report := backendapi.LoadReport{
		Running: b.queue.taken,
		Queued:  b.queue.queued(),
		Slots:   b.config.Slots,
	}
	factor := b.config.LoadLie
	if lie := b.faults.get().LoadLie; lie > 0 {
		factor = lie
	}
	return distort(report, factor)
}

// serviceTimeLocked draws how long the next request executes.
func (b *Backend) serviceTimeLocked(now time.Duration) time.Duration {
	factor := 1.0
	if b.config.ServiceTime.Distribution == DistributionExponential {
		factor = math.Min(b.random.ExpFloat64(), maxServiceFactor)
	}
	if now < b.coldUntil {
		factor *= b.config.ColdStartFactor
	}
	if slow := b.faults.get().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(b.config.ServiceTime.Mean) * factor)
}
