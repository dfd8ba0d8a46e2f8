package forward

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// serveTwice proves for each cancel that its attempt never started. It sends the answers to the first two once more: the
// first at once, the second after a pause.
func serveTwice(t *testing.T) (address string) {
	var calls atomic.Int64
	return listenRaw(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			var call backendapi.CancelRequest
			if json.NewDecoder(request.Body).Decode(&call) != nil {
				return
			}
			content := fmt.Sprintf(`{"request_id":%q,"outcome":%q}`, call.RequestID, backendapi.CancelNeverStarted)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
			number := calls.Add(1)
			if number == 1 {
				answer += answer
			}
			if _, err := connection.Write([]byte(answer)); err != nil {
				return
			}
			if number == 2 {
				time.Sleep(surplusPause / 2)
				_, _ = connection.Write([]byte(answer)) // the client may have closed the connection
			}
		}
	})
}

const surplusPause = 100 * time.Millisecond

// TestCancelsBehindASurplusAnswer guards against an answer to an earlier cancel or health check that is taken for the
// answer to each later one of its connection.
func TestCancelsBehindASurplusAnswer(t *testing.T) {
	client := newTestClient(t, serveTwice(t))
	for number := range 6 {
		id := fmt.Sprintf("request-%d", number)
		if proved, err := client.Cancel(id, testTimeout); !proved || err != nil {
			t.Errorf("cancel of %s: proved %t, %v", id, proved, err)
		}
		time.Sleep(surplusPause)
	}
}
