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
	// queuedLines bounds the log lines that wait to be written.
	queuedLines = 1024
	// queuedBytes bounds their memory.
	queuedBytes = 1 << 20
	// closeTimeout bounds the wait for them at the end of the process.
	closeTimeout = time.Second
)

// Queue writes log lines beside the goroutines that log, so that nobody waits for a
// slow reader of the log. Lines that find the queue full are dropped and counted; a
// line says how many. It is safe for concurrent use.
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
	q := &Queue{out: out, lines: make(chan []byte, queuedLines), ended: make(chan struct{})}
	q.group.Go(q.run)
	return q
}

// Write takes one line. It never waits and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if q.bytes.Load()+int64(len(line)) > queuedBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	q.bytes.Add(int64(len(kept)))
	select {
	case q.lines <- kept:
	case <-q.ended:
		q.bytes.Add(-int64(len(kept)))
	default:
		q.bytes.Add(-int64(len(kept)))
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not told of yet.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

func (q *Queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.emit(line)
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
			q.emit(line)
		default:
			return
		}
	}
}

// emit writes a line, and before it how many were dropped. An error has nobody to
// tell it to.
func (q *Queue) emit(line []byte) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(q.out, "{%q:%q,%q:%q,%q:%q,%q:%d}\n", FieldTime, time.Now().Format(time.RFC3339Nano),
			FieldLevel, levelWarning, FieldEvent, EventLinesDropped, FieldCount, dropped)
	}
	_, _ = q.out.Write(line)
	q.bytes.Add(-int64(len(line)))
}

// Close writes the lines that wait, for a bounded time.
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
