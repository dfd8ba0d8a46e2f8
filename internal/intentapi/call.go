package intentapi

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// dialTimeout is the timeout for establishing one connection.
const dialTimeout = 1 * time.Second

// endpointQueue holds the endpoints of one round in the order in which they are tried. The leader
// named in an answer is moved to the front.
type endpointQueue struct {
	untried []string
	tried   []string
}

func newEndpointQueue(endpoints []string) *endpointQueue {
	return &endpointQueue{untried: slices.Clone(endpoints)}
}

func (q *endpointQueue) next() (string, bool) {
	if len(q.untried) == 0 {
		return "", false
	}
	endpoint := q.untried[0]
	q.untried = q.untried[1:]
	q.tried = append(q.tried, endpoint)
	return endpoint, true
}

func (q *endpointQueue) moveToFront(leader string) {
	if leader == "" || slices.Contains(q.tried, leader) || len(q.tried) >= maxEndpoints {
		return
	}
	q.untried = slices.DeleteFunc(q.untried, func(endpoint string) bool { return endpoint == leader })
	q.untried = slices.Insert(q.untried, 0, leader)
}

// call is one call of the intent API, independent of the endpoint.
type call struct {
	method string
	path   string
	body   []byte
	// answer receives the decoded body; if nil, the body is ignored.
	answer any
	// isRetryable reports whether the call may be resent after an error.
	isRetryable func(error) bool
}

// callWithRetry tries all endpoints in rounds, with back-off between the rounds, until the call
// succeeds, fails with an error that is not retryable, or too little time is left. In the last case
// it returns the error that preferredError selects from all rounds.
func (c *Client) callWithRetry(ctx context.Context, call call) error {
	var failure error
	for attempt := 0; ; attempt++ {
		err := c.tryEndpoints(ctx, call)
		if err == nil || !call.isRetryable(err) {
			return err
		}
		failure = call.preferredError(failure, err)
		if sleep(ctx, c.backoff(attempt)) != nil || !timeForAnswer(ctx) {
			return failure
		}
	}
}

// minAnswerTime is the time that an answer may take under load. A further attempt with less time left would most
// likely end with an unknown outcome, which says less than the failure that is known.
const minAnswerTime = 150 * time.Millisecond

// timeForAnswer reports whether a further attempt has time for its answer.
func timeForAnswer(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return !limited || time.Until(deadline) >= minAnswerTime
}

// preferredError selects which of two errors of a call to return. For a write, an error with
// an unknown outcome is kept, since a later refusal says nothing about the earlier
// attempt. For a read, the earlier error is kept if the later one is only a timeout.
func (c call) preferredError(earlier, later error) error {
	if earlier == nil {
		return later
	}
	if c.method == fasthttp.MethodPost && isUnknown(earlier) {
		return earlier
	}
	if c.method == fasthttp.MethodGet && isDeadline(later) {
		return earlier
	}
	return later
}

// tryEndpoints tries each endpoint once, following leader hints, until the call succeeds, fails with an error that is
// not retryable, or too little time is left. If all endpoints fail, it returns the error that preferredError selects.
func (c *Client) tryEndpoints(ctx context.Context, call call) error {
	queue := newEndpointQueue(c.config.Endpoints)
	var failure error
	for {
		endpoint, found := queue.next()
		if !found {
			return failure
		}
		leader, err := c.send(ctx, endpoint, call)
		if err == nil || !call.isRetryable(err) {
			return err
		}
		queue.moveToFront(leader)
		failure = call.preferredError(failure, err)
		// A read does no harm without time for its answer, and the next endpoint may be faster.
		if ctx.Err() != nil || call.method == fasthttp.MethodPost && !timeForAnswer(ctx) {
			return failure
		}
	}
}

// send makes one HTTP call. It returns the leader's address if the answer contains
// it.
func (c *Client) send(ctx context.Context, endpoint string, call call) (string, error) {
	if ctx.Err() != nil {
		return "", fault.Newf(fault.DeadlineBeforeStart, "%s: the call was given up before it was sent", endpoint)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + endpoint + call.path)
	if call.body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(call.body)
	}
	if err := c.transport.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return "", transportFault(endpoint, err)
	}
	return decodeAnswer(endpoint, response, call.answer)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.config.CallTimeout)
	if limit, limited := ctx.Deadline(); limited && limit.Before(deadline) {
		return limit
	}
	return deadline
}

func decodeAnswer(endpoint string, response *fasthttp.Response, answer any) (string, error) {
	status := response.StatusCode()
	if status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices {
		var failure ErrorBody
		if err := json.Unmarshal(response.Body(), &failure); err != nil || failure.Kind == "" {
			return "", fault.Newf(fault.Unavailable, "%s answered status %d without an error body; is it the API address of a controller?", endpoint, status)
		}
		return failure.Leader, fault.New(failure.Kind, failure.Detail)
	}
	if answer == nil {
		return "", nil
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return "", fault.Newf(fault.AnswerTruncated, "%s: the answer cannot be read: %v", endpoint, err)
	}
	return "", nil
}

// isTransient reports whether the call may succeed at another endpoint or at a later
// attempt.
func isTransient(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.QueueFull, fault.Unavailable, fault.ConnectFailed, fault.ConnectionLost, fault.DeadlineExceeded,
		fault.DeadlineBeforeStart, fault.AnswerTruncated:
		return true
	default:
		return false
	}
}

// hadNoEffect reports whether the error proves that the call had no effect.
func hadNoEffect(err error) bool {
	return fault.Is(err, fault.NotLeader) || fault.Is(err, fault.QueueFull) || fault.Is(err, fault.ConnectFailed)
}

func isUnknown(err error) bool {
	return fault.AnswerFor(fault.KindOf(err)).Outcome == fault.Unknown
}

func isDeadline(err error) bool {
	return fault.Is(err, fault.DeadlineExceeded) || fault.Is(err, fault.DeadlineBeforeStart)
}

// dialError marks errors that occurred before the connection was established.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// dial opens a connection. It sets up TLS itself, instead of the HTTP client, so that
// each connection uses the newest certificates.
func (c ClientConfig) dial(address string) (net.Conn, error) {
	connection, err := c.connect(address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return answerhead.Guard(connection), nil
}

func (c ClientConfig) connect(address string) (net.Conn, error) {
	if c.Certificates == nil {
		return fasthttp.DialTimeout(address, dialTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return c.Certificates.Dial(ctx, address)
}

func transportFault(endpoint string, err error) error {
	var failed *dialError
	switch {
	case errors.As(err, &failed):
		return fault.Newf(fault.ConnectFailed, "%s cannot be reached: %v: check the address, and that the controller runs", endpoint, rootCause(failed.cause))
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return fault.Newf(fault.ConnectFailed, "%s: all connections are in use", endpoint)
	case errors.Is(err, fasthttp.ErrTimeout):
		return fault.Newf(fault.DeadlineExceeded, "%s: no answer in time", endpoint)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fault.Newf(fault.Internal, "%s: the answer is larger than the client takes", endpoint)
	case errors.Is(err, fasthttp.ErrConnectionClosed):
		return fault.Newf(fault.ConnectionLost, "%s closed the connection without an answer: does one side use certificates and the other not?", endpoint)
	default:
		return fault.Newf(fault.ConnectionLost, "%s: %v", endpoint, err)
	}
}

// rootCause returns the innermost wrapped error, which is the part that is useful to a
// person.
func rootCause(err error) error {
	for cause := errors.Unwrap(err); cause != nil; cause = errors.Unwrap(err) {
		err = cause
	}
	return err
}

// backoff returns a random delay between half of the bound for this attempt and the
// full bound, so that operators' clients do not retry in lockstep.
func (c *Client) backoff(attempt int) time.Duration {
	bound := c.config.BackoffBase
	for range attempt {
		bound = min(2*bound, c.config.BackoffMax)
	}
	return bound/2 + rand.N(bound/2+1)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
