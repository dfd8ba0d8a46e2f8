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

// TCP listens on an address, IP:port. While the address cannot be taken for a reason that passes, it logs that and tries
// again until the context ends. The listener retries to accept connections as long as descriptors or memory are lacking.
func TCP(ctx context.Context, address string, log *logrus.Entry) (net.Listener, error) {
	waiting := waitingLog{log: log, event: telemetry.EventListenWaiting, address: address}
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return newRetryingListener(listener, log), nil
		}
		if !isAny(err, temporaryErrors) {
			return nil, err
		}
		waiting.failed(time.Now(), err)
		if clock.Sleep(ctx, retryInterval); ctx.Err() != nil {
			return nil, eris.Wrapf(ctx.Err(), "listen on %s", address)
		}
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
