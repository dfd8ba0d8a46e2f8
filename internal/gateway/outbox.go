package gateway

import (
	"context"
	"sync"
)

// outbox collects the items to send while the previous message is being sent. It is safe for concurrent use.
type outbox[T any] struct {
	mutex   sync.Mutex
	waiting []T
	wake    chan struct{}
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{wake: make(chan struct{}, 1)} }

// maxOutboxItems bounds the items that wait for a stalled connection; further ones are dropped.
const maxOutboxItems = 4096

// add queues items. It does not block.
func (o *outbox[T]) add(more []T) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.waiting)+len(more) > maxOutboxItems {
		return
	}
	o.waiting = append(o.waiting, more...)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox[T]) take() []T {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	taken := o.waiting
	o.waiting = nil
	return taken
}

// run sends the queued items until the context ends or sending fails.
func (o *outbox[T]) run(ctx context.Context, send func([]T) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		if batch := o.take(); len(batch) > 0 && send(batch) != nil {
			return
		}
	}
}
