package answerhead

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// answers are the first lines of answers, and whether they have a valid status.
var answers = map[string]bool{
	"HTTP/1.1 200 OK": true, "HTTP/1.1 100": true, "HTTP/1.1  204 No Content": true, "HTTP/1.0 999 ": true,
	"HTTP/1.1 000 OK": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 2x0 OK": false,
	"HTTP/1.1 ": false, "HTTP/1.1": false,
}

// TestCheck checks which status lines are valid.
func TestCheck(t *testing.T) {
	for line, valid := range answers {
		if err := check([]byte(line + "\r")); (err == nil) != valid || err != nil && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("%q: %v, want valid %t", line, err, valid)
		}
	}
}

// TestHeaderThatBreaksOff checks that an answer without a whole line fails as the parser says.
func TestHeaderThatBreaksOff(t *testing.T) {
	for _, content := range []string{"", "HTTP/1.1 00", "\r\n\r\n", strings.Repeat("\r\n", 4096), "HTTP/1.1 200 OK\r\nA:"} {
		var header fasthttp.ResponseHeader
		if err := ReadFinal(bufio.NewReaderSize(strings.NewReader(content), 64), &header); err == nil || errors.Is(err, ErrInvalidStatus) {
			t.Errorf("%.20q: %v", content, err)
		}
	}
}

// answerInParts answers one request on a connection, a few bytes at a time.
func answerInParts(connection net.Conn, answer string, size int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var request fasthttp.Request
	for request.Read(reader) == nil {
		for rest := answer; rest != ""; rest = rest[min(size, len(rest)):] {
			if _, err := io.WriteString(connection, rest[:min(size, len(rest))]); err != nil {
				return
			}
		}
	}
}

// TestGuardedClientTakesNoStatusThatIsNone guards against a client of the library that takes an answer with status 000 for
// success, however its bytes arrive, and against a guard that breaks valid answers on a connection that is used again.
func TestGuardedClientTakesNoStatusThatIsNone(t *testing.T) {
	for line, valid := range answers {
		if strings.Contains(line, " 1") || strings.Contains(line, " 204") {
			continue // an interim answer, and one without a body
		}
		for _, size := range []int{1, 7, 1000} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					go answerInParts(connection, line+"\r\nContent-Length: 2\r\n\r\nok", size)
				}
			}()
			client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(address string) (net.Conn, error) {
				connection, err := net.Dial("tcp", address)
				if err != nil {
					return nil, err
				}
				return Guard(connection), nil
			}}
			for range 2 {
				_, body, err := client.GetTimeout(nil, "http://"+listener.Addr().String(), 10*time.Second)
				if (err == nil) != valid || valid && string(body) != "ok" {
					t.Errorf("%q in parts of %d bytes: %q, %v, want valid %t", line, size, body, err, valid)
				}
			}
			client.CloseIdleConnections()
			_ = listener.Close()
		}
	}
}
