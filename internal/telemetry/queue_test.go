package telemetry

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
)

// slowReader takes nothing until it is released.
type slowReader struct {
	mutex    sync.Mutex
	released chan struct{}
	taken    bytes.Buffer
}

func (s *slowReader) Write(line []byte) (int, error) {
	<-s.released
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.taken.Write(line)
}

// TestQueueNeverWaits: with a reader that takes nothing, more lines than fit are
// written without a wait; those dropped are counted in a line of their own.
func TestQueueNeverWaits(t *testing.T) {
	reader := &slowReader{released: make(chan struct{})}
	queue := NewQueue(reader)
	const lines = 3 * queuedLines
	for range lines {
		if count, err := queue.Write([]byte("{}\n")); count != 3 || err != nil {
			t.Fatal(count, err)
		}
	}
	close(reader.released)
	queue.Close()
	text := reader.taken.String()
	told := queue.Dropped()
	for line := range strings.SplitSeq(text, "\n") {
		var notice struct {
			Event Event  `json:"event"`
			Count uint64 `json:"count"`
		}
		if json.Unmarshal([]byte(line), &notice) == nil && notice.Event == EventLinesDropped {
			told += notice.Count
		}
	}
	written := uint64(strings.Count(text, "{}\n"))
	if told < lines-queuedLines-2 || written+told != lines {
		t.Errorf("%d written and %d told as dropped of %d", written, told, lines)
	}
}
