package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	runtimemetrics "runtime/metrics"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/message"
)

// listenRaw accepts connections until the test ends, and calls serve for each.
func listenRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = accepted.Close() }()
				serve(accepted)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// answerEndlessly reads a request, writes a beginning once, and then text until the connection ends.
func answerEndlessly(beginning, text string) func(net.Conn) {
	repeated := []byte(text)
	return func(connection net.Conn) {
		if _, err := connection.Read(make([]byte, 4096)); err != nil {
			return
		}
		_, err := connection.Write([]byte(beginning))
		for err == nil {
			_, err = connection.Write(repeated)
		}
	}
}

// putInstances lets a gateway reach its three instances, which serve connections as given.
func putInstances(t *testing.T, gateway *Gateway, serve func(net.Conn)) {
	t.Helper()
	var instances []directory.Instance
	for _, id := range []directory.InstanceID{"i0", "i1", "i2"} {
		gateway.reach.Reached(0, id)
		instances = append(instances, directory.Instance{ID: id, Service: "s", Address: listenRaw(t, serve), Zone: "z", Slots: 100, State: directory.InstanceReady})
	}
	changed := directory.New()
	if err := changed.Apply(9, directory.Command{Instances: instances}); err != nil {
		t.Fatal(err)
	}
	changes := changed.RoutingSince(0)
	changes.From = gateway.subscription.current().Revision
	if err := gateway.subscription.apply(message.DirectoryUpdate{Changes: &changes}, source{}); err != nil {
		t.Fatal(err)
	}
}

// TestAnswersWithoutEndAreBrokenOffOnEachWay guards against gateways that run out of memory because an instance never ends
// its answer: the one that calls the instance, and the one that gets the answer through it.
func TestAnswersWithoutEndAreBrokenOffOnEachWay(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	block := strings.Repeat("a", 0x8000)
	for name, serve := range map[string]func(net.Conn){
		"large chunk":        answerEndlessly(chunked+"3900000\r\n", block),
		"chunks without end": answerEndlessly(chunked, "8000\r\n"+block+"\r\n"),
		"no length":          answerEndlessly(head+"\r\n", block),
		"long length":        answerEndlessly(head+"Content-Length: 60000000\r\n\r\n", block),
		"head without end":   answerEndlessly(head, "X: "+block),
		"trailers":           answerEndlessly(chunked+"0\r\n", "X: y\r\n"),
		"interim answers":    answerEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) { checkBrokenOff(t, serve) })
	}
}

func checkBrokenOff(t *testing.T, serve func(net.Conn)) {
	t.Helper()
	const (
		requests, bound = 8, 1 << 20
		// overhead is what a request takes besides its answer, at both gateways and the instance.
		overhead = 1 << 20
	)
	memory := forward.NewAnswerMemory(bound)
	direct := newCutOffGateway(t)
	direct.upstreams.settings.AnswerMemory = memory
	putInstances(t, direct, serve)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving conc.WaitGroup
	defer serving.Wait()
	defer cancel()
	serving.Go(func() { _ = direct.servePeersOn(ctx, listener) })
	relayed := newCutOffGateway(t, &stubRelay{address: listener.Addr().String()})
	relayed.relays.settings.AnswerMemory = memory
	for way, gateway := range map[string]*Gateway{"direct": direct, "relayed": relayed} {
		before := heapAllocated()
		for range requests {
			if response := ask(gateway, "/once/"); response.StatusCode() != fasthttp.StatusBadGateway {
				t.Errorf("%s: status %d, want %d: %s", way, response.StatusCode(), fasthttp.StatusBadGateway, response.Body())
			}
		}
		if bytes := heapAllocated() - before; bytes > requests*(bound+overhead) {
			t.Errorf("%s: %d requests allocated %d bytes", way, requests, bytes)
		}
		if used := memory.Used(); used != 0 {
			t.Errorf("%s: %d bytes stay reserved", way, used)
		}
	}
}

// TestStopDoesNotWaitForSlowReaders guards against a stop that outlasts its time because a caller does not read a long
// answer. The answer cannot be finished; the process still ends in time.
func TestStopDoesNotWaitForSlowReaders(t *testing.T) {
	const length = 16 << 20
	gateway := newCutOffGateway(t)
	gateway.settings.StopNotice, gateway.settings.StopTimeout = 0, 1500*time.Millisecond
	body := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", length))
	putInstances(t, gateway, func(connection net.Conn) {
		if _, err := connection.Read(make([]byte, 4096)); err == nil {
			_, _ = connection.Write(body)
		}
	})
	var listeners [2]net.Listener
	for index := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[index] = listener
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	var group conc.WaitGroup
	group.Go(func() { ended <- gateway.serveOn(ctx, listeners[0], listeners[1]) })
	defer group.Wait()
	caller, err := net.Dial("tcp", listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := fmt.Fprint(caller, "GET /once/ HTTP/1.1\r\nHost: h.example\r\nThorntiller-Request-Id: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(caller, first); err != nil || string(first) != "HTTP/1.1 200" {
		t.Fatalf("the answer begins with %q: %v", first, err)
	}
	began := time.Now()
	cancel()
	<-ended
	if took := time.Since(began); took > gateway.settings.StopTimeout {
		t.Errorf("the stop took %s, the bound is %s", took, gateway.settings.StopTimeout)
	}
}

// heapAllocated returns the number of bytes that the process has ever allocated on its heap.
func heapAllocated() uint64 {
	samples := []runtimemetrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	runtimemetrics.Read(samples)
	return samples[0].Value.Uint64()
}
