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
		head := okHead + framing + "\r\n"
		for cut := range len(head) {
			address := serveRaw(t, func(c net.Conn) { _, _ = c.Write([]byte(head[:cut])) })
			client := NewClient(address, Settings{
				ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1, MaxAnswerBytes: 1000, AcceptUnframed: true,
			})
			if response, failure := send(client, "GET", "/", "x", testTimeout); failure == nil {
				t.Errorf("%s, %d of %d bytes of the head: status %d, body %q", name, cut, len(head), response.StatusCode(), response.Body())
			}
			client.CloseIdle()
		}
	}
}
