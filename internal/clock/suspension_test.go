package clock

import (
	"testing"
	"time"
)

// TestSuspensionIsTold checks that each suspension is reported once, and that a delay of the
// process alone is not reported.
func TestSuspensionIsTold(t *testing.T) {
	detector := newSuspensionDetector(time.Hour, 0)
	for _, c := range []struct {
		name                string
		bootTime, awakeTime time.Duration
		want                time.Duration
	}{
		{"no suspension", time.Hour + time.Second, time.Second, 0},
		{"process delayed", time.Hour + 10*time.Second, 10 * time.Second, 0},
		{"process delayed between the readings", time.Hour + 11*time.Second, 11*time.Second - minReportedSuspension/2, 0},
		{"suspended", time.Hour + 15*time.Second, 12 * time.Second, 3 * time.Second},
		{"already reported", time.Hour + 16*time.Second, 13 * time.Second, 0},
	} {
		if got := detector.check(c.bootTime, c.awakeTime); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
