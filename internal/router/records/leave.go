package records

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/table"
)

// leavePoll is the time between two looks at whether all partitions moved.
const leavePoll = 10 * time.Millisecond

// Leave asks the controllers to move this router's partitions away. The router
// serves on meanwhile.
func (s *Service) Leave() {
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	signal(s.reportDue)
}

// Stop waits until the partitions have moved, or the context ends, or there is
// no other router to take them. Then it promises the controllers to act as a
// primary no longer, and waits until they know.
func (s *Service) Stop(ctx context.Context) {
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for s.placedHere() && ctx.Err() == nil {
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
	case <-s.farewell:
	case <-ctx.Done():
	}
}

// placedHere reports whether a partition still needs this router, as its primary or
// for its former copy, and another router could take it.
func (s *Service) placedHere() bool {
	view := s.options.View()
	session := s.openSession(view)
	if session == 0 || !othersOpen(view) {
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

func othersOpen(view *table.Table) bool {
	const self = 1
	return view.OpenRouters() > self
}
