package listen

import (
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// acceptRetryDelay is the wait after a connection could not be accepted: with short-lived connections, some are closed
// within it.
const acceptRetryDelay = 20 * time.Millisecond

// temporaryAcceptErrors are the errors of accept(2) that pass, and after which a server would otherwise stop for good.
var temporaryAcceptErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// retryingListener retries an accept that failed for lack of file descriptors or memory.
type retryingListener struct {
	net.Listener
	waiting waitingLog
}

func newRetryingListener(listener net.Listener, log *logrus.Entry) *retryingListener {
	return &retryingListener{Listener: listener, waiting: waitingLog{log: log, event: telemetry.EventAcceptWaiting, address: listener.Addr().String()}}
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil || !isAny(err, temporaryAcceptErrors) {
			return connection, err
		}
		l.waiting.failed(time.Now(), err)
		time.Sleep(acceptRetryDelay)
	}
}
