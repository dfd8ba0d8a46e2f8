package link

import (
	"testing"
	"time"
)

// TestBacklog guards against a gateway that takes a full link for an idle one, and therefore loses
// requests that wait behind answers when it stops.
func TestBacklog(t *testing.T) {
	const interval, megabits, fullInterval = 100 * time.Millisecond, 5, 62_500
	for _, c := range []struct {
		name      string
		megabits  float64
		delivered int64
		waits     bool
	}{
		{"full", megabits, fullInterval, true},
		{"full but for packet headers", megabits, fullInterval * 9 / 10, true},
		{"half full", megabits, fullInterval / 2, false},
		{"idle", megabits, 0, false},
		{"rate unknown", 0, fullInterval, false},
	} {
		backlog := NewBacklog(c.megabits, time.Second, 1000)
		if got := backlog.Waits(time.Second+interval, 1000+c.delivered); got != c.waits {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.waits)
		}
		if backlog.Waits(time.Second+2*interval, 1000+c.delivered) {
			t.Errorf("%s: waits although nothing arrived since", c.name)
		}
	}
}
