package crashwatch

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// probeInterval is the time between the two connection attempts that show whether an instance which lost a
	// request has ended: the first one may still reach a process that is about to exit.
	probeInterval = 400 * time.Millisecond
	// probeTimeout limits each of these connection attempts.
	probeTimeout = 250 * time.Millisecond
	// maxConcurrentProbes limits the instances that are probed at the same time.
	maxConcurrentProbes = 64
)

// Watch finds the requests that were in flight at instances when these crashed. It is safe for concurrent
// use.
type Watch struct {
	clock    clock.Clock
	log      *logrus.Entry
	mutex    sync.Mutex
	detector *quarantine.CrashDetector
	options  Options
	// probing has the instances that are being probed or wait in probeQueue.
	probing map[directory.InstanceID]bool
	// probeQueue holds the instances to be probed. Its capacity is the limit on probing, so that sends to it
	// do not block.
	probeQueue chan probeTarget
}

// probeTarget is an instance that may have ended.
type probeTarget struct {
	id      directory.InstanceID
	address string
}

// Options are the functions that a watch calls.
type Options struct {
	// OnCrash is called with the requests that were in flight at a crash.
	OnCrash func([]quarantine.Loss)
	// Dial opens the connections of probes; nil means TCP.
	Dial forward.DialFunc
	// Others returns addresses of instances other than the given one. A refused connection proves that an
	// instance has ended only if one of them accepts a connection: else this process may be cut off from all.
	// Nil, or no address, means that nothing is known of others; a refusal is then taken as a proof.
	Others func(id directory.InstanceID) []string
}

// NewWatch returns a watch that finds no crash yet.
func NewWatch(system clock.Clock, log *logrus.Entry, options Options) *Watch {
	if options.Dial == nil {
		options.Dial = forward.DialTCP
	}
	return &Watch{
		clock: system, log: log, options: options, detector: quarantine.NewCrashDetector(),
		probing: make(map[directory.InstanceID]bool), probeQueue: make(chan probeTarget, maxConcurrentProbes),
	}
}

// Run probes instances until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-w.probeQueue:
			group.Go(func() { w.probe(ctx, target) })
		}
	}
}

// Lost records a request that an instance left unanswered. Probe is true if the connection was closed, which
// may mean that the instance has ended.
func (w *Watch) Lost(loss quarantine.Loss, address string, probe bool) {
	w.mutex.Lock()
	crashed := w.detector.Lost(w.clock.Now(), loss)
	startProbe := probe && len(crashed) == 0 && !w.probing[loss.Instance] && len(w.probing) < maxConcurrentProbes
	if startProbe {
		w.probing[loss.Instance] = true
	}
	w.mutex.Unlock()
	w.reportCrash(crashed)
	if startProbe {
		w.probeQueue <- probeTarget{loss.Instance, address}
	}
}

// probe treats an instance as ended if its address refuses connections and others accept them.
func (w *Watch) probe(ctx context.Context, target probeTarget) {
	refused := w.connectionRefused(target.address)
	if !refused {
		clock.Sleep(ctx, probeInterval)
		refused = w.connectionRefused(target.address)
	}
	if refused && !w.reachesOthers(target.id) {
		refused = false
		telemetry.With(w.log, telemetry.EventCrashUnproven).WithField(telemetry.FieldServer, target.id).
			Info("instance refuses connections, and so do others: no proof that it ended")
	}
	w.mutex.Lock()
	delete(w.probing, target.id)
	w.mutex.Unlock()
	if refused {
		w.confirmEnd(target.id)
	}
}

// connectionRefused reports whether nothing listens at an address. A successful connection does not prove
// that the instance is alive, because it may have been accepted by a proxy.
func (w *Watch) connectionRefused(address string) bool {
	connection, err := w.options.Dial(address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // nothing was sent
	return false
}

// reachesOthers reports whether an instance other than the given one accepts a connection, or none is known.
func (w *Watch) reachesOthers(id directory.InstanceID) bool {
	if w.options.Others == nil {
		return true
	}
	addresses := w.options.Others(id)
	for _, address := range addresses {
		connection, err := w.options.Dial(address, probeTimeout)
		if err == nil {
			_ = connection.Close() // nothing was sent
			return true
		}
	}
	return len(addresses) == 0
}

// confirmEnd records a proof that an instance has ended, and reports the crash.
func (w *Watch) confirmEnd(id directory.InstanceID) {
	w.mutex.Lock()
	crashed := w.detector.Ended(w.clock.Now(), id)
	w.mutex.Unlock()
	w.reportCrash(crashed)
}

// Check calls hasEnded for each instance with unexplained losses. The caller may know that an instance has
// ended from the routing table: its address belongs to another instance, or its server has restarted.
func (w *Watch) Check(hasEnded func(directory.InstanceID) bool) {
	w.mutex.Lock()
	waiting := w.detector.Waiting()
	w.mutex.Unlock()
	for _, id := range waiting {
		if hasEnded(id) {
			w.confirmEnd(id)
		}
	}
}

// requestInFlight describes, in a log line, a request that was in flight at a crash.
type requestInFlight struct {
	RequestID   string `json:"request_id"`
	Fingerprint string `json:"fingerprint"`
	RanMs       int64  `json:"ran_ms"`
}

// maxLoggedRequests limits the requests listed in a log line.
const maxLoggedRequests = 16

func (w *Watch) reportCrash(crashed []quarantine.Loss) {
	if len(crashed) == 0 {
		return
	}
	w.options.OnCrash(crashed)
	var requests []requestInFlight
	for _, loss := range crashed[:min(len(crashed), maxLoggedRequests)] {
		requests = append(requests, requestInFlight{loss.RequestID, loss.Fingerprint.String(), (loss.Ended - loss.Began).Milliseconds()})
	}
	last := crashed[len(crashed)-1]
	telemetry.With(w.log, telemetry.EventServerCrashed).WithField(telemetry.FieldServer, last.Instance).
		WithField(telemetry.FieldService, last.Service).WithField(telemetry.FieldCount, len(crashed)).
		WithField("requests", requests).WithField("age_ms", (w.clock.Now() - last.Ended).Milliseconds()).
		Warn("instance ended while requests were in flight")
}
