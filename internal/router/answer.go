package router

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
)

// writeAnswer forwards a back end's complete answer to the caller.
func writeAnswer(outbound *fasthttp.Response, exchange *Exchange) {
	answer := exchange.Answer
	answer.Header.CopyTo(&outbound.Header)
	for _, name := range forward.HopHeaders() {
		outbound.Header.Del(name)
	}
	for _, name := range []string{backendapi.HeaderLoad, backendapi.HeaderRequestID, callerapi.HeaderError} {
		outbound.Header.Del(name)
	}
	outbound.SkipBody = answer.SkipBody
	if !answer.SkipBody {
		outbound.SwapBody(answer.SwapBody(nil))
	}
	outbound.Header.Set(callerapi.HeaderOutcome, string(fault.Completed))
	setCallerID(outbound, exchange.CallerID)
}

func setCallerID(outbound *fasthttp.Response, callerID string) {
	if callerID != "" {
		outbound.Header.Set(callerapi.HeaderRequestID, callerID)
	}
}

// writeRefusal writes the error answer that package fault defines for the failure's kind.
func writeRefusal(outbound *fasthttp.Response, callerID string, failure *fault.Error) {
	row := fault.AnswerFor(failure.Kind)
	body, err := json.Marshal(callerapi.RefusalBody{
		Kind: failure.Kind, Outcome: row.Outcome, Detail: failure.Detail,
		RetryAfterMs: row.RetryAfter.Milliseconds(), RequestID: callerID,
	})
	if err != nil {
		body = []byte("{}")
	}
	outbound.Reset()
	outbound.SetStatusCode(row.Status)
	outbound.Header.SetContentType(callerapi.ContentTypeRefusal)
	outbound.Header.Set(callerapi.HeaderOutcome, string(row.Outcome))
	outbound.Header.Set(callerapi.HeaderError, string(failure.Kind))
	if row.RetryAfter > 0 {
		outbound.Header.Set(callerapi.HeaderRetryAfter, strconv.FormatInt(wholeSeconds(row.RetryAfter), 10))
	}
	setCallerID(outbound, callerID)
	outbound.SetBodyRaw(body)
}

func wholeSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}
