package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/overload"
)

const mebibyte = 1 << 20

// stalledClient is a client that may always be evicted.
type stalledClient struct{ connection net.Conn }

func (stalledClient) Stalled(overload.Phase) bool { return true }

func (c stalledClient) Evict(overload.Phase) { _ = c.connection.SetReadDeadline(time.Unix(1, 0)) }

// result is what Read returned for one request.
type result struct {
	body Body
	err  error
}

// server reads the bodies of requests on in-memory connections, and keeps their memory.
type server struct {
	t        *testing.T
	budget   *overload.Budget
	listener *fasthttputil.InmemoryListener
	results  chan result
}

func newServer(t *testing.T, bytes int64, maxBytes int) *server {
	s := &server{
		t: t, budget: overload.NewBudget(overload.Limits{Bytes: bytes, Connections: 100}),
		listener: fasthttputil.NewInmemoryListener(), results: make(chan result, 100),
	}
	system := clock.NewSystem()
	handler := func(context *fasthttp.RequestCtx) {
		load := s.budget.Open(system.Now(), stalledClient{context.Conn()})
		body, err := Read(context, maxBytes, load, system)
		s.results <- result{body, err}
		if err != nil {
			load.Close()
			context.SetConnectionClose()
		}
	}
	httpServer := &fasthttp.Server{Handler: handler, StreamRequestBody: true, MaxRequestBodySize: maxBytes, DisablePreParseMultipartForm: true}
	var group conc.WaitGroup
	group.Go(func() { _ = httpServer.Serve(s.listener) })
	t.Cleanup(func() {
		_ = s.listener.Close()
		group.Wait()
	})
	return s
}

// send writes to a new connection, which stays open until the test ends.
func (s *server) send(text string) {
	s.t.Helper()
	connection, err := s.listener.Dial()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = connection.Close() })
	var group conc.WaitGroup
	s.t.Cleanup(group.Wait)
	group.Go(func() { _, _ = io.WriteString(connection, text) }) // a server that refuses the body does not read on
}

func (s *server) next() result {
	s.t.Helper()
	select {
	case got := <-s.results:
		return got
	case <-time.After(20 * time.Second):
		s.t.Fatal("no body was read")
		return result{}
	}
}

func withLength(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunked(body string, size int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

func TestBodiesAreReadWhole(t *testing.T) {
	s := newServer(t, 64*mebibyte, 8*mebibyte)
	for _, length := range []int{0, 1, 8 << 10, 8<<10 + 1, 100_000, mebibyte, 3*mebibyte + 7, 8 * mebibyte} {
		content := strings.Repeat("0123456789", length/10+1)[:length]
		for name, text := range map[string]string{"with a length": withLength(content), "chunked": chunked(content, 1000)} {
			s.send(text)
			got := s.next()
			var sent bytes.Buffer
			outgoing := fasthttp.AcquireRequest()
			got.body.SetTo(outgoing)
			if err := outgoing.BodyWriteTo(&sent); err != nil {
				t.Fatal(err)
			}
			if got.err != nil || got.body.Len() != length || sent.String() != content {
				t.Errorf("%s, %d bytes: read %d, sent %d, error %v", name, length, got.body.Len(), sent.Len(), got.err)
			}
		}
	}
}

func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	s := newServer(t, 64*mebibyte, mebibyte)
	content := strings.Repeat("x", mebibyte+1)
	for _, text := range []string{withLength(content)[:200+8<<10], chunked(content, 5000)} {
		s.send(text)
		if got := s.next(); !errors.Is(got.err, ErrTooLarge) {
			t.Errorf("error %v", got.err)
		}
	}
}

// TestBodyWithoutMemoryIsRefusedAtItsHead: nothing of the body need have come.
func TestBodyWithoutMemoryIsRefusedAtItsHead(t *testing.T) {
	s := newServer(t, 2*mebibyte, 8*mebibyte)
	s.send(withLength(strings.Repeat("x", 3*mebibyte))[:100+8<<10])
	if got := s.next(); !errors.Is(got.err, ErrNoMemory) {
		t.Errorf("error %v", got.err)
	}
	if used := s.budget.Used(); used != 0 {
		t.Errorf("%d bytes are still taken", used)
	}
}

func TestChunkedBodyWithoutMemoryIsRefused(t *testing.T) {
	s := newServer(t, 2*mebibyte, 8*mebibyte)
	s.send(chunked(strings.Repeat("x", 3*mebibyte), 3))
	if got := s.next(); !errors.Is(got.err, ErrNoMemory) {
		t.Errorf("error %v", got.err)
	}
}

// TestStalledBodyIsEvicted: a body that stops short gives its memory to the next one.
func TestStalledBodyIsEvicted(t *testing.T) {
	s := newServer(t, 4*mebibyte, 8*mebibyte)
	text := withLength(strings.Repeat("x", 3*mebibyte))
	s.send(text[:len(text)-1])
	for end := time.Now().Add(20 * time.Second); s.budget.Used() < 3*mebibyte-overload.FreeBytes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	// The stalled one must have rested for a while; a client that is refused meanwhile comes back.
	for range 100 {
		s.send(text)
		first := s.next()
		if errors.Is(first.err, ErrEvicted) {
			if second := s.next(); second.err != nil {
				t.Errorf("the next body: %v", second.err)
			}
			return
		}
		if !errors.Is(first.err, ErrNoMemory) {
			t.Fatalf("error %v", first.err)
		}
	}
	t.Error("the stalled body keeps its memory")
}

// TestRequestOfAnEvictedConnectionIsNotServed guards against a request without a body that runs though its connection was
// evicted: nothing could evict the connection while its answer waits to be taken.
func TestRequestOfAnEvictedConnectionIsNotServed(t *testing.T) {
	const short = time.Second
	budget := overload.NewBudget(overload.Limits{Bytes: mebibyte, Connections: 1})
	var context fasthttp.RequestCtx
	load := budget.Open(0, stalledClient{&net.TCPConn{}})
	load.Enter(0, overload.Reading)
	budget.Open(short, stalledClient{&net.TCPConn{}})
	if !load.Evicted() {
		t.Fatal("the connection was not evicted")
	}
	if _, err := Read(&context, mebibyte, load, clock.NewSystem()); !errors.Is(err, ErrEvicted) {
		t.Errorf("error %v", err)
	}
}
