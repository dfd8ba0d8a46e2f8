package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// retryInterval is the wait after an address could not be taken.
	retryInterval = 50 * time.Millisecond
	// logInterval is the time between two log lines about an address that cannot be taken.
	logInterval = 10 * time.Second
)

// temporaryErrors are the errors of listen(2) and its like that pass without a change of the settings.
var temporaryErrors = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// Address is an address to listen on, IP:port, and the setting that gives it.
type Address struct {
	Setting string
	Address string
}

// TCP listens on an address, IP:port. While the address cannot be taken for a reason that passes, it logs that and tries
// again until the context ends. The listener retries to accept connections as long as descriptors or memory are lacking.
func TCP(ctx context.Context, address string, log *logrus.Entry) (net.Listener, error) {
	listeners, err := All(ctx, log, Address{Setting: "address", Address: address})
	if err != nil {
		return nil, err
	}
	return listeners[0], nil
}

// All is TCP for several addresses, whose listeners it returns in the same order. It keeps none open while one of them
// cannot be taken: clients would wait at a listener that nobody serves yet, where a refused connection lets them go
// elsewhere.
func All(ctx context.Context, log *logrus.Entry, addresses ...Address) ([]net.Listener, error) {
	waiting := waitingLog{log: log, event: telemetry.EventListenWaiting}
	for {
		listeners, err := openAll(log, addresses)
		if err == nil {
			return listeners, nil
		}
		failed := addresses[len(listeners)]
		closeAll(listeners)
		if !isAny(err, temporaryErrors) {
			return nil, eris.Wrapf(err, "%s: listen on %s", failed.Setting, failed.Address)
		}
		waiting.address = failed.Address
		waiting.failed(time.Now(), err)
		if clock.Sleep(ctx, retryInterval); ctx.Err() != nil {
			return nil, eris.Wrapf(ctx.Err(), "%s: listen on %s", failed.Setting, failed.Address)
		}
	}
}

// openAll opens listeners in the order of the addresses. After an error it returns those before the address that failed.
func openAll(log *logrus.Entry, addresses []Address) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.Address)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, newRetryingListener(listener, log))
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close() // nothing was accepted
	}
}

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// waitingLog logs failures at an address, but not each one.
type waitingLog struct {
	log      *logrus.Entry
	event    telemetry.Event
	address  string
	since    time.Time
	loggedAt time.Time
}

func (w *waitingLog) failed(now time.Time, err error) {
	if w.since.IsZero() {
		w.since = now
	}
	if !w.loggedAt.IsZero() && now.Sub(w.loggedAt) < logInterval {
		return
	}
	w.loggedAt = now
	telemetry.WithError(w.log, w.event, err).WithField(telemetry.FieldAddress, w.address).
		WithField(telemetry.FieldDuration, now.Sub(w.since).Milliseconds()).Warn("trying again")
}
