package caller

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const (
	// pauseAfterLoss is the wait before a resend that nobody gave advice on.
	pauseAfterLoss = 50 * time.Millisecond
	// maxPause bounds the advice that is followed.
	maxPause = 10 * time.Second
	// jitter is the largest share that a wait grows by.
	jitter = 0.5
)

// Caller runs one configuration once.
type Caller struct {
	config  Config
	client  *fasthttp.Client
	records *record.Writer[record.Attempt]
	report  *reporter
}

// New returns a caller that has sent nothing yet.
func New(config Config) (*Caller, error) {
	config = config.withDefaults()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	records, err := record.OpenWriter[record.Attempt](config.RecordFile)
	if err != nil {
		return nil, err
	}
	// A simultaneous resend doubles the connections of a logical request.
	client := newClient(2 * config.Concurrency)
	return &Caller{config: config, client: client, records: records, report: newReporter()}, nil
}

// Run sends until the requests, the duration or the context ends, waits for
// what is in flight, closes the record file and returns the report.
func (c *Caller) Run(ctx context.Context) (Report, error) {
	running, cancel := context.WithTimeout(ctx, c.config.Duration)
	defer cancel()
	streams := pool.New().WithErrors().WithMaxGoroutines(len(c.config.Loads))
	requests := pool.New().WithErrors().WithMaxGoroutines(c.config.Concurrency)
	for number, load := range c.config.Loads {
		streams.Go(func() error {
			return c.generate(running, newStream(load, c.config.Seed, uint64(number)), c.share(load), requests)
		})
	}
	streamErr := streams.Wait()
	requestErr := requests.Wait()
	c.client.CloseIdleConnections()
	closeErr := c.records.Close()
	for _, err := range []error{streamErr, requestErr, closeErr} {
		if err != nil {
			return Report{}, err
		}
	}
	return c.report.report(), nil
}

// share returns how many of the requests belong to one load, by its rate.
func (c *Caller) share(load Load) int {
	total := 0.0
	for _, other := range c.config.Loads {
		total += other.Rate
	}
	return max(1, int(float64(c.config.Requests)*load.Rate/total))
}

// generate starts the requests of one stream at its rate. It falls behind when
// all of the concurrency is in use.
func (c *Caller) generate(ctx context.Context, drawing *stream, count int, requests *pool.ErrorPool) error {
	due := time.Now()
	for range count {
		due = due.Add(drawing.pause())
		if !sleep(ctx, time.Until(due)) {
			return nil
		}
		drawn, err := drawing.next()
		if err != nil {
			return err
		}
		requests.Go(func() error { return c.perform(ctx, drawn) })
	}
	return nil
}

// perform sends one logical request until it is answered, its attempts are used
// up, a resend is pointless, or the run ends.
func (c *Caller) perform(ctx context.Context, sending *request) error {
	first := int64(clock.BootTime())
	router := sending.random.IntN(len(c.config.Routers))
	var last result
	outcome := fault.NotRun
	for number := range c.config.Attempts {
		ended, err := c.attempt(sending, router)
		if err != nil {
			return err
		}
		last = decisive(ended)
		outcome = combine(outcome, last.line.Outcome)
		if !mayResend(last.line) || number == c.config.Attempts-1 {
			break
		}
		if !sleep(ctx, c.pauseFor(sending, last)) {
			break
		}
		router = c.nextRouter(sending, router, last)
	}
	c.report.finish(sending.load.Service, time.Duration(last.line.ReceivedNs-first), outcome)
	return nil
}

// attempt sends through one router and, at times, at once through the next one.
func (c *Caller) attempt(sending *request, router int) ([]result, error) {
	routers := []string{c.config.Routers[router]}
	if sending.idempotencyKey != "" && sending.random.Float64() < c.config.Simultaneous {
		routers = append(routers, c.config.Routers[(router+1)%len(c.config.Routers)])
	}
	sends := pool.NewWithResults[result]().WithErrors()
	for _, address := range routers {
		sends.Go(func() (result, error) { return c.send(sending, address) })
	}
	ended, err := sends.Wait()
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	slices.SortFunc(ended, func(a, b result) int { return int(a.line.ReceivedNs - b.line.ReceivedNs) })
	for _, one := range ended {
		c.report.add(one.line)
	}
	return ended, nil
}

// combine returns what is known of a logical request after one more attempt: an
// attempt that did not run says nothing of an earlier one that may have.
func combine(before, latest fault.Outcome) fault.Outcome {
	if latest == fault.Completed || before == fault.NotRun {
		return latest
	}
	return before
}

// decisive returns the result that says most: an answer, else an open outcome.
func decisive(ended []result) result {
	for _, outcome := range []fault.Outcome{fault.Completed, fault.Unknown} {
		for _, one := range ended {
			if one.line.Outcome == outcome {
				return one
			}
		}
	}
	return ended[0]
}

// mayResend tells whether a resend is safe and may change the answer. Each
// request may either be repeated or carries an Idempotency-Key.
func mayResend(line record.Attempt) bool {
	if line.Outcome == fault.Completed {
		return false
	}
	if line.ErrorKind == "" || line.ErrorKind == fault.DuplicateInProgress {
		return true
	}
	return fault.AnswerFor(line.ErrorKind).RetryAfter > 0
}

// pauseFor follows the advice of the answer, with jitter on top.
func (c *Caller) pauseFor(sending *request, last result) time.Duration {
	pause := last.retryAfter
	if pause == 0 {
		pause = pauseAfterLoss
	}
	pause = min(pause, maxPause)
	return pause + time.Duration(sending.random.Float64()*jitter*float64(pause))
}

// nextRouter keeps the router or takes the next one.
func (c *Caller) nextRouter(sending *request, router int, last result) int {
	broken := last.line.Transport != record.TransportAnswered
	if broken || sending.random.Float64() < c.config.OtherRouter {
		return (router + 1) % len(c.config.Routers)
	}
	return router
}

// sleep returns false when the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
