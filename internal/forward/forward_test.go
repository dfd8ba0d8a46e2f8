package forward

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// scriptedBackEnd is a back end that writes raw HTTP answers and counts requests by path.
type scriptedBackEnd struct {
	address string
	mutex   sync.Mutex
	arrived map[string]int
	closed  chan struct{}
}

// listenRaw accepts connections until the test ends, calls serve for each, and closes it.
func listenRaw(t *testing.T, serve func(net.Conn)) (address string) {
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
				serve(connection)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// serve starts a back end that answers each request with the bytes that reply returns, and
// then closes the connection if reply returns false.
func serve(t *testing.T, reply func(path, id string) ([]byte, bool)) *scriptedBackEnd {
	t.Helper()
	s := &scriptedBackEnd{arrived: make(map[string]int), closed: make(chan struct{}, 100)}
	s.address = listenRaw(t, func(connection net.Conn) { s.serveConnection(connection, reply) })
	return s
}

func (s *scriptedBackEnd) serveConnection(connection net.Conn, reply func(path, id string) ([]byte, bool)) {
	defer func() {
		_ = connection.Close()
		s.closed <- struct{}{}
	}()
	reader := bufio.NewReader(connection)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		path := string(request.URI().Path())
		s.mutex.Lock()
		s.arrived[path]++
		s.mutex.Unlock()
		answer, keepOpen := reply(path, string(request.Header.Peek(backendapi.HeaderRequestID)))
		if _, err := connection.Write(answer); err != nil || !keepOpen {
			return
		}
	}
}

func (s *scriptedBackEnd) arrivals(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.arrived[path]
}

func framedAnswer(id string, length int, body string) []byte {
	return []byte("HTTP/1.1 200 OK\r\nThorntiller-Request-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + body)
}

func newTestClient(t *testing.T, address string) *Client {
	client := NewClient(address, Settings{
		ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConnections: 2, ControlConnections: 1, MaxAnswerBytes: 1000,
	})
	t.Cleanup(client.CloseIdle)
	return client
}

func send(client *Client, method, path, id string, timeout time.Duration) (*fasthttp.Response, *fault.Error) {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.Header.SetRequestURI(path)
	request.Header.SetHost("back-end")
	request.Header.Set(backendapi.HeaderRequestID, id)
	response := &fasthttp.Response{}
	return response, client.Do(&Attempt{ID: id, Request: &request, Response: response, Timeout: timeout})
}

const testTimeout = 20 * time.Second

// TestBrokenAnswers checks for each kind of broken answer which fault kind it yields, that
// the request arrived once, and that the connection is not reused.
func TestBrokenAnswers(t *testing.T) {
	answer := framedAnswer("x", 4, "fine") // sent twice in "surplus answer behind"
	for name, c := range map[string]struct {
		answer   []byte
		keepOpen bool
		want     fault.Kind
	}{
		"closed after reading":  {nil, false, fault.ConnectionLost},
		"short body":            {framedAnswer("x", 10, "half"), false, fault.AnswerTruncated},
		"short header":          {[]byte("HTTP/1.1 200 OK\r\nThorn"), false, fault.AnswerTruncated},
		"short chunk":           {[]byte("HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), false, fault.AnswerTruncated},
		"no framing":            {[]byte("HTTP/1.1 200 OK\r\nThorntiller-Request-Id: x\r\n\r\nall of it?"), false, fault.AnswerTruncated},
		"too long":              {framedAnswer("x", 5000, strings.Repeat("a", 5000)), true, fault.AnswerTruncated},
		"another's answer":      {framedAnswer("y", 4, "fine"), true, fault.AnswerMismatched},
		"no identifier":         {[]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), true, fault.AnswerMismatched},
		"surplus answer behind": {append(answer, answer...), true, ""},
	} {
		for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
			s := serve(t, func(string, string) ([]byte, bool) { return c.answer, c.keepOpen })
			client := newTestClient(t, s.address)
			_, failure := send(client, method, "/p", "x", testTimeout)
			got := fault.Kind("")
			if failure != nil {
				got = failure.Kind
			}
			if got != c.want {
				t.Errorf("%s %s: got %v, want %s", method, name, failure, c.want)
			}
			<-s.closed
			if count := s.arrivals("/p"); count != 1 || client.Connections() != 0 {
				t.Errorf("%s %s: %d arrivals, %d connections kept", method, name, count, client.Connections())
			}
		}
	}
}

func TestLateAnswerIsNeverTakenForAnother(t *testing.T) {
	release := make(chan struct{})
	releaseLate := sync.OnceFunc(func() { close(release) })
	s := serve(t, func(path, id string) ([]byte, bool) {
		if path == "/late" {
			<-release
		}
		return framedAnswer(id, len(path), path), true
	})
	t.Cleanup(releaseLate)
	client := newTestClient(t, s.address)
	if _, failure := send(client, fasthttp.MethodPost, "/late", "1", 20*time.Millisecond); failure == nil || failure.Kind != fault.DeadlineExceeded {
		t.Fatalf("got %v", failure)
	}
	releaseLate()
	for _, id := range []string{"2", "3"} {
		response, failure := send(client, fasthttp.MethodPost, "/"+id, id, testTimeout)
		if failure != nil || string(response.Body()) != "/"+id {
			t.Errorf("got %q, %v", response.Body(), failure)
		}
	}
	if client.Connections() != 1 {
		t.Errorf("%d connections, want the one good one", client.Connections())
	}
}

// TestClosedKeptConnection: if the peer has closed an idle pooled connection, the request
// does not fail but is sent once, over a new connection.
func TestClosedKeptConnection(t *testing.T) {
	s := serve(t, func(_, id string) ([]byte, bool) { return framedAnswer(id, 0, ""), id != "1" })
	client := newTestClient(t, s.address)
	for i, id := range []string{"1", "2", "3"} {
		if _, failure := send(client, fasthttp.MethodPost, "/p", id, testTimeout); failure != nil {
			t.Fatalf("request %s: %v", id, failure)
		}
		if id == "1" {
			<-s.closed
		}
		if s.arrivals("/p") != i+1 {
			t.Errorf("%d arrivals after request %s", s.arrivals("/p"), id)
		}
	}
}

func TestNothingWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client := newTestClient(t, listener.Addr().String())
	if _, failure := send(client, fasthttp.MethodPost, "/p", "1", testTimeout); failure == nil || failure.Kind != fault.ConnectFailed {
		t.Errorf("got %v", failure)
	}
	if client.Connections() != 0 {
		t.Errorf("%d connections are counted", client.Connections())
	}
	near, far := net.Pipe()
	_ = far.Close()
	broken := &countingConnection{Conn: near, traffic: noTraffic{}}
	_, writeErr := broken.Write([]byte("x"))
	if got := writeFailure(broken, writeErr, time.Now()); got.Kind != fault.ConnectFailed {
		t.Errorf("nothing written: got %v", got)
	}
	broken.bytesWritten = 1
	if got := writeFailure(broken, writeErr, time.Now()); got.Kind != fault.ConnectionLost {
		t.Errorf("one byte written: got %v", got)
	}
}

func TestCancelAndHealth(t *testing.T) {
	answers := map[string]string{
		"1": `{"request_id":"1","outcome":"never_started"}`, "2": `{"request_id":"2","outcome":"running"}`,
		"3": `{"request_id":"1","outcome":"never_started"}`, "4": `nonsense`,
	}
	current := ""
	s := serve(t, func(path, _ string) ([]byte, bool) {
		return framedAnswer("", len(answers[current]), answers[current]), true
	})
	client := newTestClient(t, s.address)
	for current = range answers {
		if proved, _ := client.Cancel(current, testTimeout); proved != (current == "1") {
			t.Errorf("cancel %s: proved %v", current, proved)
		}
	}
	if healthy, err := client.Healthy(testTimeout); !healthy || err != nil {
		t.Errorf("healthy %t, %v", healthy, err)
	}
}

func TestRefusalsMapToKinds(t *testing.T) {
	for value, want := range map[backendapi.Refusal]fault.Kind{
		"": "", backendapi.RefusalWrongEpoch: fault.WrongEpoch, backendapi.RefusalLeaseExpired: fault.LeaseExpired,
		backendapi.RefusalDraining: fault.Draining, backendapi.RefusalShedding: fault.Shedding,
		backendapi.RefusalQueueFull: fault.QueueFull, backendapi.RefusalDeadline: fault.DeadlineBeforeStart,
		backendapi.RefusalCancelled: fault.CancelledBeforeStart, "made_up": fault.AnswerMismatched,
	} {
		var response fasthttp.Response
		response.Header.Set(backendapi.HeaderRefusal, string(value))
		got := RefusalOf(&response)
		if (got == nil) != (want == "") || (got != nil && got.Kind != want) {
			t.Errorf("%q: got %v, want %q", value, got, want)
		}
		notRun := got != nil && fault.AnswerFor(got.Kind).Outcome == fault.NotRun
		if known := value != "" && value != "made_up"; notRun != known {
			t.Errorf("%q: not run %v", value, notRun)
		}
	}
	var response fasthttp.Response
	for header, want := range map[string]bool{"1/2/3": true, "1/0/3": false, "1/2": false, "a/2/3": false, "-1/2/3": false} {
		response.Header.Set(backendapi.HeaderLoad, header)
		if load, found := LoadOf(&response); found != want || (found && load != (Load{Running: 1, Slots: 2, Queued: 3})) {
			t.Errorf("%q: got %+v, %v", header, load, found)
		}
	}
}

// TestReuseAfterDeadline guards against closing a pooled connection as broken because the
// deadline of the last attempt on it has passed.
func TestReuseAfterDeadline(t *testing.T) {
	s := serve(t, func(_, id string) ([]byte, bool) { return framedAnswer(id, 4, "fine"), true })
	client := newTestClient(t, s.address)
	const short = 50 * time.Millisecond
	if _, failure := send(client, fasthttp.MethodGet, "/p", "x", short); failure != nil {
		t.Fatal(failure)
	}
	time.Sleep(2 * short)
	if _, failure := send(client, fasthttp.MethodGet, "/p", "y", testTimeout); failure != nil {
		t.Fatal(failure)
	}
	select {
	case <-s.closed:
		t.Error("the pooled connection was closed")
	default:
	}
	if client.Connections() != 1 {
		t.Errorf("%d connections, want the one pooled connection", client.Connections())
	}
}
