package controller

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/intake"
)

// Buffer sizes of the connections to servers. Each server has its own connection, so small buffers limit the
// memory of the leader.
const (
	leaseReadBuffer  = 4096
	leaseWriteBuffer = 2048
)

// leaseSender sends lease messages to servers over HTTP. The coordinator has at most one message in flight per
// server, which bounds the number of goroutines.
type leaseSender struct {
	settings config.Lease
	client   *fasthttp.Client
	results  chan<- leaseResult
	ctx      context.Context
	group    conc.WaitGroup
}

func newLeaseSender(ctx context.Context, settings config.Lease, results chan<- leaseResult) *leaseSender {
	return &leaseSender{
		settings: settings,
		results:  results,
		ctx:      ctx,
		client: &fasthttp.Client{
			MaxConnsPerHost:          2,
			MaxIdleConnDuration:      10 * settings.Duration,
			ReadTimeout:              settings.RequestTimeout,
			WriteTimeout:             settings.RequestTimeout,
			ReadBufferSize:           leaseReadBuffer,
			WriteBufferSize:          leaseWriteBuffer,
			MaxResponseBodySize:      settings.MaxAnswerBytes,
			NoDefaultUserAgentHeader: true,
			// No retries: a newer message replaces a lost one.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			DialTimeout:               dialLease,
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

// dialLease connects to a server for lease messages.
func dialLease(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return answerhead.Guard(&leaseConnection{connection}), nil
}

// leaseConnection is a connection for lease messages. A message is not written while bytes of an earlier answer are
// unread, which would be taken for its own; the client closes the connection then.
type leaseConnection struct{ net.Conn }

var errUnreadAnswer = eris.New("bytes of an answer to an earlier message are unread")

// Write implements net.Conn.
func (c *leaseConnection) Write(data []byte) (int, error) {
	if system, ok := c.Conn.(syscall.Conn); ok && intake.HasUnread(system) {
		return 0, errUnreadAnswer
	}
	return c.Conn.Write(data)
}

// send sends one message in the background and delivers its outcome on the results channel.
func (l *leaseSender) send(message coordinator.Send) {
	l.group.Go(func() {
		result := leaseResult{server: message.Server, sequence: message.Request.Fence.Sequence}
		if answer, err := l.exchange(message); err == nil {
			result.answer = answer
		}
		select {
		case l.results <- result:
		case <-l.ctx.Done():
		}
	})
}

func (l *leaseSender) exchange(message coordinator.Send) (*backendapi.LeaseAnswer, error) {
	body, err := json.Marshal(message.Request)
	if err != nil {
		return nil, err
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + message.Address + backendapi.PathLease)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := l.client.DoTimeout(request, response, l.settings.RequestTimeout); err != nil {
		return nil, err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, eris.Errorf("the lease message was answered with status %d", status)
	}
	answer := &backendapi.LeaseAnswer{}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return nil, err
	}
	// A probe, which names no incarnation, is answered without taking its fence.
	isProbe := message.Request.Incarnation == ""
	if answer.Accepted && !isProbe && answer.Fence != message.Request.Fence {
		return nil, eris.Errorf("the answer accepts the fence %+v, not that of this message, %+v", answer.Fence, message.Request.Fence)
	}
	return answer, nil
}

func (l *leaseSender) stop() {
	l.group.Wait()
	l.client.CloseIdleConnections()
}
