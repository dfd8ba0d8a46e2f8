package caller

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const (
	dialTimeout = 2 * time.Second
	// answerSlack is what a caller waits beyond the timeout that it told the
	// router, so that the router's own refusal arrives.
	answerSlack = time.Second
	// maxAnswer bounds the body of an answer.
	maxAnswer = 4 << 20
	maxDetail = 256
)

// errDial marks failures before anything was sent.
var errDial = errors.New("dial")

// newClient returns a client that never sends a request twice by itself.
func newClient(concurrency int) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{}
	return &fasthttp.Client{
		MaxConnsPerHost:           concurrency,
		MaxIdleConnDuration:       callerapi.KeepAlive,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxAnswer,
		Dial: func(address string) (net.Conn, error) {
			connection, err := dialer.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, errors.Join(errDial, err)
			}
			return answerhead.Guard(connection), nil
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// result is the end of one attempt.
type result struct {
	line       record.Attempt
	retryAfter time.Duration
}

// send makes one attempt through one router and records it.
func (c *Caller) send(sending *request, router string) (result, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return result{}, eris.Wrap(err, "draw attempt identifier")
	}
	line := record.Attempt{
		Kind:           record.AttemptSent,
		Caller:         c.config.Name,
		Attempt:        id.String(),
		Request:        sending.id,
		IdempotencyKey: sending.idempotencyKey,
		Service:        sending.load.Service,
		Key:            sending.key,
		Repeatable:     sending.repeatable(),
		Router:         router,
		SentNs:         int64(clock.BootTime()),
	}
	if err := c.records.Write(line); err != nil {
		return result{}, err
	}
	ended := c.exchange(sending, line)
	return ended, c.records.Write(ended.line)
}

func (c *Caller) exchange(sending *request, line record.Attempt) result {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fill(request, sending, line)
	err := c.client.DoTimeout(request, response, sending.load.Timeout+answerSlack)
	line.Kind = record.AttemptDone
	line.ReceivedNs = int64(clock.BootTime())
	if err != nil {
		return result{line: withError(line, err)}
	}
	return read(response, sending, line)
}

func fill(request *fasthttp.Request, sending *request, line record.Attempt) {
	request.SetRequestURI("http://" + line.Router + "/" + sending.load.Service + sending.path)
	request.Header.SetMethod(sending.method)
	request.Header.Set(callerapi.HeaderRequestID, line.Attempt)
	request.Header.Set(record.HeaderAttempt, line.Attempt)
	request.Header.Set(callerapi.HeaderTimeout, strconv.FormatInt(sending.load.Timeout.Milliseconds(), 10))
	request.Header.Set(callerapi.HeaderRepeatable, strconv.FormatBool(line.Repeatable))
	if sending.key != "" {
		request.Header.Set(callerapi.HeaderKey, sending.key)
	}
	if sending.idempotencyKey != "" {
		request.Header.Set(callerapi.HeaderIdempotencyKey, sending.idempotencyKey)
	}
	if sending.payload != "" {
		request.SetBodyString(sending.payload)
	}
}

// withError tells what a failed exchange lets the caller conclude.
func withError(line record.Attempt, err error) record.Attempt {
	var netError net.Error
	line.Outcome = fault.Unknown
	line.Transport = record.TransportLost
	line.Detail = shorten(err.Error())
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		line.Outcome = fault.NotRun
		line.Transport = record.TransportRefused
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netError) && netError.Timeout():
		line.Transport = record.TransportTimeout
	}
	return line
}

// read judges a whole HTTP answer.
func read(response *fasthttp.Response, sending *request, line record.Attempt) result {
	line.Transport = record.TransportAnswered
	line.Status = response.StatusCode()
	line.Outcome = fault.Outcome(response.Header.Peek(callerapi.HeaderOutcome))
	line.ErrorKind = fault.Kind(response.Header.Peek(callerapi.HeaderError))
	switch line.Outcome {
	case fault.Completed:
		return result{line: checkBody(response, sending, checkEcho(response, line))}
	case fault.NotRun, fault.Unknown:
		return readRefusal(response, checkEcho(response, line))
	default:
		line.Detail = shorten("no outcome header: " + string(response.Body()))
		line.Outcome = fault.Unknown
		return result{line: line}
	}
}

// checkEcho marks an answer of the router that names another attempt, or none.
func checkEcho(response *fasthttp.Response, line record.Attempt) record.Attempt {
	if echoed := string(response.Header.Peek(callerapi.HeaderRequestID)); echoed != line.Attempt {
		line.Body = record.BodyForeign
		line.Detail = "answer names request " + shorten(echoed)
	}
	return line
}

func checkBody(response *fasthttp.Response, sending *request, line record.Attempt) record.Attempt {
	if line.Body != record.BodyUnchecked || line.Status != fasthttp.StatusOK {
		return line
	}
	body, err := backend.DecodeAnswerBody(response.Body())
	if err != nil {
		line.Body = record.BodyDamaged
		line.Detail = shorten(err.Error())
		return line
	}
	line.Body = record.BodyOwn
	if !isOwn(body, sending) {
		line.Body = record.BodyForeign
		line.Detail = shorten(body.Method + " " + body.Path + " for key " + body.Key)
	}
	return line
}

func isOwn(body backend.AnswerBody, sending *request) bool {
	return body.Method == sending.method &&
		body.Path == sending.path &&
		body.Key == sending.key &&
		body.IdempotencyKey == sending.idempotencyKey &&
		body.Payload == sending.payload
}

// readRefusal reads the wait before a resend from the body, else the header.
func readRefusal(response *fasthttp.Response, line record.Attempt) result {
	var body callerapi.RefusalBody
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		line.Detail = shorten("refusal body: " + err.Error())
	} else if line.Detail == "" {
		line.Detail = shorten(body.Detail)
	}
	wait := time.Duration(body.RetryAfterMs) * time.Millisecond
	if seconds, err := strconv.Atoi(string(response.Header.Peek(callerapi.HeaderRetryAfter))); err == nil {
		advised := time.Duration(seconds) * time.Second
		line.RetryAfterMs = advised.Milliseconds()
		if wait <= 0 {
			wait = advised
		}
	}
	return result{line: line, retryAfter: max(wait, 0)}
}

func shorten(text string) string {
	return text[:min(len(text), maxDetail)]
}
