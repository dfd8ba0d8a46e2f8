package forward

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// malformedLines are lines that make a head malformed, between its status line and its other fields.
var malformedLines = map[string]string{
	"blank in a name":           "X Odd: v\r\n",
	"blank before the colon":    "X-Odd : v\r\n",
	"tab in a name":             "X\tOdd: v\r\n",
	"control byte in a name":    "X\x01Odd: v\r\n",
	"DEL in a name":             "X\x7fOdd: v\r\n",
	"byte above 127 in a name":  "X\x80Odd: v\r\n",
	"separator in a name":       "X(Odd): v\r\n",
	"field over two lines":      "X-Odd: v\r\n w\r\n",
	"no name":                   ": v\r\n",
	"no colon":                  "X-Odd\r\n",
	"control byte in a value":   "X-Odd: v\x00w\r\n",
	"CR in a value":             "X-Odd: v\rw\r\n",
	"LF alone":                  "X-Odd: v\n",
	"refusal with a blank":      "Thorntiller-Refusal : shedding\r\n",
	"further length, blank":     "Content Length: 0\r\n",
	"chunks, blank in the name": "Transfer Encoding: chunked\r\n",
}

// checkNoAnswer checks that an attempt fails at once with an open outcome, and that its connection is not used again.
func checkNoAnswer(t *testing.T, backEnd *scriptedBackEnd) {
	t.Helper()
	began := time.Now()
	response, failure := send(newTestClient(t, backEnd.address), fasthttp.MethodPost, "/", "r", testTimeout)
	if failure == nil || fault.AnswerFor(failure.Kind).Outcome != fault.Unknown {
		t.Errorf("answered %d with failure %v, want an open outcome", response.StatusCode(), failure)
		return
	}
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("the failure took %s", took)
	}
	if arrived := backEnd.arrivals("/"); arrived != 1 {
		t.Errorf("%d requests arrived, want 1", arrived)
	}
	<-backEnd.closed
}

// TestMalformedHeadIsNoAnswer guards against an answer whose head violates the grammar and that is passed on, framed by what
// the parser makes of it, or taken as the back end's refusal.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, line := range malformedLines {
		final := func(id, lines string) string {
			return "HTTP/1.1 200 OK\r\n" + lines + backendapi.HeaderRequestID + ": " + id + "\r\nContent-Length: 4\r\n\r\nbody"
		}
		for place, answer := range map[string]func(id string) string{
			"first":                    func(id string) string { return final(id, line) },
			"later":                    func(id string) string { return final(id, "X-Even: v\r\n"+line) },
			"interim":                  func(id string) string { return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + final(id, "") },
			"behind an interim answer": func(id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + final(id, line) },
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, serve(t, func(_, id string) ([]byte, bool) { return []byte(answer(id)), true }))
			})
		}
	}
}

// TestMalformedStatusLineIsNoAnswer guards against an answer that is passed on with control bytes in its reason, and against
// a caller that waits for the end of a head whose lines end in LF alone.
func TestMalformedStatusLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 O\x7fK\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 OK\n", "\nHTTP/1.1 200 OK\r\n", "\x00HTTP/1.1 200 OK\r\n"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			checkNoAnswer(t, serve(t, func(_, id string) ([]byte, bool) {
				return fmt.Appendf(nil, "%s%s: %s\r\nContent-Length: 4\r\n\r\nbody", line, backendapi.HeaderRequestID, id), true
			}))
		})
	}
}

// checkNotSkipped checks that a surplus answer to a request that is named "first" is not skipped.
func checkNotSkipped(t *testing.T, surplus string) {
	t.Helper()
	due := func(id string) string { return string(framedAnswer(id, 4, "fine")) }
	backEnd := serve(t, func(path, id string) ([]byte, bool) {
		if path == "/first" {
			return []byte(due(id)), true
		}
		return []byte(surplus + due(id)), true
	})
	client := newTestClient(t, backEnd.address)
	if _, failure := send(client, fasthttp.MethodPost, "/first", "first", testTimeout); failure != nil {
		t.Fatal(failure)
	}
	if _, failure := send(client, fasthttp.MethodPost, "/", "r", testTimeout); failure == nil || fault.AnswerFor(failure.Kind).Outcome != fault.Unknown {
		t.Fatalf("failure %v, want an open outcome", failure)
	}
	<-backEnd.closed
}

// TestSurplusAnswerWithMalformedHeadIsNotSkipped guards against a surplus answer that is skipped by what the parser makes of
// a malformed head, so that the rest of it is taken for the answer that is due.
func TestSurplusAnswerWithMalformedHeadIsNotSkipped(t *testing.T) {
	for name, line := range malformedLines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNotSkipped(t, strings.Replace(string(framedAnswer("first", 4, "fine")), "\r\n", "\r\n"+line, 1))
		})
	}
}

// TestControlCallsTakeNoMalformedHead guards against a back end that counts as healthy, and against a proof that a request
// never started, by an answer with a malformed head.
func TestControlCallsTakeNoMalformedHead(t *testing.T) {
	for name, line := range malformedLines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backEnd := serve(t, func(path, _ string) ([]byte, bool) {
				content := ""
				if path == backendapi.PathCancel {
					content = fmt.Sprintf(`{"request_id":"r","outcome":%q}`, backendapi.CancelNeverStarted)
				}
				return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", line, len(content), content), true
			})
			client := newTestClient(t, backEnd.address)
			proved, _ := client.Cancel("r", testTimeout)
			healthy, _ := client.Healthy(testTimeout)
			if proved || healthy {
				t.Errorf("never started %t, healthy %t, want neither", proved, healthy)
			}
		})
	}
}

// chunkedAnswer returns an answer whose body comes in a chunk, with lines of trailers.
func chunkedAnswer(id, body, trailers string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", backendapi.HeaderRequestID, id, len(body), body, trailers)
}

// TestMalformedTrailersAreNoAnswer guards against an answer that is passed on, or skipped as a surplus one, though its trailers
// violate the grammar.
func TestMalformedTrailersAreNoAnswer(t *testing.T) {
	for name, line := range malformedLines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNoAnswer(t, serve(t, func(_, id string) ([]byte, bool) { return chunkedAnswer(id, "body", line), true }))
			checkNotSkipped(t, string(chunkedAnswer("first", "body", line)))
		})
	}
}

// TestControlCallsTakeNoMalformedTrailers guards against a proof that a request never started by an answer whose trailers
// violate the grammar.
func TestControlCallsTakeNoMalformedTrailers(t *testing.T) {
	for _, line := range append(slices.Collect(maps.Values(malformedLines)), "", "X-Odd: v\r\n") {
		backEnd := serve(t, func(path, _ string) ([]byte, bool) {
			return chunkedAnswer("", fmt.Sprintf(`{"request_id":"r","outcome":%q}`, backendapi.CancelNeverStarted), line), true
		})
		client := newTestClient(t, backEnd.address)
		valid := line == "" || line == "X-Odd: v\r\n"
		for range 2 {
			if proved, _ := client.Cancel("r", testTimeout); proved != valid {
				t.Errorf("%q: never started %t, want %t", line, proved, valid)
			}
		}
	}
}

// TestFailuresQuoteNoAnswer guards against a failure whose text, which callers and logs get, has bytes of a broken answer.
func TestFailuresQuoteNoAnswer(t *testing.T) {
	const secret = "secret"
	lines := map[string]string{
		"length that is no number": "Content-Length: secret\r\n", "two lengths": "Content-Length: 6\r\nContent-Length: 7\r\n",
		"unknown coding": "Transfer-Encoding: secret\r\n", "head that is too large": "X-Odd: " + strings.Repeat(secret, 10_000) + "\r\n",
	}
	maps.Copy(lines, malformedLines)
	answers := map[string]string{
		"status": "HTTP/1.1 secret Odd\r\n\r\nsecret", "version": "HTTPS/secret 200 OK\r\n\r\nsecret", "no answer": "secret\r\n\r\n", "cut head": "HTTP/1.1 200 OK\r\nX-Odd: secret",
		"size of a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n", "cut chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nsecret",
		"length as a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\nContent-Length: secret\r\n\r\n",
	}
	for name, line := range lines {
		answers[name] = "HTTP/1.1 200 OK\r\nX-Even: secret\r\n" + line + "\r\nsecret"
	}
	for name, answer := range answers {
		backEnd := serve(t, func(string, string) ([]byte, bool) { return []byte(answer), false })
		if _, failure := send(newTestClient(t, backEnd.address), fasthttp.MethodGet, "/", "r", testTimeout); failure == nil || strings.Contains(failure.Error(), secret) {
			t.Errorf("%s: %.300v", name, failure)
		}
	}
}

// TestDeadlineWithinAHead guards against a deadline that passes within a head or trailers and is taken for a broken answer.
func TestDeadlineWithinAHead(t *testing.T) {
	for _, beginning := range []string{
		"HTTP", "HTTP/1.1 200 OK\r\nX-Odd", "HTTP/1.1 103 Early Hints\r\n\r\n", string(chunkedAnswer("r", "body", "X-Odd")),
	} {
		t.Run(beginning, func(t *testing.T) {
			t.Parallel()
			backEnd := serve(t, func(string, string) ([]byte, bool) { return []byte(strings.TrimSuffix(beginning, "\r\n")), true })
			if _, failure := send(newTestClient(t, backEnd.address), fasthttp.MethodGet, "/", "r", 2*time.Second); failure == nil || failure.Kind != fault.DeadlineExceeded {
				t.Errorf("%v, want %s", failure, fault.DeadlineExceeded)
			}
		})
	}
}
