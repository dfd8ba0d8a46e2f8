package controller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
)

// answerWith accepts connections and answers each request with a head, to which the length is added, and a body that accepts a
// lease message or is an empty list of machines.
func answerWith(t *testing.T, head string) (address string) {
	t.Helper()
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		for reader := bufio.NewReader(connection); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			content := []byte("[]")
			if request.Method == http.MethodPost {
				var message backendapi.LeaseRequest
				_ = json.NewDecoder(request.Body).Decode(&message) // an empty one is answered as well
				content, _ = json.Marshal(backendapi.LeaseAnswer{Server: message.Server, Accepted: true, Fence: message.Fence})
			}
			if _, err := fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head, len(content), content); err != nil {
				return
			}
		}
	}
	return acceptAll(t, serve)
}

// checkLeaseAndMachines checks whether answers with a head accept a lease, and are read as a list of machines.
func checkLeaseAndMachines(t *testing.T, head string, valid bool) {
	t.Helper()
	address := answerWith(t, head)
	settings := config.DefaultController()
	sender := newLeaseSender(t.Context(), settings.Lease, nil)
	request := backendapi.LeaseRequest{Server: "s", Incarnation: "i", Fence: backendapi.Fence{Term: 1, Sequence: 1}}
	answer, err := sender.exchange(coordinator.Send{Server: "s", Address: address, Request: request})
	sender.stop()
	if accepted := err == nil && answer.Accepted; accepted != valid {
		t.Errorf("%q: accepted %t with %v, want %t", head, accepted, err, valid)
	}
	settings.Platform.URL = "http://" + address + "/machines"
	if _, err := newPlatformPoller(settings.Platform, nil).fetch(); (err == nil) != valid {
		t.Errorf("%q: list of machines with %v, want valid %t", head, err, valid)
	}
}

// TestStatusThatIsNoneAcceptsNoLease guards against a lease, and a list of machines, that are taken from an answer with status
// 000, or with one of a failure.
func TestStatusThatIsNoneAcceptsNoLease(t *testing.T) {
	for code, valid := range map[string]bool{"000": false, "001": false, "500": false, "200": true} {
		checkLeaseAndMachines(t, "HTTP/1.1 "+code+" Odd\r\n", valid)
	}
}

// TestMalformedHeadAcceptsNoLease guards against a lease, and a list of machines, that are taken from an answer whose head
// violates the grammar.
func TestMalformedHeadAcceptsNoLease(t *testing.T) {
	for line, valid := range map[string]bool{
		"X Odd: v": false, "X-Odd : v": false, "X\x01Odd: v": false, "X-Odd: v\r\n w": false, "X-Odd: v": true,
	} {
		checkLeaseAndMachines(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", valid)
	}
}
