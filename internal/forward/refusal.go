package forward

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// refusalKinds maps each refusal reason of a back end to its fault kind.
var refusalKinds = map[backendapi.Refusal]fault.Kind{
	backendapi.RefusalWrongEpoch:   fault.WrongEpoch,
	backendapi.RefusalLeaseExpired: fault.LeaseExpired,
	backendapi.RefusalDraining:     fault.Draining,
	backendapi.RefusalShedding:     fault.Shedding,
	backendapi.RefusalQueueFull:    fault.QueueFull,
	backendapi.RefusalDeadline:     fault.DeadlineBeforeStart,
	backendapi.RefusalCancelled:    fault.CancelledBeforeStart,
}

// RefusalOf returns the back end's refusal, or nil if the answer is not a refusal. A reason
// that is not part of the back end interface proves nothing, so it yields a kind whose
// outcome is unknown.
func RefusalOf(response *fasthttp.Response) *fault.Error {
	value := string(response.Header.Peek(backendapi.HeaderRefusal))
	if value == "" {
		return nil
	}
	kind, found := refusalKinds[backendapi.Refusal(value)]
	if !found {
		return fault.Newf(fault.AnswerMismatched, "refusal %.64q is not in the back end interface", value)
	}
	return fault.Newf(kind, "the back end refused: %s", value)
}

// Load is the load that a back end reports in a header of its answers.
type Load struct {
	Running int
	Slots   int
	Queued  int
}

// LoadOf returns the load report of an answer. It reports false if there is no valid one.
func LoadOf(response *fasthttp.Response) (Load, bool) {
	fields := strings.Split(string(response.Header.Peek(backendapi.HeaderLoad)), "/")
	const expected = 3
	if len(fields) != expected {
		return Load{}, false
	}
	var numbers [expected]int
	for i, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{Running: numbers[0], Slots: numbers[1], Queued: numbers[2]}, numbers[1] > 0
}
