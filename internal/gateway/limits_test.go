package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestLimitsForbidOnlyWhileTheirTableIsProved guards against a 431 or 413, which clients never send again, by a default or by
// a limit that may have been raised since.
func TestLimitsForbidOnlyWhileTheirTableIsProved(t *testing.T) {
	largeHead := "GET / HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", 3000) + "\r\n\r\n"
	veryLargeHead := strings.Replace(largeHead, "X-Padding: ", "X-Padding: "+strings.Repeat("x", callerBufferBytes), 1)
	largeBody := "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 70000000\r\n\r\n" + strings.Repeat("x", 10_000)
	chunkedBody := "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n0\r\n\r\n"
	limits := &routing.Table{Limits: directory.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 2000}}
	for name, test := range map[string]struct {
		table      *routing.Table
		confirmed  bool
		sent, want string
	}{
		"head, no table":                    {nil, false, veryLargeHead, "503"},
		"head, table without proof":         {limits, false, largeHead, "503"},
		"large head, table without it":      {limits, false, veryLargeHead, "503"},
		"head, proved table":                {limits, true, largeHead, "431"},
		"large head, proved table":          {limits, true, veryLargeHead, "431"},
		"body, no table":                    {nil, false, largeBody, "503"},
		"body, table without proof":         {limits, false, largeBody, "503"},
		"body, proved table":                {limits, true, largeBody, "413"},
		"chunks, table without proof":       {limits, false, chunkedBody, "503"},
		"chunks, proved table":              {limits, true, chunkedBody, "413"},
		"head, proved table, no limits":     {&routing.Table{}, true, veryLargeHead, "431"},
		"small head, proved, no such route": {limits, true, wholeRequest, "404"},
	} {
		t.Run(name, func(t *testing.T) {
			answer, _ := exchangeUntilClosed(t, serveTable(t, test.table, test.confirmed), closing(test.sent))
			if !strings.HasPrefix(answer, "HTTP/1.1 "+test.want) {
				t.Errorf("answer %.300q, want %s", answer, test.want)
			}
			if wantsRetry := test.want == "503"; wantsRetry != strings.Contains(answer, "Retry-After: ") {
				t.Errorf("answer %.300q", answer)
			}
		})
	}
}

// closing returns a request that asks for the end of its connection.
func closing(request string) string {
	return strings.Replace(request, "Host: ", "Connection: close\r\nHost: ", 1)
}

// TestRejectionArrivesThoughItsCallerStillWrites guards against answers that callers lose: the system resets a connection that
// is closed with unread bytes, and a caller that still writes fails by that.
func TestRejectionArrivesThoughItsCallerStillWrites(t *testing.T) {
	const manyBytes = 4 << 20
	address := serveLimits(t, directory.Limits{MaxHeaderBytes: 2 * callerBufferBytes, MaxBodyBytes: 2000})
	for name, test := range map[string]struct{ sent, want string }{
		"head":           {"GET / HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("x", manyBytes), "HTTP/1.1 431"},
		"body":           {fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", manyBytes) + strings.Repeat("x", manyBytes), "HTTP/1.1 413"},
		"malformed line": {"GET\r\n" + strings.Repeat("x", manyBytes), "HTTP/1.1 400"},
	} {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				if answer, _ := exchangeUntilClosed(t, address, test.sent); !strings.HasPrefix(answer, test.want) {
					t.Errorf("answer %.300q", answer)
				}
			}
		})
	}
}

// TestRelayTakesBodiesThatTheOtherGatewayAccepted guards against a relay that applies limits by its own table, which may be
// older or newer by a moment than that of the gateway that accepted the request.
func TestRelayTakesBodiesThatTheOtherGatewayAccepted(t *testing.T) {
	gateway := newCutOffGateway(t)
	table := *gateway.subscription.current()
	table.Limits = directory.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 100}
	gateway.subscription.table.Store(&table)
	near, far := tcpPair(t)
	var serving conc.WaitGroup
	defer serving.Wait()
	defer func() { _ = near.Close() }()
	serving.Go(func() { _ = gateway.serveRelayStream(intake.Admit(far, gateway.clientBudget, gateway.clock)) })
	var request fasthttp.Request
	request.SetRequestURI("/once/")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost("h.example")
	request.Header.Set("Thorntiller-Request-Id", "x")
	relay.SetTarget(&request.Header, relay.Target{Service: "s", Instance: "i0"})
	for _, size := range []int{1000, 100_000} {
		request.SetBody(make([]byte, size))
		if _, err := request.WriteTo(near); err != nil {
			t.Fatal(err)
		}
		var answer fasthttp.Response
		if err := answer.Read(bufio.NewReader(near)); err != nil {
			t.Fatal(err)
		}
		if result, failure := relay.TakeResult(&answer.Header); result == relay.NotSent {
			t.Errorf("a body of %d bytes: %s, %v", size, result, failure)
		}
	}
}

// TestRaisedIdleTimeoutHoldsForIdleConnections guards against connections that are closed by the former timeout, though their
// callers know the raised one and send a request on them later.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	const idle, raised = 300 * time.Millisecond, time.Minute
	tableOf := func(timeout time.Duration) *routing.Table {
		return &routing.Table{Limits: directory.Limits{IdleTimeoutMs: float64(timeout.Milliseconds())}}
	}
	for name, test := range map[string]struct {
		next     time.Duration
		survives bool
	}{"raised": {raised, true}, "lowered": {idle / 2, false}, "unchanged": {idle, false}} {
		t.Run(name, func(t *testing.T) {
			gateway, address := serveGateway(t, tableOf(idle), true)
			gateway.extendIdleConnections()
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			exchange := func() error {
				if _, err := io.WriteString(connection, wholeRequest); err != nil {
					return err
				}
				var answer fasthttp.Response
				return answer.Read(reader)
			}
			if err := exchange(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(idle / 2)
			gateway.subscription.table.Store(tableOf(test.next))
			gateway.extendIdleConnections()
			time.Sleep(idle + idleSlack)
			if err := exchange(); (err == nil) != test.survives {
				t.Errorf("after %s the next request got %v", idle+idleSlack+idle/2, err)
			}
		})
	}
}

// TestLogOfMalformedRequestsQuotesNone guards against fields of requests, which may be secret, in the log.
func TestLogOfMalformedRequestsQuotesNone(t *testing.T) {
	const secret = "hidden-word"
	gateway, address := serveGateway(t, &routing.Table{}, true)
	gateway.log.Logger.SetLevel(logrus.InfoLevel)
	lines := logtest.NewLocal(gateway.log.Logger)
	for _, sent := range []string{
		"GET / HTTP/1.1\r\nHost: a.example\r\nAuthorization: " + secret + "\r\nNo colon\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a.example\r\nAuthorization: " + secret + strings.Repeat("x", callerBufferBytes) + "\r\n\r\n",
	} {
		exchangeUntilClosed(t, address, sent)
	}
	rejected := 0
	for _, line := range lines.AllEntries() {
		if line.Data[telemetry.FieldEvent] == string(telemetry.EventRequestMalformed) {
			rejected++
		}
		if text, err := line.String(); err != nil || strings.Contains(text, secret) {
			t.Errorf("line %.500s, %v", text, err)
		}
	}
	if rejected != 2 {
		t.Errorf("%d lines about malformed requests, want 2", rejected)
	}
}
