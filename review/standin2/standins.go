package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// httpClient follows the redirects of controllers twice, as the callers of the platform do.
var httpClient = &http.Client{
	Timeout: time.Second,
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("too many redirects")
		}
		return nil
	},
}

// post sends one call to an address.
func post(address, path string, body any) (int, []byte, error) {
	text, ok := body.([]byte)
	if !ok {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	answer, err := httpClient.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, content, err
}

// operator sends orders to the machines that serve control.
type operator struct {
	fleet *fleet
	nodes func() []*machine
}

// order sends a call until it gets a clear answer or the time is over.
func (o *operator) order(path string, body any, within time.Duration) (status int, content []byte) {
	end := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for turn := 0; time.Now().Before(end); turn++ {
		nodes := o.nodes()
		node := nodes[turn%len(nodes)]
		code, got, err := post(address(node.ip, o.fleet.ports.control), path, body)
		o.fleet.record.note("operator %s at %s: %d %v", path, node.name, code, err)
		switch {
		case err == nil && code == http.StatusOK:
			return code, got
		case err == nil && (code == 400 || code == 409 || code == 412 || code == 413 || code == 422):
			return code, got
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0, nil
}

// items builds the first configuration.
func items(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"set": map[string]any{"routes": routes, "services": services, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "version": 7}},
		"remove": map[string]any{"routes": []any{}},
	}
}

func route(name, host, prefix, kind, service string, version int) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 1, "service": service, "max_attempts": 2, "version": version}
}

func service(name string, keyed bool, version int) map[string]any {
	values := map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "version": version}
	if keyed {
		values["keyed"], values["warm_seconds"], values["grants"] = true, 2.0, "heartbeat"
	}
	return values
}

// server is one server of a service.
type server struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	listener net.Listener
	// control are the addresses for heartbeats.
	control  []string
	sequence atomic.Int64
	// answer handles one request on a connection; it returns false to end the connection.
	answer func(s *server, r *http.Request, body []byte, connection net.Conn) bool

	mutex sync.Mutex
	ran   map[string]int
}

func newServer(f *fleet, id, service, ip string, control []string, answer func(*server, *http.Request, []byte, net.Conn) bool) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, service: service, zone: zones[0], listener: listener, control: control, answer: answer, ran: make(map[string]int)}
	go s.serve()
	go s.beat()
	return s, nil
}

func (s *server) serve() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(connection)
	}
}

func (s *server) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nThorntiller-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if !s.answer(s, request, body, connection) {
			return
		}
	}
}

// note records that the server began work on a request.
func (s *server) note(r *http.Request, body []byte) {
	id := r.Header.Get("Thorntiller-Attempt-Id")
	s.mutex.Lock()
	s.ran[id]++
	s.mutex.Unlock()
	s.fleet.record.note("server %s runs %s %s %s, %d bytes of body", s.id, id, r.Method, r.URL.RequestURI(), len(body))
}

// answerOK is the answer of a sound server.
func answerOK(s *server, r *http.Request, body []byte, connection net.Conn) bool {
	s.note(r, body)
	text := "done by " + s.id + " " + r.URL.RequestURI() + " " + strconv.Itoa(len(body))
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nThorntiller-Attempt-Id: %s\r\nThorntiller-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Thorntiller-Attempt-Id"), s.id, len(text), text)
	return err == nil
}

// beat sends heartbeats.
func (s *server) beat() {
	for {
		s.beatOnce()
		time.Sleep(heartbeatInterval)
	}
}

func (s *server) beatOnce() {
	body := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "slots": 4, "state": "ready",
		"warm_up_left_ms": 0, "sequence": s.sequence.Add(1), "holdings": [][]any{}, "released": [][]any{},
	}
	for _, target := range s.control {
		code, _, err := post(target, "/v1/instances/"+s.id+"/heartbeat", body)
		if err == nil && code == http.StatusOK {
			return
		}
	}
}
