package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/callerapi"
	"github.com/thorntiller/thorntiller/internal/lab/hollow"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Target is one key and where its requests go.
type Target struct {
	// Address is a router's, or the back end's that owns the key.
	Address string
	Path    string
	Key     string
	// Shard and Epoch are set for requests that go to a back end directly.
	Shard state.ShardID
	Epoch state.Epoch
}

// Result is what a run measured.
type Result struct {
	Requests uint64
	// Failed counts requests without the whole expected answer, Reasons the
	// error kinds or transport errors that stood behind them.
	Failed  uint64
	Reasons map[string]uint64
	Span    time.Duration
	// Histogram holds the time of each request in microseconds.
	Histogram *hdrhistogram.Histogram
}

// Rate returns requests by second.
func (r Result) Rate() float64 {
	return float64(r.Requests) / r.Span.Seconds()
}

// Quantile returns the time within which a share of the requests was answered.
func (r Result) Quantile(share float64) time.Duration {
	const percent = 100
	return time.Duration(r.Histogram.ValueAtQuantile(share*percent)) * time.Microsecond
}

// Add joins the results of two runs.
func (r Result) Add(other Result) Result {
	if r.Histogram == nil {
		return other
	}
	r.Histogram.Merge(other.Histogram)
	r.addReasons(other.Reasons)
	r.Requests += other.Requests
	r.Failed += other.Failed
	r.Span += other.Span
	return r
}

func (r Result) addReasons(more map[string]uint64) {
	for reason, count := range more {
		r.Reasons[reason] += count
	}
}

const (
	requestTimeout = 2 * time.Second
	// Range and precision of the histograms.
	slowest    = int64(10_000_000)
	figures    = 3
	connsByKey = 512
)

// worker sends one request at a time.
type worker struct {
	targets   []Target
	clients   map[string]*fasthttp.HostClient
	random    *rand.Rand
	histogram *hdrhistogram.Histogram
	requests  uint64
	failed    uint64
	reasons   map[string]uint64
}

// Run keeps a number of requests in flight for a time.
func Run(ctx context.Context, targets []Target, inFlight int, span time.Duration) (Result, error) {
	if len(targets) == 0 || inFlight < 1 {
		return Result{}, eris.Errorf("%d targets, %d in flight: give at least one of each", len(targets), inFlight)
	}
	clients := newClients(targets)
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	began := time.Now()
	workers := make([]*worker, inFlight)
	var sequence atomic.Uint64
	var group conc.WaitGroup
	for number := range workers {
		workers[number] = &worker{
			targets: targets, clients: clients, random: rand.New(rand.NewPCG(uint64(number), 0)),
			histogram: hdrhistogram.New(1, slowest, figures), reasons: make(map[string]uint64),
		}
		group.Go(func() { workers[number].run(ctx, &sequence) })
	}
	group.Wait()
	result := Result{Span: time.Since(began), Histogram: hdrhistogram.New(1, slowest, figures), Reasons: make(map[string]uint64)}
	for _, ended := range workers {
		result.Requests += ended.requests
		result.Failed += ended.failed
		result.Histogram.Merge(ended.histogram)
		result.addReasons(ended.reasons)
	}
	for _, client := range clients {
		client.CloseIdleConnections()
	}
	return result, nil
}

func newClients(targets []Target) map[string]*fasthttp.HostClient {
	clients := make(map[string]*fasthttp.HostClient)
	for _, target := range targets {
		clients[target.Address] = &fasthttp.HostClient{
			Addr: target.Address, MaxConns: connsByKey, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	}
	return clients
}

func (w *worker) run(ctx context.Context, sequence *atomic.Uint64) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	for ctx.Err() == nil {
		target := w.targets[w.random.IntN(len(w.targets))]
		fill(request, target, sequence.Add(1))
		began := time.Now()
		err := w.clients[target.Address].DoTimeout(request, response, requestTimeout)
		took := time.Since(began)
		w.requests++
		if err != nil || response.StatusCode() != fasthttp.StatusOK || string(response.Body()) != hollow.AnswerBody {
			w.failed++
			w.reasons[reasonOf(response, err)]++
			continue
		}
		// A time above the histogram's range is a failure already.
		_ = w.histogram.RecordValue(max(1, took.Microseconds()))
	}
}

func reasonOf(response *fasthttp.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	if kind := response.Header.Peek(callerapi.HeaderError); len(kind) > 0 {
		return string(kind)
	}
	return string(response.Header.Peek(backendapi.HeaderRefusal))
}

func fill(request *fasthttp.Request, target Target, number uint64) {
	request.Reset()
	request.SetRequestURI("http://" + target.Address + target.Path)
	request.Header.Set(callerapi.HeaderKey, target.Key)
	request.Header.Set(callerapi.HeaderRequestID, fmt.Sprintf("load-%d", number))
	if target.Shard == 0 {
		return
	}
	const decimal = 10
	request.Header.Set(backendapi.HeaderShard, strconv.FormatUint(uint64(target.Shard), decimal))
	request.Header.Set(backendapi.HeaderEpoch, strconv.FormatUint(uint64(target.Epoch), decimal))
}
