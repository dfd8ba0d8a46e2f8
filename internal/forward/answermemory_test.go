package forward

import (
	"fmt"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// serveRaw starts a back end that reads one request a connection and then calls write.
func serveRaw(t *testing.T, write func(net.Conn)) string {
	t.Helper()
	return listenRaw(t, func(connection net.Conn) {
		if _, err := connection.Read(make([]byte, 4096)); err == nil {
			write(connection)
		}
	})
}

const okHead = "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\n"

// endlessly writes a beginning once and then text until the connection ends.
func endlessly(beginning, text string) func(net.Conn) {
	repeated := []byte(text)
	return func(connection net.Conn) {
		_, err := connection.Write([]byte(beginning))
		for err == nil {
			_, err = connection.Write(repeated)
		}
	}
}

// thenSilent writes a beginning and nothing more until the connection ends.
func thenSilent(beginning string) func(net.Conn) {
	return func(connection net.Conn) {
		_, _ = connection.Write([]byte(beginning))
		_, _ = connection.Read(make([]byte, 1))
	}
}

// allocated returns the number of bytes that the process has ever allocated on its heap.
func allocated() uint64 {
	samples := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}

// watchMemory checks the account all the time until the returned function is called.
func watchMemory(t *testing.T, memory *AnswerMemory, bound int64) (end func()) {
	var ended atomic.Bool
	var group conc.WaitGroup
	group.Go(func() {
		for !ended.Load() {
			if used := memory.Used(); used > bound || used < 0 {
				t.Errorf("%d bytes are reserved, the bound is %d", used, bound)
				return
			}
			runtime.Gosched()
		}
	})
	return func() {
		ended.Store(true)
		group.Wait()
	}
}

// TestBytesWithoutEndAreBounded guards against a process that runs out of memory because instances send answers that
// never end, or announce bodies that never come. Each is broken off, together they take no more than their bound,
// none allocates more than that, and sound answers pass meanwhile.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "8000\r\n" + strings.Repeat("a", 0x8000) + "\r\n"
	for name, write := range map[string]func(net.Conn){
		"chunks without end":            endlessly(chunked, chunk),
		"tiny chunks without end":       endlessly(chunked, strings.Repeat("1\r\na\r\n", 1000)),
		"large chunk":                   endlessly(chunked+"3900000\r\n", chunk),
		"chunk size without end":        endlessly(chunked, "00000000000000000000"),
		"chunk extension without end":   endlessly(chunked+"1", ";extension"),
		"body without length":           endlessly(okHead+"\r\n", chunk),
		"length far above the body":     thenSilent(okHead + "Content-Length: 60000000\r\n\r\n"),
		"length above the limit":        thenSilent(okHead + "Content-Length: 600000000000\r\n\r\n"),
		"large body with its length":    endlessly(okHead+"Content-Length: 60000000\r\n\r\n", chunk),
		"head without end":              endlessly(okHead+"X: ", "xxxxxxxxxxxxxxxx"),
		"fields without end":            endlessly(okHead, "X: xxxxxxxxxxxxxxxx\r\n"),
		"status line without end":       endlessly("HTTP/1.1 200 ", "OKOKOKOKOKOKOKOK"),
		"bytes that are no answer":      endlessly("", "zzzzzzzzzzzzzzzz"),
		"empty lines without end":       endlessly("", "\r\n\r\n\r\n\r\n\r\n\r\n"),
		"trailers without end":          endlessly(chunked+"0\r\n", "X: xxxxxxxxxxxx\r\n"),
		"trailer without end":           endlessly(chunked+"0\r\nX: ", "xxxxxxxxxxxxxxxx"),
		"interim answers without end":   endlessly("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"early hints without end":       endlessly("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
		"continue without end":          endlessly("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"interim answer without an end": endlessly("HTTP/1.1 103 Early Hints\r\n", "Link: </aaaaaaaa>\r\n"),
	} {
		t.Run(name, func(t *testing.T) { checkBounded(t, write, testTimeout, fault.AnswerTruncated) })
	}
	for name, beginning := range map[string]string{
		"chunk far above the body":   "3900000\r\n",
		"chunk whose end is missing": "1\r\na",
		"chunk size without a line":  "39",
		"last chunk without its end": "0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkBounded(t, thenSilent(chunked+beginning), time.Second, fault.DeadlineExceeded)
		})
	}
}

// checkBounded sends requests to an instance whose answers never end, each of which fails in the wanted way, and then one
// to a sound instance.
func checkBounded(t *testing.T, write func(net.Conn), timeout time.Duration, want fault.Kind) {
	t.Helper()
	const (
		attempts, bound = 24, 2 << 20
		// overhead is what an attempt and its instance allocate besides the body.
		overhead = 256 << 10
	)
	memory := NewAnswerMemory(bound)
	settings := Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: attempts, ControlConnections: 1,
		MaxAnswerBytes: 64 << 20, AnswerMemory: memory, AcceptUnframed: true,
	}
	large := strings.Repeat("b", 540<<10)
	endless := NewClient(serveRaw(t, write), settings)
	sound := NewClient(serveRaw(t, func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", okHead, len(large), large)
	}), settings)
	t.Cleanup(endless.CloseIdle)
	t.Cleanup(sound.CloseIdle)
	before, endWatch := allocated(), watchMemory(t, memory, bound)
	var group sync.WaitGroup
	for range attempts {
		group.Go(func() {
			if _, failure := send(endless, "GET", "/", "x", timeout); failure == nil || failure.Kind != want {
				t.Errorf("an endless answer ended with %v, want %s", failure, want)
			}
		})
	}
	group.Wait()
	endWatch()
	if bytes := allocated() - before; bytes > attempts*(bound+overhead) {
		t.Errorf("%d attempts allocated %d bytes, more than %d each", attempts, bytes, bound+overhead)
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes stay reserved", used)
	}
	if response, failure := send(sound, "GET", "/", "x", testTimeout); failure != nil || string(response.Body()) != large {
		t.Errorf("a sound answer of %d bytes: %v", len(large), failure)
	}
}

// TestRefusedAnswersTakeNoMemory guards against an answer that is broken off because another one, which was refused
// for its size, had taken memory for a moment.
func TestRefusedAnswersTakeNoMemory(t *testing.T) {
	const limit, rounds = 1 << 20, 200_000
	memory := NewAnswerMemory(limit)
	var stopped atomic.Bool
	var group conc.WaitGroup
	group.Go(func() {
		for !stopped.Load() {
			if memory.reserve(limit + 1) {
				t.Error("more than the limit was reserved")
			}
		}
	})
	refused := 0
	for range rounds {
		if !memory.reserve(limit / 2) {
			refused++
			continue
		}
		memory.release(limit / 2)
	}
	stopped.Store(true)
	group.Wait()
	if refused > 0 {
		t.Errorf("%d of %d answers that fit were refused", refused, rounds)
	}
}
