package forward

import (
	"fmt"
	"net"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = connection.Close() }()
				if _, err := connection.Read(make([]byte, 4096)); err == nil {
					write(connection)
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

const okHead = "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\n"

// endlessly writes a beginning once and then text until the connection ends.
func endlessly(beginning, text string) func(net.Conn) {
	return func(connection net.Conn) {
		_, err := connection.Write([]byte(beginning))
		for err == nil {
			_, err = connection.Write([]byte(text))
		}
	}
}

// TestBytesWithoutEndAreBounded guards against a process that runs out of memory because instances send answers that
// never end, or announce bodies that never come. Each is broken off, together they take no more than their bound,
// and sound answers pass meanwhile.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const attempts, bound = 24, 2 << 20
	chunk := "8000\r\n" + strings.Repeat("a", 0x8000) + "\r\n"
	large := strings.Repeat("b", 540<<10)
	for name, write := range map[string]func(net.Conn){
		"chunks without end":  endlessly(okHead+"Transfer-Encoding: chunked\r\n\r\n", chunk),
		"body without length": endlessly(okHead+"\r\n", chunk),
		"length far above the body": func(connection net.Conn) {
			_, _ = connection.Write([]byte(okHead + "Content-Length: 60000000\r\n\r\n"))
			_, _ = connection.Read(make([]byte, 1)) // until the client closes
		},
		"large body with its length":  endlessly(okHead+"Content-Length: 60000000\r\n\r\n", chunk),
		"head without end":            endlessly(okHead+"X: ", "xxxxxxxxxxxxxxxx"),
		"trailers without end":        endlessly(okHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: xxxxxxxxxxxx\r\n"),
		"interim answers without end": endlessly("", "HTTP/1.1 102 Processing\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			memory := NewAnswerMemory(bound)
			settings := Settings{
				ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: attempts, ControlConnections: 1,
				MaxAnswerBytes: 64 << 20, AnswerMemory: memory, AcceptUnframed: true,
			}
			endless := NewClient(serveRaw(t, write), settings)
			sound := NewClient(serveRaw(t, func(c net.Conn) {
				_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", okHead, len(large), large)
			}), settings)
			t.Cleanup(endless.CloseIdle)
			t.Cleanup(sound.CloseIdle)
			var group sync.WaitGroup
			for range attempts {
				group.Go(func() {
					if _, failure := send(endless, "GET", "/", "x", testTimeout); failure == nil || failure.Kind != fault.AnswerTruncated {
						t.Errorf("an endless answer ended with %v, want %s", failure, fault.AnswerTruncated)
					}
				})
			}
			for range 3 {
				if used := memory.Used(); used > bound {
					t.Errorf("%d bytes are reserved, the bound is %d", used, bound)
				}
			}
			group.Wait()
			if used := memory.Used(); used != 0 {
				t.Errorf("%d bytes stay reserved", used)
			}
			if response, failure := send(sound, "GET", "/", "x", testTimeout); failure != nil || string(response.Body()) != large {
				t.Errorf("a sound answer of %d bytes: %v", len(large), failure)
			}
		})
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
