package gateway

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
)

// asFault returns the typed error in the chain of an error.
func asFault(err error) *fault.Error {
	if err == nil {
		return nil
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.New(fault.Internal, err.Error())
}

// cleanAnswer takes out of an instance's answer what concerns its connection.
func cleanAnswer(answer *fasthttp.Response) {
	for _, name := range forward.HopHeaders() {
		answer.Header.Del(name)
	}
	answer.Header.ResetConnectionClose()
	if !answer.SkipBody {
		answer.Header.SetContentLength(len(answer.Body()))
	}
}

// When a caller is told to come back with a request that did not run.
const (
	// retryAfter lets an instance end what it works on, or keys get their next holder.
	retryAfter = 250 * time.Millisecond
	// retryElsewhere is for a gateway that has no directory yet while controllers answer:
	// it gets one within a tenth or two, and other gateways have it.
	retryElsewhere = 150 * time.Millisecond
	// retryOutage is for one that has reached no controller: most likely all have lost
	// power, and other gateways have no directory either. A controller takes some 150 ms
	// to start, and the directory of 700 instances 200 ms on a link of 2 Mbit/s.
	retryOutage = 400 * time.Millisecond
	// retryCongested lets a caller reach another gateway, whose link has room: soon, since
	// its time runs from its first try.
	retryCongested = 30 * time.Millisecond
	// shortestReturn and longestReturn bound when a caller is told to come back once there is
	// room: an estimate of milliseconds is not worth another refusal, and one of many
	// seconds is worth nothing.
	shortestReturn = 50 * time.Millisecond
	longestReturn  = 2 * time.Second
	// longestReturnSpread bounds by how much later than at the end of a rest callers return.
	longestReturnSpread = 250 * time.Millisecond
)

// retryAfterOf returns when a caller is told to come back after a failure; zero if it had better not.
func (g *Gateway) retryAfterOf(kind fault.Kind) time.Duration {
	switch {
	case kind == fault.RequestQuarantined:
		return 0
	case kind == fault.LinkCongested:
		return retryCongested
	case kind != fault.StaleRouter:
		return retryAfter
	case g.subscription.reached.Load():
		return retryElsewhere
	default:
		return retryOutage
	}
}

// statusOf returns the status of a refusal, and whether it proves that the request did not
// run: a caller may take 429 and 503 for that proof.
func statusOf(failure *fault.Error) (status int, notRun bool) {
	row := fault.AnswerFor(failure.Kind)
	if row.Outcome != fault.NotRun {
		if failure.Kind == fault.DeadlineExceeded {
			return fasthttp.StatusGatewayTimeout, false
		}
		return fasthttp.StatusBadGateway, false
	}
	if row.Status >= fasthttp.StatusBadRequest && row.Status < fasthttp.StatusInternalServerError && failure.Kind != fault.RateLimited {
		return row.Status, true
	}
	return fasthttp.StatusServiceUnavailable, true
}

// refuse answers in the gateway's own name.
func (g *Gateway) refuse(current *request, failure *fault.Error) {
	outbound := current.answer
	outbound.Reset()
	wait := g.retryAfterOf(failure.Kind)
	switch failure.Kind {
	case fault.QuotaExceeded, fault.ServerLimited:
		wait = current.retryIn
	case fault.ServerResting:
		// Spread, so that not all who were rejected return at the same moment.
		wait = current.retryIn + time.Duration(rand.Float64()*float64(longestReturnSpread))
	default:
	}
	if current.rejectedWithRoom {
		// The next try may succeed at once, and the caller's time runs from its first one.
		wait = shortestReturn
	}
	if current.noRoom {
		wait = min(max(current.retryIn, shortestReturn), longestReturn)
	}
	status, notRun := statusOf(failure)
	outbound.SetStatusCode(status)
	outbound.Header.SetContentType(callerapi.ContentTypeRefusal)
	if status == fasthttp.StatusUnauthorized {
		outbound.Header.Set(fasthttp.HeaderWWWAuthenticate, bearerScheme)
	}
	mayReturn := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if notRun && mayReturn && wait > 0 {
		outbound.Header.Set(callerapi.HeaderRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
	if current.id != "" {
		outbound.Header.Set(g.dialect.RequestID, current.id)
	}
	body, err := json.Marshal(callerapi.RefusalBody{
		Kind: failure.Kind, Outcome: fault.AnswerFor(failure.Kind).Outcome, Detail: failure.Detail,
		RetryAfterMs: wait.Milliseconds(), RequestID: current.id,
	})
	if err == nil {
		outbound.SetBodyRaw(body)
	}
}
