package controller

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/coordinator"
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
			DialTimeout:               dialTimeout,
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

func dialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return fasthttp.DialTimeout(address, timeout)
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
	answer := &backendapi.LeaseAnswer{}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return nil, err
	}
	return answer, nil
}

func (l *leaseSender) stop() {
	l.group.Wait()
	l.client.CloseIdleConnections()
}
