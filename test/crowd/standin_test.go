package crowd

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/directoryapi"
)

const (
	instanceID        = "server-1"
	instanceSlots     = 1000
	heartbeatInterval = 500 * time.Millisecond
)

// standIn is a stand-in for a server: it announces itself by heartbeats, discards bodies and answers with as many
// bytes as the query field "bytes" says.
type standIn struct {
	t          *testing.T
	controller string
	listener   net.Listener
	sequence   uint64
	// largestBody is the size of the largest body that was received whole, in bytes.
	largestBody atomic.Int64
}

// startStandIn starts a server that serves until the test ends.
func startStandIn(t *testing.T, controller string) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{t: t, controller: controller, listener: listener}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: patience}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { _ = server.Serve(listener) }()
	go func() {
		defer close(stopped)
		s.sendHeartbeats(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
		_ = server.Close()
	})
	return s
}

func (s *standIn) sendHeartbeats(stop <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for {
		s.sendHeartbeat(client)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat. The next one makes up for one that fails.
func (s *standIn) sendHeartbeat(client *http.Client) {
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": s.listener.Addr().String(), "zone": "default", "slots": instanceSlots,
		"state": directoryapi.StateReady, "sequence": s.sequence, "holdings": [][3]int64{}, "released": [][3]any{},
	})
	if err != nil {
		s.t.Error(err)
		return
	}
	response, err := client.Post("http://"+s.controller+"/v1/instances/"+instanceID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // the server holds no keys
	_ = response.Body.Close()
}

// padding is what answers are made of.
var padding = make([]byte, 64<<10)

func (s *standIn) serve(writer http.ResponseWriter, request *http.Request) {
	received, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	s.largestBody.Store(max(s.largestBody.Load(), received))
	length, _ := strconv.Atoi(request.URL.Query().Get("bytes")) // zero if absent
	writer.Header().Set(backendapi.HeaderRequestID, request.Header.Get(backendapi.HeaderRequestID))
	writer.Header().Set("Content-Length", strconv.Itoa(length))
	for length > 0 {
		count, err := writer.Write(padding[:min(length, len(padding))])
		if err != nil {
			return
		}
		length -= count
	}
}
