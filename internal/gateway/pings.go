package gateway

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
)

// pingsKept bounds the pings whose answers are awaited. An answer to an earlier one proves nothing.
const pingsKept = 64

// pingLog records when the latest pings of a stream were sent. It is safe for concurrent use.
type pingLog struct {
	clock  clock.Clock
	mutex  sync.Mutex
	number uint64
	sent   [pingsKept]sentPing
}

type sentPing struct {
	number uint64
	at     time.Duration
}

// next returns the number of a ping that is sent now. Numbers begin at 1.
func (l *pingLog) next() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.number++
	l.sent[l.number%pingsKept] = sentPing{number: l.number, at: l.clock.Now()}
	return l.number
}

// sentAt returns the clock reading at which a ping was sent; false if that is not known any more.
func (l *pingLog) sentAt(number uint64) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ping := l.sent[number%pingsKept]
	return ping.at, number > 0 && ping.number == number
}
