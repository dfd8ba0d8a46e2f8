package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxQueuedLines is the maximum number of queued log lines.
	maxQueuedLines = 1024
	// maxQueuedBytes is the maximum total size of queued log lines.
	maxQueuedBytes = 1 << 20
	// closeTimeout is the maximum time that Close waits for queued lines to be written.
	closeTimeout = time.Second
)

// Queue writes log lines in a goroutine of its own, so that a slow log reader does not block
// the goroutines that log. Lines that find the queue full or cannot be written are dropped and counted, and a log
// line reports the count. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	bytes   atomic.Int64
	dropped atomic.Uint64
	closing sync.Once
	ended   chan struct{}
	group   conc.WaitGroup
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	q.group.Go(q.run)
	return q
}

// Write queues one line, or drops it if the queue is full or closed. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if q.bytes.Load()+int64(len(line)) > maxQueuedBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	lineCopy := append([]byte(nil), line...)
	q.bytes.Add(int64(len(lineCopy)))
	select {
	case q.lines <- lineCopy:
	case <-q.ended:
		q.bytes.Add(-int64(len(lineCopy)))
	default:
		q.bytes.Add(-int64(len(lineCopy)))
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no log line has reported yet.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

func (q *Queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.ended:
			q.drain()
			return
		}
	}
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by a line with the number of dropped lines if there are any. A line that
// cannot be written counts as dropped.
func (q *Queue) writeLine(line []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, err := fmt.Fprintf(q.out, "{%q:%q,%q:%q,%q:%q,%q:%d}\n", FieldTime, time.Now().Format(time.RFC3339Nano),
			FieldLevel, levelWarning, FieldEvent, EventLinesDropped, FieldCount, dropped)
		if err != nil {
			q.dropped.Add(dropped)
		}
	}
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
	}
	q.bytes.Add(-int64(len(line)))
}

// Close writes the queued lines, and waits at most closeTimeout for that.
func (q *Queue) Close() {
	q.closing.Do(func() { close(q.ended) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.group.Wait()
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}
