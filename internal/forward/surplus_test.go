package forward

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// repeatingBackEnd answers each request with its path, and a share of them a second time a little later, in the slot
// where the answer to the next request on the connection is due.
type repeatingBackEnd struct {
	address string
	share   float64
	// work is the time that a request takes, and delay that after which its answer comes again.
	work, delay time.Duration
	mutex       sync.Mutex
	random      *rand.Rand
}

func startRepeating(t *testing.T, s *repeatingBackEnd) {
	t.Helper()
	s.address = listenRaw(t, s.serveConnection)
}

func (s *repeatingBackEnd) repeats() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < s.share
}

func (s *repeatingBackEnd) serveConnection(connection net.Conn) {
	var writing sync.Mutex
	write := func(answer []byte) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := connection.Write(answer)
		return err
	}
	reader := bufio.NewReader(connection)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		time.Sleep(s.work)
		path := string(request.Header.RequestURI())
		answer := framedAnswer(string(request.Header.Peek(backendapi.HeaderRequestID)), len(path), path)
		if write(answer) != nil {
			return
		}
		if s.repeats() {
			time.AfterFunc(s.delay, func() { _ = write(answer) })
		}
	}
}

// sendRepeatedly makes some attempts of one request, which share their identifier, one after the other, and returns the
// failures. Each answer must be that of its own attempt.
func sendRepeatedly(t *testing.T, client *Client, id string, attempts int) (failures []*fault.Error) {
	for attempt := range attempts {
		path := fmt.Sprintf("/%s/%d", id, attempt)
		response, failure := send(client, fasthttp.MethodPost, path, id, testTimeout)
		if failure != nil {
			failures = append(failures, failure)
		} else if string(response.Body()) != path {
			t.Errorf("attempt %s got the answer to %s", path, response.Body())
		}
	}
	return failures
}

// TestSurplusAnswerIsNotTakenForALaterAttempt guards against an order that runs twice, or is refused and runs, because a
// second copy of the answer to its first attempt was taken for that to its second one.
func TestSurplusAnswerIsNotTakenForALaterAttempt(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			s := &repeatingBackEnd{share: 1, work: 10 * time.Millisecond, delay: delay, random: rand.New(rand.NewPCG(1, 1))}
			startRepeating(t, s)
			client := newTestClient(t, s.address)
			for number := range 5 {
				sendRepeatedly(t, client, fmt.Sprint(number), 3)
			}
		})
	}
}

// TestAnswersAmongSurplusOnes checks for several callers, whose requests share connections and at times identifiers,
// that each answer is that of its own attempt.
func TestAnswersAmongSurplusOnes(t *testing.T) {
	for seed := range uint64(4) {
		s := &repeatingBackEnd{share: 0.3, work: time.Millisecond, delay: 2 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 2))}
		startRepeating(t, s)
		client := NewClient(s.address, Settings{ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 100, MaxAnswerBytes: 1000})
		t.Cleanup(client.CloseIdle)
		var callers conc.WaitGroup
		for caller := range 6 {
			callers.Go(func() {
				for number := range 15 {
					// Two callers at a time use the same identifiers.
					sendRepeatedly(t, client, fmt.Sprintf("%d-%d", caller/2, number), 1+number%3)
				}
			})
		}
		callers.Wait()
	}
}

// TestConnectionsThatCarriedTheIdentifierAreKept checks that an attempt that needs another connection leaves the former
// one to other requests, and closes it only where there is no place for both.
func TestConnectionsThatCarriedTheIdentifierAreKept(t *testing.T) {
	s := &repeatingBackEnd{random: rand.New(rand.NewPCG(1, 3))}
	startRepeating(t, s)
	for _, c := range []struct{ limit, connections, kept, closed int }{{1, 1, 0, 2}, {2, 2, 2, 1}, {3, 3, 3, 0}} {
		counted := &countedTraffic{}
		client := NewClient(s.address, Settings{ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: c.limit, MaxAnswerBytes: 1000, Traffic: counted})
		if failures := sendRepeatedly(t, client, "x", 3); len(failures) > 0 {
			t.Errorf("limit %d: %v", c.limit, failures)
		}
		if client.Connections() != c.connections || counted.kept != c.kept || counted.closed != c.closed {
			t.Errorf("limit %d: %d connections, %d kept, %d closed, want %+v", c.limit, client.Connections(), counted.kept, counted.closed, c)
		}
		client.CloseIdle()
	}
}

// countedTraffic counts connections that were set aside, and surplus answers by what was done about them.
type countedTraffic struct {
	noTraffic
	mutex        sync.Mutex
	kept, closed int
	surplus      map[Surplus]int
}

func (c *countedTraffic) SetAside(kept bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if kept {
		c.kept++
	} else {
		c.closed++
	}
}

func (c *countedTraffic) Surplus(action Surplus) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.surplus == nil {
		c.surplus = make(map[Surplus]int)
	}
	c.surplus[action]++
}

// TestConnectionIsReplacedAfterManyRequests checks that the memory of identifiers is bounded.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	s := &repeatingBackEnd{random: rand.New(rand.NewPCG(1, 4))}
	startRepeating(t, s)
	client := newTestClient(t, s.address)
	for number := range maxCarried {
		sendRepeatedly(t, client, fmt.Sprint(number), 1)
		if wanted := min(1, maxCarried-1-number); client.Connections() != wanted {
			t.Fatalf("%d connections after %d requests, want %d", client.Connections(), number+1, wanted)
		}
	}
}

// TestAnswerBehindASurplusOneIsRead guards against a request that fails although its whole answer follows a second copy
// of the answer to an earlier request.
func TestAnswerBehindASurplusOneIsRead(t *testing.T) {
	s := &repeatingBackEnd{share: 1, work: 20 * time.Millisecond, delay: 5 * time.Millisecond, random: rand.New(rand.NewPCG(1, 5))}
	startRepeating(t, s)
	counted := &countedTraffic{}
	client := NewClient(s.address, Settings{ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 2, MaxAnswerBytes: 1000, Traffic: counted})
	t.Cleanup(client.CloseIdle)
	for number := range 20 {
		if failures := sendRepeatedly(t, client, fmt.Sprint(number), 1); len(failures) > 0 {
			t.Errorf("request %d: %v", number, failures)
		}
	}
	if counted.surplus[SurplusSkipped] == 0 {
		t.Error("no surplus answer met a request")
	}
}

// TestSkippedAnswers checks which answers in front of the one that is due may be skipped.
func TestSkippedAnswers(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	unframed := "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: earlier\r\n\r\nabc"
	sized := string(framedAnswer("earlier", 3, "abc"))
	due := string(framedAnswer("due", 4, "mine"))
	for name, c := range map[string]struct {
		method, surplus string
		want            fault.Kind
	}{
		"sized":                  {fasthttp.MethodPost, sized, ""},
		"chunked":                {fasthttp.MethodPost, chunked, ""},
		"without content":        {fasthttp.MethodPost, "HTTP/1.1 204 No Content\r\nThorntiller-Request-Id: earlier\r\n\r\n", ""},
		"as many as are skipped": {fasthttp.MethodPost, strings.Repeat(sized, maxSurplusAnswers), ""},
		"one more":               {fasthttp.MethodPost, strings.Repeat(sized, maxSurplusAnswers+1), fault.AnswerMismatched},
		"of no earlier request":  {fasthttp.MethodPost, string(framedAnswer("other", 3, "abc")), fault.AnswerMismatched},
		"without identifier":     {fasthttp.MethodPost, string(framedAnswer("", 3, "abc")), fault.AnswerMismatched},
		"without length":         {fasthttp.MethodPost, unframed, fault.AnswerTruncated},
		"too long":               {fasthttp.MethodPost, string(framedAnswer("earlier", 1001, strings.Repeat("a", 1001))), fault.AnswerTruncated},
		"cut":                    {fasthttp.MethodPost, string(framedAnswer("earlier", 3000, "abc")), fault.AnswerTruncated},
		"behind a HEAD request":  {fasthttp.MethodHead, sized, fault.AnswerMismatched},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(path, id string) ([]byte, bool) {
				if id == "earlier" {
					return framedAnswer(id, 0, ""), true
				}
				return []byte(c.surplus + due), true
			})
			client := newTestClient(t, s.address)
			if _, failure := send(client, c.method, "/earlier", "earlier", testTimeout); failure != nil {
				t.Fatal(failure)
			}
			response, failure := send(client, fasthttp.MethodPost, "/due", "due", testTimeout)
			switch {
			case failure == nil && c.want == "" && string(response.Body()) == "mine":
			case failure != nil && failure.Kind == c.want:
			default:
				t.Errorf("answer %q, failure %v, want %q", response.Body(), failure, c.want)
			}
			if kept := client.Connections() == 1; kept != (c.want == "") {
				t.Errorf("connection kept: %t", kept)
			}
		})
	}
}

// TestSurplusAnswerAloneIsNoAnswer checks that an attempt that got nothing but a surplus answer counts as unanswered.
func TestSurplusAnswerAloneIsNoAnswer(t *testing.T) {
	s := serve(t, func(_, id string) ([]byte, bool) { return framedAnswer("earlier", 3, "abc"), id == "earlier" })
	client := newTestClient(t, s.address)
	for _, id := range []string{"earlier", "due"} {
		var request fasthttp.Request
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.SetRequestURI("/p")
		request.Header.SetHost("back-end")
		request.Header.Set(backendapi.HeaderRequestID, id)
		attempt := &Attempt{ID: id, Request: &request, Response: &fasthttp.Response{}, Timeout: testTimeout}
		failure := client.Do(attempt)
		lost := failure != nil && failure.Kind == fault.ConnectionLost
		if due := id == "due"; lost != due || attempt.Unanswered != due {
			t.Errorf("%s: failure %v, unanswered %t", id, failure, attempt.Unanswered)
		}
	}
}
