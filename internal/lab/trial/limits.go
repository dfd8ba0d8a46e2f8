package trial

import (
	"fmt"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// Limits bound the measures of a trial. A zero field bounds nothing.
type Limits struct {
	// MaxUnavailable bounds the longest time without success of any service.
	MaxUnavailable time.Duration
	// MinAnswered is the least share of requests that end with their answer.
	MinAnswered float64
}

// exceededBy returns one line for each limit that the run did not keep.
func (l Limits) exceededBy(summary record.Summary) []string {
	var lines []string
	limit := float64(l.MaxUnavailable) / float64(time.Millisecond)
	if limit > 0 && summary.MaxUnavailableMs > limit {
		lines = append(lines, fmt.Sprintf("max_unavailable_ms is %.0f, must be at most %.0f", summary.MaxUnavailableMs, limit))
	}
	answered := float64(summary.Answered) / float64(max(summary.Requests, 1))
	if answered < l.MinAnswered {
		lines = append(lines, fmt.Sprintf("%.4f of the requests were answered, must be at least %.4f", answered, l.MinAnswered))
	}
	return lines
}
