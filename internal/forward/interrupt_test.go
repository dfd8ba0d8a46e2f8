package forward

import (
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func newAttempt(id string, interrupt *Interrupt) *Attempt {
	request := &fasthttp.Request{}
	request.Header.SetRequestURI("/p")
	request.Header.SetHost("back-end")
	request.Header.Set("X-Id", id)
	return &Attempt{ID: id, Request: request, Response: &fasthttp.Response{}, Timeout: testTimeout, Interrupt: interrupt}
}

func newUnframedClient(t *testing.T, address string) *Client {
	client := NewClient(address, Settings{
		ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 2, MaxAnswerBytes: 1000,
		IDHeader: "X-Id", AcceptUnframed: true,
	})
	t.Cleanup(client.CloseIdle)
	return client
}

// TestInterrupt: Fire ends the running attempt at once, its connection is not reused, and a
// later attempt with the same Interrupt is not sent.
func TestInterrupt(t *testing.T) {
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	s := serve(t, func(string, string) ([]byte, bool) {
		arrived <- struct{}{}
		<-release
		return nil, false
	})
	defer close(release)
	client := newUnframedClient(t, s.address)
	interrupt := &Interrupt{}
	var failure *fault.Error
	var group conc.WaitGroup
	group.Go(func() { failure = client.Do(newAttempt("x", interrupt)) })
	<-arrived
	interrupt.Fire()
	group.Wait()
	if failure == nil || failure.Kind != fault.ConnectionLost || client.Connections() != 0 {
		t.Errorf("failure %v, %d connections", failure, client.Connections())
	}
	if again := client.Do(newAttempt("y", interrupt)); again == nil || again.Kind != fault.CancelledBeforeStart {
		t.Errorf("an attempt after that: %v", again)
	}
	if !interrupt.Fired() || len(arrived) != 0 {
		t.Errorf("fired %v, %d more arrivals", interrupt.Fired(), len(arrived))
	}
}

// TestUnframedAnswer: with AcceptUnframed, an answer that ends with its connection is
// complete.
func TestUnframedAnswer(t *testing.T) {
	s := serve(t, func(string, string) ([]byte, bool) {
		return []byte("HTTP/1.1 200 OK\r\nX-Id: x\r\n\r\nall of it"), false
	})
	attempt := newAttempt("x", nil)
	if failure := newUnframedClient(t, s.address).Do(attempt); failure != nil {
		t.Fatal(failure)
	}
	if got := string(attempt.Response.Body()); got != "all of it" {
		t.Errorf("body %q", got)
	}
}

// TestKeepAliveIsHeeded: a connection is not reused after the timeout in the back end's
// Keep-Alive header.
func TestKeepAliveIsHeeded(t *testing.T) {
	for seconds, kept := range map[int]bool{0: false, 1: true} {
		s := serve(t, func(_, id string) ([]byte, bool) {
			return []byte("HTTP/1.1 200 OK\r\nThorntiller-Request-Id: " + id + "\r\nKeep-Alive: timeout=" + strconv.Itoa(seconds) + ", max=5\r\nContent-Length: 0\r\n\r\n"), true
		})
		client := newTestClient(t, s.address)
		for _, id := range []string{"x", "y"} {
			if _, failure := send(client, fasthttp.MethodGet, "/p", id, testTimeout); failure != nil {
				t.Fatal(failure)
			}
		}
		if kept {
			if len(s.closed) > 0 {
				t.Errorf("timeout=%d: the connection was closed", seconds)
			}
			continue
		}
		// The back end notices the close asynchronously.
		select {
		case <-s.closed:
		case <-time.After(testTimeout):
			t.Errorf("timeout=%d: the connection was kept", seconds)
		}
	}
}
