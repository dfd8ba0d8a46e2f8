package forward

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	var group conc.WaitGroup
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { s.serveConnection(connection) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
}

func (s *repeatingBackEnd) repeats() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < s.share
}

func (s *repeatingBackEnd) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
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
