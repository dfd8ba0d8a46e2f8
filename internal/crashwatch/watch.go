package crashwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// probePause is the time between the two connections that tell whether an instance that lost a
	// request has ended: the first one may reach a process that is ending.
	probePause = 400 * time.Millisecond
	// probeTimeout bounds the wait for such a connection.
	probeTimeout = 250 * time.Millisecond
	// mostProbes bounds the instances that are probed at the same time.
	mostProbes = 64
)

// Watch finds the requests that were in flight at instances when these crashed. It is safe for
// concurrent use.
type Watch struct {
	clock   clock.Clock
	log     *logrus.Entry
	mutex   sync.Mutex
	witness *quarantine.CrashDetector
	// found takes the requests that were in flight at a crash.
	found func([]quarantine.Loss)
	// probed are the instances that are probed now, or wait for it.
	probed map[directory.InstanceID]bool
	// wanted has the instances that are to be probed.
	wanted chan probeTarget
}

// probeTarget is an instance that may have ended.
type probeTarget struct {
	id      directory.InstanceID
	address string
}

// NewWatch returns a watch that tells a function of the requests that it found.
func NewWatch(system clock.Clock, log *logrus.Entry, found func([]quarantine.Loss)) *Watch {
	return &Watch{
		clock: system, log: log, found: found, witness: quarantine.NewCrashDetector(),
		probed: make(map[directory.InstanceID]bool), wanted: make(chan probeTarget, mostProbes),
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
		case target := <-w.wanted:
			group.Go(func() { w.probe(ctx, target) })
		}
	}
}

// Lost takes a request that an instance left without an answer. Probe is true if the connection
// ended, which the end of the instance would explain.
func (w *Watch) Lost(loss quarantine.Loss, address string, probe bool) {
	w.mutex.Lock()
	crashed := w.witness.Lost(w.clock.Now(), loss)
	start := probe && len(crashed) == 0 && !w.probed[loss.Instance] && len(w.probed) < mostProbes
	if start {
		w.probed[loss.Instance] = true
	}
	w.mutex.Unlock()
	w.report(crashed)
	if start {
		w.wanted <- probeTarget{loss.Instance, address}
	}
}

// probe finds out whether an instance has ended: nobody listens at its address then.
func (w *Watch) probe(ctx context.Context, target probeTarget) {
	refused := connectionRefused(target.address)
	if !refused {
		clock.Sleep(ctx, probePause)
		refused = connectionRefused(target.address)
	}
	w.mutex.Lock()
	delete(w.probed, target.id)
	w.mutex.Unlock()
	if refused {
		w.ended(target.id)
	}
}

// connectionRefused reports whether nobody listens at an address. A connection that is made proves
// nothing: a proxy may stand between.
func connectionRefused(address string) bool {
	connection, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // nothing was sent
	return false
}

// ended takes a proof that an instance ended.
func (w *Watch) ended(id directory.InstanceID) {
	w.mutex.Lock()
	crashed := w.witness.Ended(w.clock.Now(), id)
	w.mutex.Unlock()
	w.report(crashed)
}

// Check asks of each instance whose end would explain losses whether it has ended, as the caller knows
// it: its address belongs to another instance, or its server lives again.
func (w *Watch) Check(hasEnded func(directory.InstanceID) bool) {
	w.mutex.Lock()
	waiting := w.witness.Waiting()
	w.mutex.Unlock()
	for _, id := range waiting {
		if hasEnded(id) {
			w.ended(id)
		}
	}
}

// requestInFlight is a request that was in flight at a crash, in a log line.
type requestInFlight struct {
	RequestID   string `json:"request_id"`
	Fingerprint string `json:"fingerprint"`
	RanMs       int64  `json:"ran_ms"`
}

// mostLogged bounds the requests that a log line names.
const mostLogged = 16

func (w *Watch) report(crashed []quarantine.Loss) {
	if len(crashed) == 0 {
		return
	}
	w.found(crashed)
	var requests []requestInFlight
	for _, loss := range crashed[:min(len(crashed), mostLogged)] {
		requests = append(requests, requestInFlight{loss.RequestID, loss.Fingerprint.String(), (loss.Ended - loss.Began).Milliseconds()})
	}
	last := crashed[len(crashed)-1]
	telemetry.With(w.log, telemetry.EventServerCrashed).WithField(telemetry.FieldServer, last.Instance).
		WithField(telemetry.FieldService, last.Service).WithField(telemetry.FieldCount, len(crashed)).
		WithField("requests", requests).WithField("age_ms", (w.clock.Now() - last.Ended).Milliseconds()).
		Warn("an instance ended while requests ran at it")
}
