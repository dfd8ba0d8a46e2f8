package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests to gateways, each as a single try with an identifier of its own.
type client struct {
	record *recorder
	lastID atomic.Int64
	mutex  sync.Mutex
	// outcomes has what each request was answered: its status, or zero if its connection ended without an
	// answer or the deadline passed.
	outcomes map[string]int
}

func newClient(record *recorder) *client {
	return &client{record: record, outcomes: make(map[string]int)}
}

// outcomesOf returns what each request was answered.
func (c *client) outcomesOf() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.outcomes)
}

// outgoing is one request of a client.
type outgoing struct {
	method, host, path, key, body string
	deadline                      time.Duration
}

// send sends a request over a new connection and waits for its answer, at most until its deadline.
func (c *client) send(front string, request outgoing) {
	id := fmt.Sprintf("a%06d", c.lastID.Add(1))
	c.record.note("client sends %s: %s %s key %s to %s", id, request.method, request.path, request.key, front)
	status, content := exchange(front, id, request)
	c.mutex.Lock()
	c.outcomes[id] = status
	c.mutex.Unlock()
	c.record.note("client got %s: status %d %q", id, status, content)
}

// exchange returns status zero if no whole answer came in time.
func exchange(front, id string, request outgoing) (status int, content string) {
	end := time.Now().Add(request.deadline)
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(end)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", request.method, request.path, request.host,
		headerID, id, headerDeadline, request.deadline.Milliseconds())
	if request.key != "" {
		text += headerKey + ": " + request.key + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(request.body), request.body)
	if _, err := connection.Write([]byte(text)); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}
