package gateway

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
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// probePause is the time between the two connections by which a gateway finds out whether an
	// instance that lost a request has ended: the first one may reach a process that is ending.
	probePause = 400 * time.Millisecond
	// probeTimeout bounds the wait for such a connection.
	probeTimeout = 250 * time.Millisecond
	// mostProbes bounds the instances that are probed at the same time.
	mostProbes = 64
)

// crashes finds the requests that were in flight at instances when these crashed. It is safe for
// concurrent use.
type crashes struct {
	clock   clock.Clock
	log     *logrus.Entry
	mutex   sync.Mutex
	witness *quarantine.Witness
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

func newCrashes(system clock.Clock, log *logrus.Entry, found func([]quarantine.Loss)) *crashes {
	return &crashes{clock: system, log: log, found: found, witness: quarantine.NewWitness(), probed: make(map[directory.InstanceID]bool), wanted: make(chan probeTarget, mostProbes)}
}

// run probes instances until the context ends.
func (c *crashes) run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-c.wanted:
			group.Go(func() { c.probe(ctx, target) })
		}
	}
}

// lost takes a request that an instance left without an answer. Probe is true if the connection
// ended, which the end of the instance would explain.
func (c *crashes) lost(loss quarantine.Loss, address string, probe bool) {
	c.mutex.Lock()
	crashed := c.witness.Lost(c.clock.Now(), loss)
	start := probe && len(crashed) == 0 && !c.probed[loss.Instance] && len(c.probed) < mostProbes
	if start {
		c.probed[loss.Instance] = true
	}
	c.mutex.Unlock()
	c.report(crashed)
	if start {
		c.wanted <- probeTarget{loss.Instance, address}
	}
}

// probe finds out whether an instance has ended: nobody listens at its address then.
func (c *crashes) probe(ctx context.Context, target probeTarget) {
	refused, reached := connectionRefused(target.address)
	if !refused {
		clock.Sleep(ctx, probePause)
		refused, reached = connectionRefused(target.address)
	}
	c.mutex.Lock()
	delete(c.probed, target.id)
	if reached {
		c.witness.Reached(c.clock.Now(), target.id)
	}
	c.mutex.Unlock()
	if refused {
		c.ended(target.id)
	}
}

// connectionRefused reports whether nobody listens at an address, or whether a connection was made.
// Neither is true where the machine does not answer.
func connectionRefused(address string) (refused, reached bool) {
	connection, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	_ = connection.Close() // nothing was sent
	return false, true
}

// ended takes a proof that an instance ended.
func (c *crashes) ended(id directory.InstanceID) {
	c.mutex.Lock()
	crashed := c.witness.Ended(c.clock.Now(), id)
	c.mutex.Unlock()
	c.report(crashed)
}

// note takes a new table: an instance whose address belongs to another one has ended.
func (c *crashes) note(table *routing.Table) {
	for _, instance := range table.Changed {
		c.mutex.Lock()
		waiting := instance.Ended && c.witness.Waiting(instance.ID)
		c.mutex.Unlock()
		if waiting {
			c.ended(instance.ID)
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

func (c *crashes) report(crashed []quarantine.Loss) {
	if len(crashed) == 0 {
		return
	}
	c.found(crashed)
	var requests []requestInFlight
	for _, loss := range crashed[:min(len(crashed), mostLogged)] {
		requests = append(requests, requestInFlight{loss.RequestID, loss.Fingerprint.String(), (loss.Ended - loss.Began).Milliseconds()})
	}
	last := crashed[len(crashed)-1]
	telemetry.With(c.log, telemetry.EventServerCrashed).WithField(telemetry.FieldServer, last.Instance).
		WithField(telemetry.FieldService, last.Service).WithField(telemetry.FieldCount, len(crashed)).
		WithField("requests", requests).WithField("age_ms", (c.clock.Now() - last.Ended).Milliseconds()).
		Warn("an instance ended while requests ran at it")
}
