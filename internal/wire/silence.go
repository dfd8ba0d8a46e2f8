package wire

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SilenceTimeout is how long sent bytes may stay unacknowledged before a connection counts
// as dead: a peer without power, or a path that drops all packets, sends no reset. It is far
// above the round-trip times within a region, even behind a queue of some hundred
// milliseconds, and short enough that another peer can still be asked in time.
const SilenceTimeout = 1200 * time.Millisecond

// PatientSilenceTimeout is the same for a connection that is kept while no other one is better: behind a full queue of
// a narrow link, a round trip takes seconds.
const PatientSilenceTimeout = 5 * time.Second

// EndOnSilence sets TCP_USER_TIMEOUT, so that a connection fails once sent bytes have stayed
// unacknowledged for the given time. It has no effect on connections other than TCP. If the
// system rejects the option, the timeouts of reads and writes still apply.
func EndOnSilence(connection net.Conn, after time.Duration) {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}
