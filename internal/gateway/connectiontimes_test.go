package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestTimesOfLimits checks that connections are idle for as long as the operator sets, also if that is longer
// than the default, plus idleSlack, so that no request crosses the close.
func TestTimesOfLimits(t *testing.T) {
	for limits, want := range map[directory.Limits]connectionTimeouts{
		{}: {defaultHeaderTimeout, defaultIdleTimeout},
		{HeaderTimeoutMs: 3000, IdleTimeoutMs: 60000}: {3 * time.Second, time.Minute + idleSlack},
	} {
		if got := timeoutsOf(limits); got != want {
			t.Errorf("%+v: %+v, want %+v", limits, got, want)
		}
	}
}

// serveLimits serves callers under the operator's limits and returns the address.
func serveLimits(t *testing.T, limits directory.Limits) string {
	t.Helper()
	return serveTable(t, &routing.Table{Limits: limits}, true)
}

// serveTable serves callers by a table, which may be nil, and returns the address.
func serveTable(t *testing.T, table *routing.Table, confirmed bool) string {
	t.Helper()
	_, address := serveGateway(t, table, confirmed)
	return address
}

// serveGateway is serveTable for tests that need the gateway.
func serveGateway(t *testing.T, table *routing.Table, confirmed bool) (gateway *Gateway, address string) {
	t.Helper()
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	gateway, err := New(settings, telemetry.New(role, "g", "error", io.Discard), Options{})
	if err != nil {
		t.Fatal(err)
	}
	gateway.subscription.table.Store(table)
	if confirmed {
		confirmForTest(gateway)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := gateway.newCallerServer(callerBufferBytes)
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(gateway.meteredListener(listener)) })
	t.Cleanup(func() {
		_ = server.Shutdown()
		_ = listener.Close() // Shutdown leaves it open if Serve has not begun
		group.Wait()
	})
	return gateway, listener.Addr().String()
}

// exchangeUntilClosed sends bytes, and returns all bytes received until the gateway closed the connection and
// how long that took.
func exchangeUntilClosed(t *testing.T, address, sent string) (string, time.Duration) {
	t.Helper()
	// Before the dial, since the gateway may accept the connection before Dial returns.
	began := time.Now()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte(sent)); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetReadDeadline(began.Add(eventuallyTimeout)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(connection)
	if err != nil {
		t.Fatalf("after %q: %v", answer, err)
	}
	return string(answer), time.Since(began)
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// TestConnectionsRestAsTheOperatorSays guards against connections that are closed after 30 s whatever the
// operator sets: callers that reuse them later lose a request.
func TestConnectionsRestAsTheOperatorSays(t *testing.T) {
	const idle = 400 * time.Millisecond
	address := serveLimits(t, directory.Limits{IdleTimeoutMs: float64(idle.Milliseconds()), HeaderTimeoutMs: 200})
	answer, took := exchangeUntilClosed(t, address, wholeRequest)
	if least, most := idle+idleSlack, idle+idleSlack+2*time.Second; took < least || took > most {
		t.Errorf("the connection was idle for %s, want %s to %s", took, least, most)
	}
	if !strings.HasPrefix(answer, "HTTP/1.1 404") || strings.Contains(answer, "Keep-Alive") {
		t.Errorf("answer %q", answer)
	}
}

// TestHeadersMayTakeAsLongAsTheOperatorSays checks the header timeout for the first request of a connection
// and for later ones.
func TestHeadersMayTakeAsLongAsTheOperatorSays(t *testing.T) {
	const header = 300 * time.Millisecond
	address := serveLimits(t, directory.Limits{IdleTimeoutMs: 10_000, HeaderTimeoutMs: float64(header.Milliseconds())})
	for name, sent := range map[string]string{"first": "GET / HT", "second": wholeRequest + "GET / HT"} {
		answer, took := exchangeUntilClosed(t, address, sent)
		if took < header || took > header+2*time.Second || !strings.Contains(answer, "HTTP/1.1 408") {
			t.Errorf("%s request: closed after %s with %q", name, took, answer)
		}
	}
}

// TestBodiesMayTakeLongerThanHeaders checks that the header timeout does not apply to the body.
func TestBodiesMayTakeLongerThanHeaders(t *testing.T) {
	const header = 200 * time.Millisecond
	address := serveLimits(t, directory.Limits{HeaderTimeoutMs: float64(header.Milliseconds())})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	for range 2 {
		if _, err := connection.Write([]byte("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\na")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * header)
		if _, err := connection.Write([]byte("b")); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 4096)
		count, err := connection.Read(buffer)
		answer := string(buffer[:count])
		if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 404") || !strings.Contains(answer, "Keep-Alive: timeout=25") {
			t.Errorf("answer %q, %v", answer, err)
		}
	}
}
