package gateway

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes any number of waiters. It is safe for concurrent use.
type broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{changed: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (b *broadcast) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

func (b *broadcast) raise() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
