package trial

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/record"
)

func TestLimitsCatchAnOutageAndMissingAnswers(t *testing.T) {
	limits := Limits{MaxUnavailable: time.Second, MinAnswered: 0.99}
	tests := []struct {
		summary record.Summary
		lines   int
	}{
		{record.Summary{Requests: 100, Answered: 99, MaxUnavailableMs: 1000}, 0},
		{record.Summary{Requests: 100, Answered: 99, MaxUnavailableMs: 1001}, 1},
		{record.Summary{Requests: 100, Answered: 98, MaxUnavailableMs: 5000}, 2},
		{record.Summary{}, 1},
	}
	for _, test := range tests {
		if got := limits.exceededBy(test.summary); len(got) != test.lines {
			t.Errorf("%+v: %q, want %d lines", test.summary, got, test.lines)
		}
		if got := (Limits{}).exceededBy(test.summary); len(got) != 0 {
			t.Errorf("without limits: %q", got)
		}
	}
}
