package records

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/table"
)

// leavePoll is the interval for checking whether all partitions have moved.
const leavePoll = 10 * time.Millisecond

// Leave asks the controllers to move this router's partitions away. The router continues
// to serve until they have moved.
func (s *Service) Leave() {
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	signal(s.reportDue)
}

// Stop waits until the partitions have moved, the context ends, or there is no other
// router to take them. It then promises the controllers never to act as a primary
// again, and waits until a pong confirms that they know or the context ends.
func (s *Service) Stop(ctx context.Context) {
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for s.isNeeded() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.mutex.Lock()
	s.stopped = true
	s.stoppedAt = s.options.Clock.Now()
	s.mutex.Unlock()
	signal(s.reportDue)
	select {
	case <-s.stopAcknowledged:
	case <-ctx.Done():
	}
}

// isNeeded reports whether a partition still needs this router, as its primary or for its
// former copy, and another router could take it.
func (s *Service) isNeeded() bool {
	view := s.options.View()
	session := s.openSession(view)
	if session == 0 || !otherRoutersOpen(view) {
		return false
	}
	for number := range view.Partitions() {
		placed, found := view.Partition(number)
		if !found {
			continue
		}
		primary := placed.Primary == s.options.Self.ID && placed.PrimarySession == session
		former := placed.Former == s.options.Self.ID && placed.FormerSession == session
		if primary || former {
			return true
		}
	}
	return false
}

func otherRoutersOpen(view *table.Table) bool {
	const self = 1
	return view.OpenRouters() > self
}
