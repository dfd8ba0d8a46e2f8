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

// temporaryAcceptErrors are the errors that pass, and after which a server would otherwise stop for good.
var temporaryAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENOSPC, // epoll_ctl(2): too many watches of the user
	// Errors of the one connection or of the network, which accept(2) says to treat like EAGAIN; EPERM is a firewall's.
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT,
}

// retryingListener retries an accept that failed for lack of file descriptors or memory, or because the connection has
// failed already.
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
