package forward

import (
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func attemptOf(id string, interrupt *Interrupt) *Attempt {
	request := &fasthttp.Request{}
	request.Header.SetRequestURI("/p")
	request.Header.SetHost("back-end")
	request.Header.Set("X-Id", id)
	return &Attempt{ID: id, Request: request, Response: &fasthttp.Response{}, Timeout: patience, Interrupt: interrupt}
}

func dialectClient(t *testing.T, address string) *Client {
	client := NewClient(address, Settings{
		ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 2, MaxAnswerBytes: 1000,
		IDHeader: "X-Id", AcceptUnframed: true,
	})
	t.Cleanup(client.CloseIdle)
	return client
}

// TestInterrupt: an attempt whose caller leaves ends at once, its connection is not
// used again, and an attempt after that is not made.
func TestInterrupt(t *testing.T) {
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	s := serve(t, func(string, string) ([]byte, bool) {
		arrived <- struct{}{}
		<-release
		return nil, false
	})
	defer close(release)
	client := dialectClient(t, s.address)
	interrupt := &Interrupt{}
	var failure *fault.Error
	var group conc.WaitGroup
	group.Go(func() { failure = client.Do(attemptOf("x", interrupt)) })
	<-arrived
	interrupt.Fire()
	group.Wait()
	if failure == nil || failure.Kind != fault.ConnectionLost || client.Connections() != 0 {
		t.Errorf("failure %v, %d connections", failure, client.Connections())
	}
	if again := client.Do(attemptOf("y", interrupt)); again == nil || again.Kind != fault.CancelledBeforeStart {
		t.Errorf("an attempt after that: %v", again)
	}
	if !interrupt.Fired() || len(arrived) != 0 {
		t.Errorf("fired %v, %d more arrivals", interrupt.Fired(), len(arrived))
	}
}

// TestUnframedAnswer: where it is accepted, an answer that ends with its connection is
// whole.
func TestUnframedAnswer(t *testing.T) {
	s := serve(t, func(string, string) ([]byte, bool) {
		return []byte("HTTP/1.1 200 OK\r\nX-Id: x\r\n\r\nall of it"), false
	})
	attempt := attemptOf("x", nil)
	if failure := dialectClient(t, s.address).Do(attempt); failure != nil {
		t.Fatal(failure)
	}
	if got := string(attempt.Response.Body()); got != "all of it" {
		t.Errorf("body %q", got)
	}
}

// TestKeepAliveIsHeeded: a connection is not used again after the time that the back
// end names.
func TestKeepAliveIsHeeded(t *testing.T) {
	for seconds, kept := range map[int]bool{0: false, 1: true} {
		s := serve(t, func(_, id string) ([]byte, bool) {
			return []byte("HTTP/1.1 200 OK\r\nThorntiller-Request-Id: " + id + "\r\nKeep-Alive: timeout=" + strconv.Itoa(seconds) + ", max=5\r\nContent-Length: 0\r\n\r\n"), true
		})
		client := newTestClient(t, s.address)
		for _, id := range []string{"x", "y"} {
			if _, failure := send(client, fasthttp.MethodGet, "/p", id, patience); failure != nil {
				t.Fatal(failure)
			}
		}
		if kept {
			if len(s.closed) > 0 {
				t.Errorf("timeout=%d: the connection was closed", seconds)
			}
			continue
		}
		// The back end learns of the close a moment later.
		select {
		case <-s.closed:
		case <-time.After(patience):
			t.Errorf("timeout=%d: the connection was kept", seconds)
		}
	}
}
