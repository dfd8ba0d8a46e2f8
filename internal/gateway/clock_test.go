package gateway

import (
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
)

// testClock is the clock of tests that play no suspension.
var testClock = clock.NewSystem()

// manualClock shows what a test sets. It is safe for concurrent use.
type manualClock struct{ reading atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.reading.Load()) }

// suspend lets time pass in which the process does nothing.
func (c *manualClock) suspend(duration time.Duration) { c.reading.Add(int64(duration)) }
