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

	"github.com/thorntiller/thorntiller/internal/fault"
)

// dialTimeout bounds the making of one connection.
const dialTimeout = 1 * time.Second

// trial is the order in which one round tries endpoints. A leader hint moves
// its endpoint to the front.
type trial struct {
	waiting []string
	tried   []string
}

func newTrial(endpoints []string) *trial {
	return &trial{waiting: slices.Clone(endpoints)}
}

func (t *trial) next() (string, bool) {
	if len(t.waiting) == 0 {
		return "", false
	}
	endpoint := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.tried = append(t.tried, endpoint)
	return endpoint, true
}

func (t *trial) hint(leader string) {
	if leader == "" || slices.Contains(t.tried, leader) || len(t.tried) >= maxEndpoints {
		return
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(endpoint string) bool { return endpoint == leader })
	t.waiting = slices.Insert(t.waiting, 0, leader)
}

// call is one call of the intent API, whatever endpoint it goes to.
type call struct {
	method string
	path   string
	body   []byte
	// answer receives the decoded body; nil drops it.
	answer any
	// mayRepeat reports whether the call may be sent again after an error.
	mayRepeat func(error) bool
}

// repeat makes rounds over the endpoints, with back-off between them, until
// one gives an answer that another try would not change, or the context ends.
// The error is then the one of all rounds that says most.
func (c *Client) repeat(ctx context.Context, call call) error {
	var failure error
	for attempt := 0; ; attempt++ {
		err := c.round(ctx, call)
		if err == nil || !call.mayRepeat(err) {
			return err
		}
		failure = call.moreTelling(failure, err)
		if wait(ctx, c.backoff(attempt)) != nil {
			return failure
		}
	}
}

// moreTelling picks one of two errors of a call. A write whose outcome was
// unknown once keeps that error, since a later refusal says nothing of the
// earlier attempt. A read keeps its earlier error when it merely ran out of
// time later.
func (c call) moreTelling(earlier, later error) error {
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

// round tries each endpoint once, following leader hints, and returns at the
// first answer that another endpoint would not change. Without one it returns
// the error that says most.
func (c *Client) round(ctx context.Context, call call) error {
	order := newTrial(c.config.Endpoints)
	var failure error
	for {
		endpoint, found := order.next()
		if !found {
			return failure
		}
		leader, err := c.send(ctx, endpoint, call)
		if err == nil || !call.mayRepeat(err) {
			return err
		}
		order.hint(leader)
		failure = call.moreTelling(failure, err)
		if ctx.Err() != nil {
			return failure
		}
	}
}

// send makes one HTTP call. It returns the leader's address if the answer names
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

// mayDiffer reports whether another endpoint, or a later try, may answer
// otherwise.
func mayDiffer(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.QueueFull, fault.Unavailable, fault.ConnectFailed, fault.ConnectionLost, fault.DeadlineExceeded,
		fault.DeadlineBeforeStart, fault.AnswerTruncated:
		return true
	default:
		return false
	}
}

// wasNotTaken reports whether the error proves that the call had no effect.
func wasNotTaken(err error) bool {
	return fault.Is(err, fault.NotLeader) || fault.Is(err, fault.QueueFull) || fault.Is(err, fault.ConnectFailed)
}

func isUnknown(err error) bool {
	return fault.AnswerFor(fault.KindOf(err)).Outcome == fault.Unknown
}

func isDeadline(err error) bool {
	return fault.Is(err, fault.DeadlineExceeded) || fault.Is(err, fault.DeadlineBeforeStart)
}

// dialError marks errors from before the connection was made.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// dial opens a connection. It encrypts it by itself, since each connection is to
// take the newest certificates.
func (c ClientConfig) dial(address string) (net.Conn, error) {
	connection, err := c.connect(address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
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
		return fault.Newf(fault.ConnectFailed, "%s cannot be reached: %v: check the address, and that the controller runs", endpoint, innermost(failed.cause))
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

// innermost returns the cause that the layers of an error wrap, which is the
// part that tells a person something.
func innermost(err error) error {
	for cause := errors.Unwrap(err); cause != nil; cause = errors.Unwrap(err) {
		err = cause
	}
	return err
}

// backoff returns a wait between half of the bound for this attempt and all of
// it, at random so that operators do not repeat in step.
func (c *Client) backoff(attempt int) time.Duration {
	bound := c.config.BackoffBase
	for range attempt {
		bound = min(2*bound, c.config.BackoffMax)
	}
	return bound/2 + rand.N(bound/2+1)
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
