package forward

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestAnswerWithoutMemoryOfItsOwnProcess guards against a back end that is blamed, as for a truncated answer, while this
// process has no memory left for the answer.
func TestAnswerWithoutMemoryOfItsOwnProcess(t *testing.T) {
	large := strings.Repeat("b", 2*freeAnswerBytes)
	client := NewClient(serveRaw(t, func(c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", okHead, len(large), large)
	}), Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1,
		MaxAnswerBytes: 64 << 20, AnswerMemory: NewAnswerMemory(1 << 20), IDHeader: "Thorntiller-Request-Id",
	})
	t.Cleanup(client.CloseIdle)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://back-end/")
	failure := client.Do(&Attempt{
		ID: "x", Request: request, Response: response, Timeout: testTimeout, Reserve: func(int64) bool { return false },
	})
	if failure == nil || failure.Kind != fault.AnswerDropped {
		t.Errorf("failure %v, want %s", failure, fault.AnswerDropped)
	}
	if answer := fault.AnswerFor(fault.AnswerDropped); answer.Outcome != fault.Unknown || answer.Resend {
		t.Errorf("answer %+v: the request may have run", answer)
	}
}
