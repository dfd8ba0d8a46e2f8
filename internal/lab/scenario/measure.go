package scenario

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// slowAfter is the time above which an answer counts as held up by a fault.
const slowAfter = 250 * time.Millisecond

// check measures something in the callers' records after the run.
type check func(attempts []record.Attempt) Bound

// readAttempts returns the ended attempts of every caller.
func readAttempts(files []string) ([]record.Attempt, error) {
	var ended []record.Attempt
	for _, file := range files {
		lines, err := record.ReadFile[record.Attempt](file)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if line.Kind == record.AttemptDone {
				ended = append(ended, line)
			}
		}
	}
	return ended, nil
}

// span is a time on the machine's monotonic clock.
type span struct {
	from time.Duration
	to   time.Duration
}

func (s span) contains(atNs int64) bool {
	return atNs >= s.from.Nanoseconds() && atNs <= s.to.Nanoseconds()
}

// recovery is the time from the start of a span until requests are served as
// before. An attempt that failed shows that its key was not available when it
// was sent: one that may not be repeated waits out a lost server to its timeout,
// whoever owns the key by then. An attempt that was held up and then answered
// shows it for slowAfter more, at which time it still waited.
func recovery(attempts []record.Attempt, within span, selects func(record.Attempt) bool) time.Duration {
	last := within.from
	for _, done := range attempts {
		if !within.contains(done.SentNs) || !selects(done) || !isImpaired(done) {
			continue
		}
		shown := time.Duration(done.SentNs)
		if done.Outcome == fault.Completed {
			shown += slowAfter
		}
		last = max(last, shown)
	}
	return last - within.from
}

// isImpaired leaves out answers that only tell how an earlier attempt ended, and
// connections that a router refused since it has ended: callers take another.
func isImpaired(done record.Attempt) bool {
	if done.Transport == record.TransportRefused {
		return false
	}
	if done.ErrorKind == fault.OutcomeUnknown || done.ErrorKind == fault.DuplicateInProgress {
		return false
	}
	return done.Outcome != fault.Completed || time.Duration(done.ReceivedNs-done.SentNs) > slowAfter
}

// longestOutage returns the longest time without success of any service, by the
// attempts that were sent within a span.
func longestOutage(attempts []record.Attempt, within span) time.Duration {
	sent := slices.DeleteFunc(slices.Clone(attempts), func(done record.Attempt) bool { return !within.contains(done.SentNs) })
	slices.SortFunc(sent, func(a, b record.Attempt) int { return cmp.Compare(a.ReceivedNs, b.ReceivedNs) })
	outages := make(map[string]*record.Outage)
	for _, done := range sent {
		if outages[done.Service] == nil {
			outages[done.Service] = &record.Outage{}
		}
		outages[done.Service].Add(done)
	}
	var longest time.Duration
	for _, outage := range outages {
		outage.End(within.to.Nanoseconds())
		longest = max(longest, time.Duration(outage.LongestNs()))
	}
	return longest
}

// completed counts the attempts that were sent within a span and answered.
func completed(attempts []record.Attempt, within span, selects func(record.Attempt) bool) int {
	count := 0
	for _, done := range attempts {
		if within.contains(done.SentNs) && done.Outcome == fault.Completed && selects(done) {
			count++
		}
	}
	return count
}

// goodput is the rate of whole answers per second that came within a span.
func goodput(attempts []record.Attempt, within span) float64 {
	answers := 0
	for _, done := range attempts {
		if within.contains(done.ReceivedNs) && done.Outcome == fault.Completed {
			answers++
		}
	}
	return float64(answers) / (within.to - within.from).Seconds()
}

// latencyAt returns the latency below which a share of the answers to attempts
// of a span stays.
func latencyAt(attempts []record.Attempt, within span, share float64) time.Duration {
	var latencies []time.Duration
	for _, done := range attempts {
		if within.contains(done.SentNs) && done.Outcome == fault.Completed {
			latencies = append(latencies, time.Duration(done.ReceivedNs-done.SentNs))
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(int(share*float64(len(latencies))), len(latencies)-1)]
}
