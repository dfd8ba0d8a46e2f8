package telemetry

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// blockedWriter blocks every write until released is closed.
type blockedWriter struct {
	mutex    sync.Mutex
	released chan struct{}
	written  bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.released
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// TestQueueNeverWaits checks that Write does not block while the output is blocked and more lines
// arrive than fit into the queue, and that the dropped lines are counted in a line of their own.
func TestQueueNeverWaits(t *testing.T) {
	writer := &blockedWriter{released: make(chan struct{})}
	queue := NewQueue(writer)
	const lines = 3 * maxQueuedLines
	for range lines {
		if count, err := queue.Write([]byte("{}\n")); count != 3 || err != nil {
			t.Fatal(count, err)
		}
	}
	close(writer.released)
	queue.Close()
	text := writer.written.String()
	dropped := queue.Dropped()
	for line := range strings.SplitSeq(text, "\n") {
		var notice struct {
			Event Event  `json:"event"`
			Count uint64 `json:"count"`
		}
		if json.Unmarshal([]byte(line), &notice) == nil && notice.Event == EventLinesDropped {
			dropped += notice.Count
		}
	}
	written := uint64(strings.Count(text, "{}\n"))
	if dropped < lines-maxQueuedLines-2 || written+dropped != lines {
		t.Errorf("%d lines written and %d reported as dropped, of %d", written, dropped, lines)
	}
}

// failingWriter fails the given number of writes.
type failingWriter struct {
	failures int
	written  bytes.Buffer
}

func (f *failingWriter) Write(line []byte) (int, error) {
	if f.failures > 0 {
		f.failures--
		return 0, syscall.EPIPE
	}
	return f.written.Write(line)
}

func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	writer := &failingWriter{failures: 1}
	queue := NewQueue(writer)
	for range 2 {
		if _, err := queue.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	queue.Close()
	if text := writer.written.String(); !strings.Contains(text, `"event":"log_lines_dropped","count":1`) || strings.Count(text, "{}\n") != 1 {
		t.Errorf("written %q", text)
	}
}
