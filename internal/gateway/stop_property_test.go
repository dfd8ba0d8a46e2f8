package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// A gateway stops on a virtual clock while requests arrive at it, by seed: with deadlines before and after the end of
// the stop and without one, for services that work for a short or a long time, and for keys whose holder becomes known
// only during the stop.

const (
	stopSeeds         = 60
	beforeStop        = 2 * time.Second
	simulatedStop     = 6 * time.Second
	requestsOfAStop   = 60
	longestWorkOfStop = 8 * time.Second
)

// stoppedGateway is a gateway that stops, and its one instance.
type stoppedGateway struct {
	*Gateway
	t    *testing.T
	work time.Duration
	view *directory.Directory
	// mutex guards sent, which has when each request reached the instance.
	mutex sync.Mutex
	sent  []sentRequest
}

type sentRequest struct {
	id string
	at time.Time
}

// TestNoRequestSentInAStopIsCut guards against requests that a gateway passes on in a stop and cannot answer any more.
func TestNoRequestSentInAStopIsCut(t *testing.T) {
	passedOn := 0
	for seed := range uint64(stopSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { passedOn += playStop(t, seed) })
		})
	}
	if passedOn < stopSeeds*requestsOfAStop/4 {
		t.Errorf("only %d requests were passed on in %d stops", passedOn, stopSeeds)
	}
}

// playStop plays one stop and returns how many requests were passed on during it.
func playStop(t *testing.T, seed uint64) (passedOn int) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := newStoppedGateway(t, time.Duration(random.Int64N(int64(longestWorkOfStop))))
	s.learn(random.IntN(2) == 0)
	began := time.Now().Add(beforeStop)
	end := began.Add(simulatedStop - stopMargin)
	var group conc.WaitGroup
	ended := make([]time.Time, requestsOfAStop)
	for number := range requestsOfAStop {
		after, path, timeout := s.drawRequest(random)
		group.Go(func() {
			time.Sleep(after)
			s.ask(path, strconv.Itoa(number), timeout)
			ended[number] = time.Now()
		})
	}
	group.Go(func() {
		time.Sleep(beforeStop)
		if err := s.stop(&fasthttp.Server{}); err != nil {
			t.Error(err)
		}
	})
	holderKnown := time.Duration(random.Int64N(int64(beforeStop + simulatedStop)))
	group.Go(func() {
		time.Sleep(holderKnown)
		s.grantKeys()
	})
	group.Wait()
	time.Sleep(time.Minute) // until the idle connections are closed
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, sent := range s.sent {
		number, err := strconv.Atoi(sent.id)
		if err != nil {
			continue // before the stop
		}
		passedOn++
		if sent.at.After(began) && ended[number].After(end) {
			t.Errorf("work of %s: request %d was sent %s after the stop began and is cut at its end", s.work, number, sent.at.Sub(began))
		}
	}
	return passedOn
}

// drawRequest draws when a request arrives, its path, and its timeout; zero for none.
func (s *stoppedGateway) drawRequest(random *rand.Rand) (after time.Duration, path string, timeout time.Duration) {
	timeouts := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 20 * time.Second}
	paths := []string{"/once/", "/again/", "/keyed/"}
	return time.Duration(random.Int64N(int64(beforeStop + simulatedStop))), paths[random.IntN(len(paths))], timeouts[random.IntN(len(timeouts))]
}

func newStoppedGateway(t *testing.T, work time.Duration) *stoppedGateway {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds, settings.RetryBurst, settings.StopTimeout = "g", []string{"127.0.0.1:1"}, 100, simulatedStop
	settings.BackEnd.MaxConnections = 2 * requestsOfAStop
	s := &stoppedGateway{t: t, work: work, view: directory.New()}
	gateway, err := newWithClock(virtualClock{time.Now()}, settings, telemetry.New(role, "g", "error", io.Discard), Options{
		DialInstance: func(string, time.Duration) (net.Conn, error) { return s.dial(), nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Gateway = gateway
	confirmForTest(gateway)
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","version":1},{"name":"k","keyed":true,"version":1}],"routes":[
		{"name":"once","host":"h.example","prefix":"/once/","service":"s","kind":"at_most_once","max_attempts":3,"version":1},
		{"name":"again","host":"h.example","prefix":"/again/","service":"s","kind":"repeatable","max_attempts":3,"version":1},
		{"name":"keyed","host":"h.example","prefix":"/keyed/","service":"k","kind":"at_most_once","max_attempts":3,"version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	s.apply(directory.Command{Patch: &patch})
	s.apply(directory.Command{Instances: []directory.Instance{
		{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2 * requestsOfAStop, State: directory.InstanceReady},
		{ID: "k", Service: "k", Address: "127.0.0.1:2", Zone: "z", Slots: 2 * requestsOfAStop, State: directory.InstanceReady},
	}})
	return s
}

// apply puts a command in force.
func (s *stoppedGateway) apply(command directory.Command) {
	before := s.view.Revision()
	if err := s.view.Apply(before+1, command); err != nil {
		s.t.Fatal(err)
	}
	changes := s.view.RoutingSince(before)
	if err := s.subscription.apply(message.DirectoryUpdate{Cluster: "cluster", Changes: &changes}, source{}); err != nil {
		s.t.Fatal(err)
	}
}

// grantKeys gives all keys of the keyed service to its instance.
func (s *stoppedGateway) grantKeys() {
	s.apply(directory.Command{Layout: &directory.PutLayout{Service: "k", Changed: []directory.Holding{
		{First: 0, Last: directory.MaxKey, Fence: 1, Owner: "k", Granted: true},
	}}})
}

// dial returns a connection to the instance.
func (s *stoppedGateway) dial() net.Conn {
	near, far := net.Pipe()
	go s.serveInstance(far)
	return near
}

// serveInstance answers the requests of a connection after the time of work.
func (s *stoppedGateway) serveInstance(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		id := string(request.Header.Peek("Thorntiller-Request-Id"))
		s.mutex.Lock()
		s.sent = append(s.sent, sentRequest{id: id, at: time.Now()})
		s.mutex.Unlock()
		time.Sleep(s.work)
		if _, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nThorntiller-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
			return
		}
	}
}

// learn lets the gateway know how long the services work.
func (s *stoppedGateway) learn(known bool) {
	if known {
		s.ask("/once/", "learned", time.Minute)
	}
}

func (s *stoppedGateway) ask(path, id string, timeout time.Duration) int {
	var request fasthttp.Request
	request.SetRequestURI(path)
	request.Header.SetHost("h.example")
	request.Header.Set("Thorntiller-Request-Id", id)
	request.Header.Set("Thorntiller-Key", "7")
	if timeout > 0 {
		request.Header.Set("Thorntiller-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	var exchange fasthttp.RequestCtx
	exchange.Init(&request, nil, nil)
	s.serve(&exchange)
	return exchange.Response.StatusCode()
}
