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

// asFault returns the fault.Error in an error's chain; any other error becomes fault.Internal.
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

// cleanAnswer removes the hop-by-hop headers from an instance's answer.
func cleanAnswer(answer *fasthttp.Response) {
	for _, name := range forward.HopHeaders() {
		answer.Header.Del(name)
	}
	answer.Header.ResetConnectionClose()
	if !answer.SkipBody {
		answer.Header.SetContentLength(len(answer.Body()))
	}
}

// Delays after which a caller is told to retry a request that did not run.
const (
	// retryAfter lets an instance finish its current work, or keys get their next holder.
	retryAfter = 250 * time.Millisecond
	// retryAfterNoDirectory is for a gateway that has no directory yet while controllers are reachable: it
	// gets one within 100 to 200 ms, and other gateways have one.
	retryAfterNoDirectory = 150 * time.Millisecond
	// retryAfterOutage is for a gateway that has reached no controller: most likely all of them have lost
	// power, and other gateways have no directory either. A controller takes about 150 ms to start, and the
	// directory of 700 instances takes 200 ms on a 2 Mbit/s link.
	retryAfterOutage = 400 * time.Millisecond
	// retryAfterCongested lets a caller reach another gateway whose link has capacity. It is short, since the
	// caller's deadline counts from its first attempt.
	retryAfterCongested = 30 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay that follows from the expected time until there is
	// capacity: an estimate of a few milliseconds is not worth another rejection, and one of many seconds is
	// not reliable.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRetryJitter bounds the random delay that is added to the end of a rest.
	maxRetryJitter = 250 * time.Millisecond
)

// retryAfterOf returns the delay after which a caller is told to retry after a failure; zero if it should not
// retry.
func (g *Gateway) retryAfterOf(kind fault.Kind) time.Duration {
	switch {
	case kind == fault.RequestQuarantined:
		return 0
	case kind == fault.LinkCongested:
		return retryAfterCongested
	case kind != fault.StaleRouter:
		return retryAfter
	case g.subscription.controllerReached.Load():
		return retryAfterNoDirectory
	default:
		return retryAfterOutage
	}
}

// statusOf returns the status of a refusal, and whether it proves that the request did not run: a caller may
// take 429 and 503 as that proof.
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

// refuse answers with an error of the gateway itself.
func (g *Gateway) refuse(current *request, failure *fault.Error) {
	outbound := current.answer
	outbound.Reset()
	wait := g.retryAfterOf(failure.Kind)
	switch failure.Kind {
	case fault.QuotaExceeded, fault.ServerLimited:
		wait = current.retryIn
	case fault.ServerResting:
		// Spread, so that the rejected callers do not all retry at the same moment.
		wait = current.retryIn + time.Duration(rand.Float64()*float64(maxRetryJitter))
	default:
	}
	if current.rejectedWithCapacity {
		// The next attempt may succeed at once, and the caller's deadline counts from its first one.
		wait = minRetryAfter
	}
	if current.noCapacity {
		wait = min(max(current.retryIn, minRetryAfter), maxRetryAfter)
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
