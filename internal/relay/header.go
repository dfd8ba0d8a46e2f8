package relay

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// Headers between two gateways.
const (
	headerService  = "Thorntiller-Relay-Service"
	headerInstance = "Thorntiller-Relay-Instance"
	headerKey      = "Thorntiller-Relay-Key"
	headerResult   = "Thorntiller-Relay-Result"
	headerDetail   = "Thorntiller-Relay-Detail"
)

// Target is the instance to which a relayed request is to be sent.
type Target struct {
	Service  string
	Instance directory.InstanceID
	// Keyed is true for a request that only the holder of Key may run.
	Keyed bool
	Key   directory.Key
}

// SetTarget writes the target to the header of a request, in place of what a caller sent.
func SetTarget(header *fasthttp.RequestHeader, target Target) {
	header.Set(headerService, target.Service)
	header.Set(headerInstance, string(target.Instance))
	header.Del(headerKey)
	if target.Keyed {
		header.Set(headerKey, strconv.Itoa(int(target.Key)))
	}
}

// TakeTarget reads the target from the header of a request and removes it there. An error names the field.
func TakeTarget(header *fasthttp.RequestHeader) (Target, *fault.Error) {
	target := Target{Service: string(header.Peek(headerService)), Instance: directory.InstanceID(header.Peek(headerInstance))}
	key := string(header.Peek(headerKey))
	for _, name := range []string{headerService, headerInstance, headerKey} {
		header.Del(name)
	}
	if target.Service == "" || target.Instance == "" {
		return Target{}, fault.Newf(fault.InvalidRequest, "headers %s and %s are %.64q and %.64q: give both", headerService, headerInstance, target.Service, target.Instance)
	}
	if key == "" {
		return target, nil
	}
	number, err := strconv.Atoi(key)
	if err != nil || number < 0 || directory.Key(number) > directory.MaxKey {
		return Target{}, fault.Newf(fault.InvalidRequest, "header %s is %.32q: give a key from 0 to %d", headerKey, key, directory.MaxKey)
	}
	target.Keyed, target.Key = true, directory.Key(number)
	return target, nil
}

// Result is what a relay tells of a request.
type Result string

const (
	// Answered means that the answer is that of the instance.
	Answered Result = "answered"
	// NotSent means that nothing was sent to the instance, and the relay would send other requests.
	NotSent Result = "not_sent"
	// InstanceUnreached means that nothing was sent, since the relay cannot reach the instance.
	InstanceUnreached Result = "instance_unreachable"
	// CutOff means that nothing was sent, since the relay can reach no instance.
	CutOff Result = "cut_off"
	// Withdrawn means that nothing was sent, since the instance may not get the request any more.
	Withdrawn Result = "withdrawn"
	// Lost means that the request was sent, and the connection to the instance broke.
	Lost Result = "connection_lost"
	// Truncated means that the request was sent, and the answer ended early.
	Truncated Result = "answer_truncated"
	// Dropped means that the request was sent, and the relay had no memory left for the answer.
	Dropped Result = "answer_dropped"
	// Mismatched means that the request was sent, and the answer belongs to another one.
	Mismatched Result = "answer_mismatched"
	// TimedOut means that the request was sent, and its deadline passed.
	TimedOut Result = "deadline_exceeded"
)

// sentFailures are the failures after which the instance may have run the request.
var sentFailures = map[Result]fault.Kind{
	Lost: fault.ConnectionLost, Truncated: fault.AnswerTruncated, Dropped: fault.AnswerDropped, Mismatched: fault.AnswerMismatched, TimedOut: fault.DeadlineExceeded,
}

// ResultOf returns the result of an attempt that a relay made. A failure that does not prove that nothing was sent
// counts as one after sending.
func ResultOf(failure *fault.Error) Result {
	if failure == nil {
		return Answered
	}
	for result, kind := range sentFailures {
		if failure.Kind == kind {
			return result
		}
	}
	switch {
	case failure.Kind == fault.ConnectFailed:
		return InstanceUnreached
	case failure.Kind == fault.NoOwner || failure.Kind == fault.DeadlineBeforeStart:
		return Withdrawn
	case fault.AnswerFor(failure.Kind).Outcome == fault.NotRun:
		return NotSent
	default:
		return Lost
	}
}

// SetResult writes the result to the header of an answer.
func SetResult(header *fasthttp.ResponseHeader, result Result, detail string) {
	header.Set(headerResult, string(result))
	if detail != "" {
		header.Set(headerDetail, detail)
	}
}

// TakeResult reads the result from the header of an answer and removes it there. The failure is nil for the
// answer of an instance. An answer without a known result may come from anywhere, so that its request may have
// run.
func TakeResult(header *fasthttp.ResponseHeader) (Result, *fault.Error) {
	result, detail := Result(header.Peek(headerResult)), string(header.Peek(headerDetail))
	header.Del(headerResult)
	header.Del(headerDetail)
	if kind, sent := sentFailures[result]; sent {
		return result, fault.New(kind, detail)
	}
	switch result {
	case Answered:
		return result, nil
	case NotSent, InstanceUnreached, CutOff:
		return result, fault.New(fault.ConnectFailed, detail)
	case Withdrawn:
		return result, fault.New(fault.NoOwner, detail)
	default:
		return result, fault.Newf(fault.AnswerMismatched, "header %s is %.32q, which is no result of a relay", headerResult, string(result))
	}
}

// Label returns the name of the result in metrics: "none" for an attempt whose relay told nothing that is known.
func (r Result) Label() string {
	switch r {
	case Answered, NotSent, InstanceUnreached, CutOff, Withdrawn, Lost, Truncated, Mismatched, TimedOut:
		return string(r)
	default:
		return "none"
	}
}

// Outcome returns what a result says of the relay and of the instance.
func (r Result) Outcome() Outcome {
	switch r {
	case CutOff:
		return RelayUnusable
	case InstanceUnreached:
		return InstanceUnreachable
	case NotSent, Withdrawn:
		return Declined
	default:
		return Worked
	}
}
