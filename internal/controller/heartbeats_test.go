package controller

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestNextBatchWaitsForTheEndOfTheLast: while the outcome of a batch is unknown, no other batch is decided,
// however long that takes: it would be based on an outdated state.
func TestNextBatchWaitsForTheEndOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := config.DefaultController()
		manager := newHeartbeatManager(settings.Heartbeat, &replica{settings: settings, clock: clock.NewSystem(), state: state.New()})
		proposals := make(chan chan error, 2)
		manager.propose = func(ctx, _ context.Context, _ state.Command) error {
			outcome := make(chan error)
			proposals <- outcome
			select {
			case err := <-outcome:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				select {
				case first := <-manager.pending:
					manager.runBatch(ctx, manager.collect(first))
				case <-ctx.Done():
				}
			}
		}()
		decided := 0
		enqueue := func(address string) chan error {
			done := make(chan error, 1)
			manager.pending <- decision{ctx: ctx, leadership: ctx, done: done, decide: func(batch *heartbeat.Batch) error {
				decided++
				return batch.Receive(heartbeat.Beat{Instance: directory.InstanceID(address), Service: "s", Address: address, Sequence: 1})
			}}
			return done
		}
		first := enqueue("10.0.0.1:1")
		firstOutcome := <-proposals
		second := enqueue("10.0.0.2:1")
		time.Sleep(10 * settings.Consensus.ProposalTimeout)
		synctest.Wait()
		if decided != 1 {
			t.Fatalf("%d decisions while the outcome of the first batch is unknown, want 1", decided)
		}
		refused := errors.New("not committed")
		firstOutcome <- refused
		if err := <-first; !errors.Is(err, refused) {
			t.Errorf("outcome of the first decision: %v", err)
		}
		secondOutcome := <-proposals
		secondOutcome <- nil
		if err := <-second; err != nil {
			t.Errorf("outcome of the second decision: %v", err)
		}
	})
}

// TestDecisionsGivenUpAreLeftOut: a leader that was stalled for seconds decides only what callers still wait
// for, not the thousands of heartbeats that were abandoned meanwhile.
func TestDecisionsGivenUpAreLeftOut(t *testing.T) {
	manager := newHeartbeatManager(config.DefaultController().Heartbeat, &replica{clock: clock.NewSystem(), state: state.New()})
	abandoned, abandon := context.WithCancel(t.Context())
	const abandonedCount, awaitedCount = 4000, 30
	for range abandonedCount {
		manager.pending <- decision{ctx: abandoned, done: make(chan error, 1)}
	}
	for range awaitedCount {
		manager.pending <- decision{ctx: t.Context(), done: make(chan error, 1)}
	}
	abandon()
	if collected := manager.collect(<-manager.pending); len(collected) != awaitedCount {
		t.Errorf("%d decisions in the next batch, want the %d that callers wait for", len(collected), awaitedCount)
	}
}

// TestHeldAnswersAreBounded: with n and 2n servers that each send a heartbeat every 3 s, the number of answers
// held at a time stays within its limit, and a busy leader keeps half of the second after which a server gives
// up. At sites of a few hundred servers, each answer is held for its full time.
func TestHeldAnswersAreBounded(t *testing.T) {
	const maxTime, half = 700 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		perSecond        float64
		minMean, maxMean time.Duration
	}{{250, maxTime, maxTime}, {1900, 0, half}, {3800, 0, half}} {
		const step = time.Millisecond
		var ends []time.Duration
		arrivals, peak := 0.0, 0
		var last, sum time.Duration
		count := 0
		for now := time.Duration(0); now < 5*time.Second; now += step {
			ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= now })
			for arrivals += c.perSecond * step.Seconds(); arrivals >= 1; arrivals-- {
				last = holdBackTime(maxTime, len(ends)+1)
				if last > 0 {
					ends = append(ends, now+last)
				}
				sum += last
				count++
			}
			peak = max(peak, len(ends))
		}
		mean := sum / time.Duration(count)
		if mean < c.minMean || mean > c.maxMean || peak > maxHeldAnswers {
			t.Errorf("%g heartbeats per second: held for %s on average, up to %d at a time", c.perSecond, mean, peak)
		}
	}
}

// TestHeartbeatEndsWithTheLeadership guards against servers that lose their keys while a leader is cut off:
// the former leader kept their heartbeats until they timed out, so that they asked the next controller a
// second late. 94 of 186 servers did so in one second.
func TestHeartbeatEndsWithTheLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := config.DefaultController()
		settings.Controllers = make([]config.ControllerPeer, 3)
		system := clock.NewSystem()
		r := &replica{settings: settings, clock: system, state: state.New(), reads: make(chan driver.ReadFunc, 1), watchdog: newLoopWatchdog(system, settings)}
		r.published.Store(&published{leading: true})
		var endLeadership context.CancelFunc
		r.leadership, endLeadership = context.WithCancel(t.Context())
		manager := newHeartbeatManager(settings.Heartbeat, r)
		result := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), settings.Heartbeat.AnswerTimeout)
			defer cancel()
			_, err := manager.receive(ctx, heartbeat.Beat{Instance: "i", Service: "s", Address: "10.0.0.1:1", Sequence: 1})
			result <- err
		}()
		time.Sleep(settings.Heartbeat.AnswerTimeout / 4)
		endedAt := time.Now()
		endLeadership()
		if err := <-result; fault.KindOf(err) != fault.NotLeader {
			t.Errorf("the heartbeat returned %v", err)
		}
		if late := time.Since(endedAt); late > 0 {
			t.Errorf("the heartbeat returned %s after the end of the leadership", late)
		}
	})
}
