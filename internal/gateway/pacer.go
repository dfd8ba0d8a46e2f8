package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/link"
)

const (
	// maxUnpacedBytes is the size in bytes up to which data is sent without a turn: headers, rejections and
	// requests without a body take little of the link, and much depends on them.
	maxUnpacedBytes = 700
	// maxTurnBytes is the largest part of an answer or a body that is sent in one turn, so that a long one
	// delays the others by at most about 30 ms at 2 Mbit/s.
	maxTurnBytes = 8 << 10
)

// pacer sends answers and bodies in the order of a link.Schedule. It is safe for concurrent use.
type pacer struct {
	clock    clock.Clock
	mutex    sync.Mutex
	schedule *link.Schedule
	// granted has a channel for each waiting turn, which is closed when the turn is due.
	granted map[*link.Turn]chan struct{}
	timer   *time.Timer
}

func newPacer(system clock.Clock, megabits float64) *pacer {
	p := &pacer{clock: system, schedule: link.NewSchedule(megabits), granted: make(map[*link.Turn]chan struct{})}
	p.timer = time.AfterFunc(time.Hour, p.releaseDue)
	return p
}

// wait returns once the bytes of a request may be sent.
func (p *pacer) wait(bytes int, template link.Turn) {
	p.mutex.Lock()
	now := p.clock.Now()
	if bytes <= maxUnpacedBytes {
		p.schedule.Passed(now, bytes)
		p.mutex.Unlock()
		return
	}
	turn := &template
	turn.Bytes = bytes
	if p.schedule.Ask(now, turn) {
		p.mutex.Unlock()
		return
	}
	granted := make(chan struct{})
	p.granted[turn] = granted
	p.release(now)
	p.mutex.Unlock()
	<-granted
}

func (p *pacer) releaseDue() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.release(p.clock.Now())
}

// release releases the turns that are due, and sets the timer for the next one. The mutex must be held.
func (p *pacer) release(now time.Duration) {
	for {
		turn, again := p.schedule.Next(now)
		if turn == nil {
			if again > 0 {
				p.timer.Reset(max(0, again-now))
			}
			return
		}
		close(p.granted[turn])
		delete(p.granted, turn)
	}
}

// turnFunc returns a function that waits for a turn for bytes of a request or its answer, of the given total
// size.
func (p *pacer) turnFunc(current *request, size int) func(bytes int) {
	turn := link.Turn{
		Urgency: current.urgency, Target: current.arrived + current.target(), Bulk: size >= link.BulkBytes,
	}
	return func(bytes int) { p.wait(bytes, turn) }
}

// writeInTurns writes data in parts, each in its own turn.
func writeInTurns(data []byte, turn func(bytes int), write func([]byte) (int, error)) (int, error) {
	written := 0
	for {
		part := data[written:min(len(data), written+maxTurnBytes)]
		turn(len(part))
		count, err := write(part)
		written += count
		if err != nil || written >= len(data) {
			return written, err
		}
	}
}
