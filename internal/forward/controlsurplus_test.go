package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// serveTwice answers each control call with its number in order, and sends the answers of the first two once more: the
// first at once, the second after a pause.
func serveTwice(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var calls atomic.Int64
	answerCalls := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			id, _, _ := strings.Cut(strings.TrimPrefix(string(body), `{"request_id":"`), `"`)
			content := fmt.Sprintf(`{"request_id":%q,"outcome":%q}`, id, backendapi.CancelNeverStarted)
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
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerCalls(connection)
		}
	}()
	return listener.Addr().String()
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
