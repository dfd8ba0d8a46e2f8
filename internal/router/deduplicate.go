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
	// claimRetryBase and claimRetryMax are the first and the longest delay before a claim
	// or a completion is sent again. The delay doubles each time.
	claimRetryBase = 5 * time.Millisecond
	claimRetryMax  = 100 * time.Millisecond
	// answerReserve is the part of the request's time that is reserved for the answer.
	answerReserve = 20 * time.Millisecond
	// completionTimeout is how long the router retries to send a completion.
	completionTimeout = 30 * time.Second
	// maxCompletions is the maximum number of completions that are sent in the background.
	maxCompletions = 4096
)

// recordClient sends claims and completions to the primaries of the records. Uncertain is
// true if the claim may have been recorded although no answer says so.
type recordClient interface {
	Session() state.SessionNumber
	Claim(ctx context.Context, claim record.Claim) (answer message.RecordAnswer, uncertain bool)
	Complete(ctx context.Context, completion record.Completion) bool
}

// recordDeduplicator is the Deduplicator whose idempotency records are kept on routers.
type recordDeduplicator struct {
	self           state.RouterID
	clock          clock.Clock
	client         recordClient
	maxAnswerBytes int
	peerTimeout    time.Duration
	metrics        *metrics
	// lifetime ends when the router stops retrying completions.
	lifetime context.Context

	// completionSlots holds an element for each completion in the background.
	completionSlots chan struct{}
	background      conc.WaitGroup
	mutex           sync.Mutex
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
		d.recordEnd(d.completionOf(claim, exchange, err))
		return err
	}
	if uncertain {
		d.completeInBackground(record.Completion{Claim: claim, Status: record.Released})
	}
	return d.answerNotGranted(exchange, answer)
}

// claim sends the claim until the answer is final or the request's time is over. It
// reports whether any of the claims may have been recorded by a primary that did not
// confirm it.
func (d *recordDeduplicator) claim(ctx context.Context, exchange *Exchange, claim record.Claim) (message.RecordAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchange.Request.Deadline-answerReserve-d.clock.Now())
	defer cancel()
	delay := claimRetryBase
	uncertain := false
	for {
		answer, unconfirmed := d.client.Claim(ctx, claim)
		uncertain = uncertain || unconfirmed
		if answer.Verdict.Final() || ctx.Err() != nil {
			return answer, uncertain
		}
		pause(ctx, delay)
		delay = min(claimRetryMax, delay*2)
	}
}

// answerNotGranted answers a request whose claim was not granted.
func (d *recordDeduplicator) answerNotGranted(exchange *Exchange, answer message.RecordAnswer) error {
	if answer.Verdict == record.AnswerKept {
		return restoreAnswer(exchange, answer.Answer)
	}
	return answer.Verdict.Refusal(exchange.IdempotencyKey)
}

// completionOf returns the completion that records the result of the exchange.
func (d *recordDeduplicator) completionOf(claim record.Claim, exchange *Exchange, err error) record.Completion {
	if err == nil {
		return record.Completion{Claim: claim, Status: record.StatusAfter(nil), Answer: keepAnswer(exchange.Answer, d.maxAnswerBytes)}
	}
	return record.Completion{Claim: claim, Status: record.StatusAfter(fault.From(err))}
}

// recordEnd records the result of a granted request. An answer goes to the caller without
// waiting for the record; a failure waits, because the caller may resend at once.
func (d *recordDeduplicator) recordEnd(completion record.Completion) {
	if completion.Status != record.Completed {
		ctx, cancel := context.WithTimeout(d.lifetime, d.peerTimeout)
		defer cancel()
		if d.client.Complete(ctx, completion) {
			return
		}
	}
	d.completeInBackground(completion)
}

// completeInBackground sends a completion in the background until it is recorded. If
// maxCompletions are being sent already, it is sent once in the foreground; if that fails,
// the record stays in the state running until this router's session ends, and its outcome
// counts as unknown after that.
func (d *recordDeduplicator) completeInBackground(completion record.Completion) {
	select {
	case d.completionSlots <- struct{}{}:
	default:
		ctx, cancel := context.WithTimeout(d.lifetime, d.peerTimeout)
		defer cancel()
		d.client.Complete(ctx, completion)
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.background.Go(func() {
		defer func() { <-d.completionSlots }()
		d.completeWithRetries(completion)
	})
}

func (d *recordDeduplicator) completeWithRetries(completion record.Completion) {
	ctx, cancel := context.WithTimeout(d.lifetime, completionTimeout)
	defer cancel()
	delay := claimRetryBase
	for !d.client.Complete(ctx, completion) && ctx.Err() == nil {
		pause(ctx, delay)
		delay = min(claimRetryMax, delay*2)
	}
}

// flush waits until no completion is being sent in the background, or the context ends.
func (d *recordDeduplicator) flush(ctx context.Context) {
	for len(d.completionSlots) > 0 && ctx.Err() == nil {
		pause(ctx, claimRetryBase)
	}
}

// wait waits for the background goroutines. They end when the lifetime ends.
func (d *recordDeduplicator) wait() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.background.Wait()
}
