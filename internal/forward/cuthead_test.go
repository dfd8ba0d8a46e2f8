package forward

import (
	"net"
	"testing"
	"time"
)

// TestHeadCutAtAnyByteIsNoAnswer guards against an answer whose head breaks off and that is passed on as a whole one
// with an empty or short body.
func TestHeadCutAtAnyByteIsNoAnswer(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 25\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n"} {
		for _, acceptUnframed := range []bool{true, false} { // gateways, routers
			head := okHead + framing + "\r\n"
			for cut := range len(head) {
				checkCutHead(t, name, head[:cut], acceptUnframed)
			}
		}
	}
}

// checkCutHead checks that the beginning of a head is not taken for an answer.
func checkCutHead(t *testing.T, name, beginning string, acceptUnframed bool) {
	t.Helper()
	address := serveRaw(t, func(c net.Conn) { _, _ = c.Write([]byte(beginning)) })
	client := NewClient(address, Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1, MaxAnswerBytes: 1000, AcceptUnframed: acceptUnframed,
	})
	defer client.CloseIdle()
	if response, failure := send(client, "GET", "/", "x", testTimeout); failure == nil {
		t.Errorf("%s, the first %d bytes of the head: status %d, body %q", name, len(beginning), response.StatusCode(), response.Body())
	}
}
