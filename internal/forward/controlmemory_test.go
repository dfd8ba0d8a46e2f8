package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// TestHealthChecksKeepNoAnswerMemory guards against health checks and cancels that use up the memory for answers: their
// connections stay open for long, and every byte that they ever received stayed reserved.
func TestHealthChecksKeepNoAnswerMemory(t *testing.T) {
	const checks = 100
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		padding := strings.Repeat(" ", 4<<10)
		if request.URL.Path == backendapi.PathCancel {
			padding = `{"request_id":"x","outcome":"never_started"}` + padding
		}
		_, _ = writer.Write([]byte(padding))
	}))
	t.Cleanup(server.Close)
	memory := NewAnswerMemory(1 << 20)
	client := NewClient(strings.TrimPrefix(server.URL, "http://"), Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1,
		MaxAnswerBytes: 64 << 20, AnswerMemory: memory,
	})
	t.Cleanup(client.CloseIdle)
	for range checks {
		if healthy, err := client.Healthy(testTimeout); !healthy || err != nil {
			t.Fatalf("a health check failed: %v", err)
		}
		if never, err := client.Cancel("x", testTimeout); !never || err != nil {
			t.Fatalf("a cancel failed: %v, %v", never, err)
		}
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes stay reserved", used)
	}
}

// TestControlAnswersAreSmall guards against health checks and cancels that receive as much as an answer to a caller may
// have, beside the bound of all answers.
func TestControlAnswersAreSmall(t *testing.T) {
	client := NewClient(serveRaw(t, endlessly("HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", strings.Repeat("a", 0x8000))), Settings{
		ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnections: 1, ControlConnections: 1, MaxAnswerBytes: 64 << 20,
	})
	t.Cleanup(client.CloseIdle)
	if healthy, _ := client.Healthy(testTimeout); healthy {
		t.Error("an answer of 60 MB to a health check was received")
	}
}
