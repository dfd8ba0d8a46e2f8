package controller

import (
	"context"
	"net"
	runtimemetrics "runtime/metrics"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
)

// listenEndlessly answers each connection's first bytes with a beginning, and then with text until it ends.
func listenEndlessly(t *testing.T, beginning, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	repeated := []byte(text)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = accepted.Close() }()
				if _, err := accepted.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err := accepted.Write([]byte(beginning))
				for err == nil {
					_, err = accepted.Write(repeated)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// TestAnswersWithoutEndAreBrokenOffByControllers guards against controllers that run out of memory because a server or the
// platform never ends its answer: to a lease message, and to the question for the list of machines.
func TestAnswersWithoutEndAreBrokenOffByControllers(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		// retries is how often a client of the platform may ask again. A buffer that doubles up to twice the limit
		// takes growth times the limit in all; overhead is what a call takes besides.
		retries, growth, overhead = 5, 4, 1 << 20
	)
	block := strings.Repeat("a", 0x8000)
	settings := config.DefaultController()
	for name, c := range map[string]struct{ beginning, text string }{
		"large chunk":        {chunked + "3900000\r\n", block},
		"chunks without end": {chunked, "8000\r\n" + block + "\r\n"},
		"no length":          {head + "\r\n", block},
		"long length":        {head + "Content-Length: 60000000\r\n\r\n", block},
		"head without end":   {head, "X: " + block},
		"trailers":           {chunked + "0\r\n", "X: y\r\n"},
		"interim answers":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"continue":           {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenEndlessly(t, c.beginning, c.text)
			leases := newLeaseSender(context.Background(), settings.Lease, nil)
			defer leases.stop()
			before := heapAllocated()
			if _, err := leases.exchange(coordinator.Send{Address: address}); err == nil {
				t.Error("an endless answer to a lease message was taken")
			}
			checkAllocated(t, "lease message", before, growth*settings.Lease.MaxAnswerBytes+overhead)
			platform := settings.Platform
			platform.URL = "http://" + address + "/"
			before = heapAllocated()
			if _, err := newPlatformPoller(platform, nil).fetch(); err == nil {
				t.Error("an endless list of machines was taken")
			}
			checkAllocated(t, "list of machines", before, retries*(growth*platform.MaxAnswerBytes+overhead))
		})
	}
}

// heapAllocated returns the number of bytes that the process has ever allocated on its heap.
func heapAllocated() uint64 {
	samples := []runtimemetrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	runtimemetrics.Read(samples)
	return samples[0].Value.Uint64()
}

func checkAllocated(t *testing.T, what string, before uint64, bound int) {
	t.Helper()
	if bytes := heapAllocated() - before; bytes > uint64(bound) {
		t.Errorf("%s: %d bytes were allocated, the bound is %d", what, bytes, bound)
	}
}
