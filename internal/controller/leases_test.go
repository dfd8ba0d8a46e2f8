package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
)

// acceptAll serves each connection to an address until the test ends.
func acceptAll(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// repeatingServer accepts lease messages. It repeats its answer to the first one at once, and that to the third one
// right before its answer to the next message.
func repeatingServer(t *testing.T) (address string) {
	t.Helper()
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for before := ""; ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			var message backendapi.LeaseRequest
			if json.NewDecoder(request.Body).Decode(&message) != nil {
				return
			}
			content, _ := json.Marshal(backendapi.LeaseAnswer{Server: message.Server, Accepted: true, Fence: message.Fence})
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
			send := before + answer
			before = ""
			if message.Fence.Sequence == 3 {
				before = answer
			}
			if _, err := connection.Write([]byte(send)); err != nil {
				return
			}
			if message.Fence.Sequence == 1 {
				time.Sleep(surplusDelay)
				_, _ = connection.Write([]byte(answer)) // the sender may have closed the connection
			}
		}
	}
	return acceptAll(t, serve)
}

const surplusDelay = 50 * time.Millisecond

// TestLeaseAnswersBehindSurplusOnes guards against an answer to an earlier lease message that is taken for the answer to
// each later one.
func TestLeaseAnswersBehindSurplusOnes(t *testing.T) {
	settings := config.DefaultController().Lease
	settings.RequestTimeout = waitTimeout
	sender := newLeaseSender(t.Context(), settings, nil)
	defer sender.stop()
	address := repeatingServer(t)
	answered := 0
	const messages = 10
	for sequence := uint64(1); sequence <= messages; sequence++ {
		request := backendapi.LeaseRequest{Server: "s", Incarnation: "i", Fence: backendapi.Fence{Term: 1, Sequence: sequence}}
		answer, err := sender.exchange(coordinator.Send{Server: "s", Address: address, Request: request})
		time.Sleep(2 * surplusDelay)
		if err != nil {
			continue
		}
		answered++
		if answer.Fence != request.Fence {
			t.Errorf("message %d got the answer to %d", sequence, answer.Fence.Sequence)
		}
	}
	// Each surplus answer costs its connection, which a message finds out.
	if lost := messages - answered; lost > 3 {
		t.Errorf("%d of %d messages were not answered", lost, messages)
	}
}
