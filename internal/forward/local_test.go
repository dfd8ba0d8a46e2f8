package forward

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestLocalFailuresAreNotThoseOfTheBackEnd guards against back ends that are blamed because the own machine lacks
// descriptors, ports or memory for a connection.
func TestLocalFailuresAreNotThoseOfTheBackEnd(t *testing.T) {
	for cause, want := range map[syscall.Errno]fault.Kind{
		syscall.EMFILE: fault.SocketUnavailable, syscall.ENFILE: fault.SocketUnavailable, syscall.EADDRNOTAVAIL: fault.SocketUnavailable,
		syscall.ENOBUFS: fault.SocketUnavailable, syscall.ENOMEM: fault.SocketUnavailable,
		syscall.ECONNREFUSED: fault.ConnectFailed, syscall.EHOSTUNREACH: fault.ConnectFailed, syscall.ETIMEDOUT: fault.ConnectFailed,
	} {
		client := NewClient("127.0.0.1:1", Settings{
			ConnectTimeout: testTimeout, IdleTimeout: testTimeout, MaxConnections: 1, ControlConnections: 1, MaxAnswerBytes: 1000,
			Dial: func(string, time.Duration) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", cause)}
			},
		})
		local := want == fault.SocketUnavailable
		attempt := &Attempt{ID: "1", Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Timeout: testTimeout}
		if failure := client.Do(attempt); failure == nil || failure.Kind != want {
			t.Errorf("%s: failure %v, want %s", cause, failure, want)
		}
		if err := client.Probe(); IsLocal(err) != local {
			t.Errorf("%s: the probe ended with %v", cause, err)
		}
		if healthy, err := client.Healthy(testTimeout); healthy || (err != nil) != local {
			t.Errorf("%s: healthy %t, %v", cause, healthy, err)
		}
	}
}
