package backpressure

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Signal is the load signal in one answer of an instance.
type Signal struct {
	// Limit is the rate that the instance accepts from all gateways together, in requests per
	// second; zero if the answer has none.
	Limit float64
	// LimitUnreadable is true if the answer has a limit that cannot be parsed. The previous limit
	// then stays in force.
	LimitUnreadable bool
	// Leaving is true if the instance announces that it is leaving.
	Leaving bool
	// Rest is how long this gateway must not send requests to the instance; zero for no rest.
	Rest time.Duration
}

const (
	// minLimit replaces lower limits, in requests per second. Even for a limit of zero some
	// requests are sent, to learn from an answer that the limit has ended.
	minLimit = 0.25
	// unlimitedFrom is the limit from which an instance counts as unlimited, in requests per
	// second.
	unlimitedFrom = 1e6
	// maxRest bounds a rest.
	maxRest = 10 * time.Minute
	// unreadableRest replaces a rest that cannot be parsed.
	unreadableRest = time.Second
)

// ValueError reports a value from an instance that cannot be parsed.
type ValueError struct {
	// Value is the received value, truncated to 32 bytes.
	Value string
	// Want describes the expected value.
	Want string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q: want %s", e.Value, e.Want) }

func newValueError(value, want string) *ValueError {
	const maxShown = 32
	return &ValueError{Value: value[:min(len(value), maxShown)], Want: want}
}

// ParseLimit parses the limits in an answer, in requests per second, and returns the lowest. A
// limit too high to matter is returned as zero. The error describes the first value that cannot be
// parsed; limit and readable result from the other values.
func ParseLimit(values []string) (limit float64, readable bool, err error) {
	limit = math.Inf(1)
	for _, value := range values {
		number, parseErr := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if parseErr != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
			if err == nil {
				err = newValueError(value, "a decimal number of requests a second, zero or more")
			}
			continue
		}
		readable = true
		limit = min(limit, max(number, minLimit))
	}
	if !readable || limit >= unlimitedFrom {
		limit = 0
	}
	return limit, readable, err
}

// ParseRest parses a rest in seconds. For a value that cannot be parsed it returns an error and a
// short rest.
func ParseRest(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return unreadableRest, newValueError(value, "a number of seconds, zero or more")
	}
	if seconds >= maxRest.Seconds() {
		return maxRest, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
