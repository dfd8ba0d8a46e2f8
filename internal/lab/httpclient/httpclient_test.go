package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestMalformedHeadIsNoAnswer guards against a process that counts as ready, or as told to change, by an answer whose head
// violates the grammar.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{"X Odd: v": false, "X-Odd : v": false, "X-Odd: v": true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var group conc.WaitGroup
		group.Go(func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok") // the client may have closed
				}
				_ = connection.Close()
			}
		})
		_, body, err := New().GetTimeout(nil, "http://"+listener.Addr().String(), 10*time.Second)
		if (err == nil) != valid || valid && string(body) != "ok" {
			t.Errorf("%q: %q, %v, want valid %t", line, body, err, valid)
		}
		_ = listener.Close()
		group.Wait()
	}
}
