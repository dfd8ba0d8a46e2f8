package forward

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// framings write a body in each way that an answer may have.
func framings(body []byte) map[string][]byte {
	var chunked bytes.Buffer
	const chunkBytes = 3000
	for rest := body; len(rest) > 0; rest = rest[min(chunkBytes, len(rest)):] {
		chunk := rest[:min(chunkBytes, len(rest))]
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return map[string][]byte{
		"length":    fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body),
		"chunks":    fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%s0\r\nX-Sum: 1\r\n\r\n", okHead, &chunked),
		"one chunk": fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", okHead, len(body), body),
		"close":     fmt.Appendf(nil, "%s\r\n%s", okHead, body),
	}
}

// TestBodiesArriveWhole checks bodies around the sizes of segments in each framing, and the limit.
func TestBodiesArriveWhole(t *testing.T) {
	const limit = 200_000
	for _, size := range []int{1, 4095, 4096, 4097, 8192, 65536, 65537, 131072, limit - 1, limit, limit + 1} {
		body := make([]byte, size)
		for index := range body {
			body[index] = byte(index % 251)
		}
		for name, answer := range framings(body) {
			checkBody(t, fmt.Sprintf("%s, %d bytes", name, size), answer, body, limit)
		}
	}
}

func checkBody(t *testing.T, name string, answer, body []byte, limit int) {
	t.Helper()
	memory := NewAnswerMemory(1 << 20)
	client := NewClient(serveRaw(t, func(c net.Conn) { _, _ = c.Write(answer) }), Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1,
		MaxAnswerBytes: limit, AnswerMemory: memory, AcceptUnframed: true,
	})
	defer client.CloseIdle()
	response, failure := send(client, "GET", "/", "x", testTimeout)
	switch {
	case len(body) > limit:
		if failure == nil || failure.Kind != fault.AnswerTruncated {
			t.Errorf("%s: %v, want %s", name, failure, fault.AnswerTruncated)
		}
	case failure != nil:
		t.Errorf("%s: %v", name, failure)
	default:
		for _, arrived := range [][]byte{response.Body(), response.SwapBody(nil)} { // gateways, routers
			if !bytes.Equal(arrived, body) {
				t.Errorf("%s: %d bytes arrived, or others", name, len(arrived))
			}
		}
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%s: %d bytes stay reserved", name, used)
	}
}

// TestChunkedBodyCutAtAnyByteIsNoAnswer guards against a chunked body that breaks off and is passed on as a whole one.
func TestChunkedBodyCutAtAnyByteIsNoAnswer(t *testing.T) {
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, rest := range []string{"3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX: y\r\n\r\n"} {
		for cut := range len(rest) {
			checkCutHead(t, "chunked body", chunked+rest[:cut], true)
		}
	}
}
