package router

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	// claimPauseBase and claimPauseMax bound the pause before a claim is sent
	// again; it doubles.
	claimPauseBase = 5 * time.Millisecond
	claimPauseMax  = 100 * time.Millisecond
	// answerReserve is kept of the request's time for the answer.
	answerReserve = 20 * time.Millisecond
	// completionTime bounds how long a completion is sent again and again.
	completionTime = 30 * time.Second
	// maxCompletions bounds the completions under way in the background.
	maxCompletions = 4096
)

// recordClient carries claims and completions to the primaries of the records.
type recordClient interface {
	Session() state.SessionNumber
	Claim(ctx context.Context, claim record.Claim) (answer message.RecordAnswer, uncertain bool)
	Complete(ctx context.Context, completion record.Completion) bool
}

// recordDeduplicator is the Deduplicator that keeps its records on routers.
type recordDeduplicator struct {
	self           state.RouterID
	clock          clock.Clock
	client         recordClient
	maxAnswerBytes int
	peerTimeout    time.Duration
	metrics        *metrics
	// lifetime ends when completions must be given up.
	lifetime context.Context

	places     chan struct{}
	background conc.WaitGroup
	mutex      sync.Mutex
}

// Do implements Deduplicator.
func (d *recordDeduplicator) Do(ctx context.Context, exchange *Exchange, next Handler) error {
	key, err := record.ParseKey(exchange.IdempotencyKey)
	if err != nil {
		return err
	}
	claim := record.Claim{
		Key: key, Fingerprint: fingerprintOf(exchange), Attempt: exchange.ID, Router: d.self, Session: d.client.Session(),
	}
	if claim.Session == 0 {
		return fault.New(fault.RecordUnavailable, "the router has no session with the controllers yet; send again")
	}
	answer, uncertain := d.claim(ctx, exchange, claim)
	d.metrics.claims.WithLabelValues(answer.Verdict.String()).Inc()
	if answer.Verdict == record.Granted {
		err := next(ctx, exchange)
		d.finish(d.completionOf(claim, exchange, err))
		return err
	}
	if uncertain {
		d.complete(record.Completion{Claim: claim, Status: record.Released})
	}
	return d.conclude(exchange, answer)
}

// claim asks for the right to run until the answer is final or the request's
// time is over. It reports whether the last claim may stand at the primary
// although nobody said so.
func (d *recordDeduplicator) claim(ctx context.Context, exchange *Exchange, claim record.Claim) (message.RecordAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchange.Request.Deadline-answerReserve-d.clock.Now())
	defer cancel()
	wait := claimPauseBase
	uncertain := false
	for {
		answer, open := d.client.Claim(ctx, claim)
		uncertain = uncertain || open
		if answer.Verdict.Final() || ctx.Err() != nil {
			return answer, uncertain
		}
		pause(ctx, wait)
		wait = min(claimPauseMax, wait*2)
	}
}

// conclude answers a request that was not granted.
func (d *recordDeduplicator) conclude(exchange *Exchange, answer message.RecordAnswer) error {
	if answer.Verdict == record.AnswerKept {
		return restoreAnswer(exchange, answer.Answer)
	}
	return answer.Verdict.Refusal(exchange.IdempotencyKey)
}

// completionOf tells how the exchange ended.
func (d *recordDeduplicator) completionOf(claim record.Claim, exchange *Exchange, err error) record.Completion {
	if err == nil {
		return record.Completion{Claim: claim, Status: record.StatusAfter(nil), Answer: keepAnswer(exchange.Answer, d.maxAnswerBytes)}
	}
	return record.Completion{Claim: claim, Status: record.StatusAfter(fault.From(err))}
}

// finish records the end of an attempt. An answer goes to the caller without
// waiting for it; a failure waits, since the caller will send again at once.
func (d *recordDeduplicator) finish(completion record.Completion) {
	if completion.Status != record.Completed {
		ctx, cancel := context.WithTimeout(d.lifetime, d.peerTimeout)
		defer cancel()
		if d.client.Complete(ctx, completion) {
			return
		}
	}
	d.complete(completion)
}

// complete sends a completion in the background until it is recorded. Without
// room there it is sent once; the record then stays as running until this
// router's session ends, and counts as unknown after that.
func (d *recordDeduplicator) complete(completion record.Completion) {
	select {
	case d.places <- struct{}{}:
	default:
		ctx, cancel := context.WithTimeout(d.lifetime, d.peerTimeout)
		defer cancel()
		d.client.Complete(ctx, completion)
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.background.Go(func() {
		defer func() { <-d.places }()
		d.completeUntil(completion)
	})
}

func (d *recordDeduplicator) completeUntil(completion record.Completion) {
	ctx, cancel := context.WithTimeout(d.lifetime, completionTime)
	defer cancel()
	wait := claimPauseBase
	for !d.client.Complete(ctx, completion) && ctx.Err() == nil {
		pause(ctx, wait)
		wait = min(claimPauseMax, wait*2)
	}
}

// flush waits until no completion is under way, or the context ends.
func (d *recordDeduplicator) flush(ctx context.Context) {
	for len(d.places) > 0 && ctx.Err() == nil {
		pause(ctx, claimPauseBase)
	}
}

// wait returns once every goroutine has ended, which follows the lifetime.
func (d *recordDeduplicator) wait() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.background.Wait()
}
