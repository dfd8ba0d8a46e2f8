package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header names of the platform.
const (
	headerID       = "Thorntiller-Attempt-Id"
	headerDeadline = "Thorntiller-Request-Deadline"
	headerExpected = "Thorntiller-Expect-Instance"
	headerInstance = "Thorntiller-Instance-Id"
	headerKey      = "Thorntiller-Shard-Key"
	headerSeal     = "Thorntiller-Server-Seal"
	headerNotRun   = "Thorntiller-Not-Executed"
)

const (
	serviceName = "ledger-view"
	serverSlots = 2
	serverQueue = 2
	workTime    = 110 * time.Millisecond
	healthPath  = "/health"
	// longestWork is the deadline of a request that names none.
	longestWork = time.Minute
)

// server is a stand-in for a server of a service that is divided by key. It announces itself by heartbeats, holds
// keys under a lease, works on a few requests at once and queues a few more.
type server struct {
	id, service, zone string
	fleet             *fleet
	record            *recorder
	listener          net.Listener
	// answer writes the answer to a request on its connection; nil means writeWhole. It is where a case
	// brings its disruption in.
	answer func(s *server, c *serverConnection, a answer) error
	// reject returns the status with which the server turns the next request away, or zero; nil means that it
	// turns none away that it can queue.
	reject func() (status int)

	// free has an entry for each slot without work.
	free chan struct{}
	// stopped is closed when the server ends.
	stopped chan struct{}

	mutex       sync.Mutex
	keys        keyStore
	beats       beatState
	queued      int
	runs        map[string]int
	connections map[net.Conn]struct{}
	history     holdings
}

// serverConnection is one connection from a gateway.
type serverConnection struct {
	net.Conn
	writing sync.Mutex
}

// answer is what a server answers to a request.
type answer struct {
	id     string
	status int
	notRun bool
	body   string
}

func newServer(f *fleet, record *recorder, id, zone string) (*server, error) {
	return newServerAt(f, record, id, zone, "127.0.0.1:0")
}

// newServerAt returns a server at a given address.
func newServerAt(f *fleet, record *recorder, id, zone, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: serviceName, zone: zone, fleet: f, record: record, listener: listener,
		free: make(chan struct{}, serverSlots), stopped: make(chan struct{}), runs: make(map[string]int),
		connections: make(map[net.Conn]struct{}), keys: newKeyStore(), beats: newBeatState(),
	}
	for range serverSlots {
		s.free <- struct{}{}
	}
	return s, nil
}

// start serves requests and sends heartbeats until the server is stopped.
func (s *server) start() {
	go s.accept()
	go s.sendHeartbeats()
}

// stop ends the server as a crash does: it says nothing, and its connections end.
func (s *server) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isStopped() {
		return
	}
	close(s.stopped)
	_ = s.listener.Close()
	for connection := range s.connections {
		_ = connection.Close()
	}
	s.history.end()
}

func (s *server) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

func (s *server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[connection] = struct{}{}
		s.mutex.Unlock()
		go s.serve(&serverConnection{Conn: connection})
	}
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(c *serverConnection) {
	defer func() {
		_ = c.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.connections, c.Conn)
	}()
	write := writeWhole
	if s.answer != nil {
		write = s.answer
	}
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if err := write(s, c, s.handle(request)); err != nil {
			return
		}
	}
}

// handle runs a request, or turns it away.
func (s *server) handle(request *http.Request) answer {
	id := request.Header.Get(headerID)
	if request.URL.Path == healthPath {
		return answer{id: id, status: http.StatusOK}
	}
	if status := s.refuses(request, id); status != 0 {
		s.record.note("server %s turns %s away: %d", s.id, id, status)
		return answer{id: id, status: status, notRun: true}
	}
	defer s.leaveQueue()
	if !s.awaitSlot(request) {
		s.record.note("server %s turns %s away: its deadline passed in the queue", s.id, id)
		return answer{id: id, status: http.StatusServiceUnavailable, notRun: true}
	}
	defer func() { s.free <- struct{}{} }()
	return s.work(id, keyOf(request))
}

// refuses returns the status with which a request is turned away, or zero if it has got a place in the queue.
func (s *server) refuses(request *http.Request, id string) int {
	if id == "" {
		return http.StatusBadRequest
	}
	expected := request.Header.Get(headerExpected)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if expected != "" && expected != s.id || !s.keys.mayServe(keyOf(request)) {
		return http.StatusMisdirectedRequest
	}
	if s.reject != nil {
		if status := s.reject(); status != 0 {
			return status
		}
	}
	if s.queued >= serverSlots+serverQueue {
		return http.StatusServiceUnavailable
	}
	s.queued++
	return 0
}

// keyOf returns the key of a request, or -1 for none.
func keyOf(request *http.Request) int64 {
	key, err := strconv.ParseInt(request.Header.Get(headerKey), 10, 64)
	if err != nil {
		return -1
	}
	return key
}

func (s *server) leaveQueue() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queued--
}

// awaitSlot waits for a slot until the deadline of the request.
func (s *server) awaitSlot(request *http.Request) bool {
	wait := longestWork
	if milliseconds, err := strconv.ParseFloat(request.Header.Get(headerDeadline), 64); err == nil {
		wait = time.Duration(milliseconds * float64(time.Millisecond))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-s.free:
		return true
	case <-timeout.C:
		return false
	}
}

// work runs a request. It fails if the lease ends meanwhile.
func (s *server) work(id string, key int64) answer {
	s.mutex.Lock()
	s.runs[id]++
	count := s.runs[id]
	s.keys.begin(key)
	s.mutex.Unlock()
	s.record.note("server %s runs %s, run %d", s.id, id, count)
	time.Sleep(workTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys.finish(key)
	if s.keys.expired() {
		return answer{id: id, status: http.StatusInternalServerError}
	}
	return answer{id: id, status: http.StatusOK, body: fmt.Sprintf("%s did %s", s.id, id)}
}

// encode returns the bytes of an answer of a server.
func (a answer) encode(server string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", a.status, http.StatusText(a.status), headerID, a.id, headerInstance, server)
	if a.notRun {
		text += headerNotRun + ": 1\r\n"
	} else {
		text += headerSeal + ": seal." + a.id + "\r\n"
	}
	return []byte(text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.body), a.body))
}

// write sends bytes on the connection.
func (c *serverConnection) write(data []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := c.Write(data)
	return err
}

func writeWhole(s *server, c *serverConnection, a answer) error { return c.write(a.encode(s.id)) }

// runsOf returns how often the server ran each request.
func (s *server) runsOf() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}
