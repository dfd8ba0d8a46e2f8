package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

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
