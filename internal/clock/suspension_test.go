package clock

import (
	"testing"
	"time"
)

// TestSuspensionIsTold: each one once, and no time in which the process was held up only.
func TestSuspensionIsTold(t *testing.T) {
	detector := newSuspensionDetector(time.Hour, 0)
	for _, c := range []struct {
		name            string
		counting, awake time.Duration
		want            time.Duration
	}{
		{"nothing happened", time.Hour + time.Second, time.Second, 0},
		{"the process was held up", time.Hour + 10*time.Second, 10 * time.Second, 0},
		{"held up between the readings", time.Hour + 11*time.Second, 11*time.Second - shortestSuspension/2, 0},
		{"suspended", time.Hour + 15*time.Second, 12 * time.Second, 3 * time.Second},
		{"told once", time.Hour + 16*time.Second, 13 * time.Second, 0},
	} {
		if got := detector.look(c.counting, c.awake); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
