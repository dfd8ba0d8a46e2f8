package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer with status 000 that counts as 200, and against one with another
// status that no final answer has, behind which a caller waits until its deadline.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, step := range []struct {
		code string
		// want is the status of the answer; zero if there is none.
		want int
	}{
		{"000", 0}, {"001", 0}, {"099", 0}, {"101", 0}, {"0200", 0}, {"020", 0}, {"1000", 0}, {"20", 0}, {"2x0", 0}, {"-20", 0},
		{"200", 200}, {"404", 404}, {"599", 599}, {"600", 600}, {"999", 999},
	} {
		for name, interim := range map[string]string{"alone": "", "behind an interim answer": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "behind a blank line": "\r\n"} {
			t.Run(step.code+" "+name, func(t *testing.T) {
				t.Parallel()
				backEnd := serve(t, func(_, id string) ([]byte, bool) {
					return fmt.Appendf(nil, "%sHTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", interim, step.code, backendapi.HeaderRequestID, id), true
				})
				client := newTestClient(t, backEnd.address)
				request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				request.SetRequestURI("http://" + backEnd.address + "/")
				request.Header.Set(backendapi.HeaderRequestID, "r")
				began := time.Now()
				failure := client.Do(&Attempt{ID: "r", Request: request, Response: response, Timeout: testTimeout})
				switch {
				case step.want != 0 && (failure != nil || response.StatusCode() != step.want):
					t.Errorf("answered %d with failure %v, want %d", response.StatusCode(), failure, step.want)
				case step.want == 0 && (failure == nil || fault.AnswerFor(failure.Kind).Outcome != fault.Unknown):
					t.Errorf("answered %d with failure %v, want an open outcome", response.StatusCode(), failure)
				case step.want == 0 && time.Since(began) > testTimeout/2:
					t.Errorf("the failure took %s", time.Since(began))
				case step.want == 0:
					<-backEnd.closed // the connection is not used again
				}
			})
		}
	}
}

// TestControlCallsTakeNoStatusThatIsNone guards against a back end that counts as healthy, and against a proof that a request
// never started, by an answer with status 000.
func TestControlCallsTakeNoStatusThatIsNone(t *testing.T) {
	for code, valid := range map[string]bool{"000": false, "001": false, "101": false, "200": true} {
		backEnd := serve(t, func(path, _ string) ([]byte, bool) {
			content := ""
			if path == backendapi.PathCancel {
				content = fmt.Sprintf(`{"request_id":"r","outcome":%q}`, backendapi.CancelNeverStarted)
			}
			return fmt.Appendf(nil, "HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", code, len(content), content), true
		})
		client := newTestClient(t, backEnd.address)
		began := time.Now()
		proved, _ := client.Cancel("r", testTimeout)
		healthy, _ := client.Healthy(testTimeout)
		if proved != valid || healthy != valid {
			t.Errorf("status %s: never started %t, healthy %t, want %t", code, proved, healthy, valid)
		}
		if time.Since(began) > testTimeout/2 {
			t.Errorf("status %s: the calls took %s", code, time.Since(began))
		}
	}
}
