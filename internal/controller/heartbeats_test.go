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

// TestNextBatchWaitsForTheEndOfTheLast: while it is open whether a batch is committed, no
// other one is decided, however long that takes: it would rest on a state that is out of
// date.
func TestNextBatchWaitsForTheEndOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := config.DefaultController()
		keeper := newHeartbeatKeeper(settings.Heartbeat, &replica{settings: settings, clock: clock.NewSystem(), state: state.New()})
		proposals := make(chan chan error, 2)
		keeper.propose = func(ctx, _ context.Context, _ state.Command) error {
			ended := make(chan error)
			proposals <- ended
			select {
			case err := <-ended:
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
				case first := <-keeper.waiting:
					keeper.decideTogether(ctx, keeper.gather(first))
				case <-ctx.Done():
				}
			}
		}()
		decided := 0
		announce := func(address string) chan error {
			done := make(chan error, 1)
			keeper.waiting <- decision{ctx: ctx, leadership: ctx, done: done, decide: func(batch *heartbeat.Batch) error {
				decided++
				return batch.Receive(heartbeat.Beat{Instance: directory.InstanceID(address), Service: "s", Address: address, Sequence: 1})
			}}
			return done
		}
		first := announce("10.0.0.1:1")
		open := <-proposals
		second := announce("10.0.0.2:1")
		time.Sleep(10 * settings.Consensus.ProposalTimeout)
		synctest.Wait()
		if decided != 1 {
			t.Fatalf("%d decisions while the first batch is open, want 1", decided)
		}
		refused := errors.New("not committed")
		open <- refused
		if err := <-first; !errors.Is(err, refused) {
			t.Errorf("the first decision ends with %v", err)
		}
		next := <-proposals
		next <- nil
		if err := <-second; err != nil {
			t.Errorf("the second decision ends with %v", err)
		}
	})
}

// TestDecisionsGivenUpAreLeftOut: a leader that was held up for seconds decides on what is still
// waited for, not on the thousands of heartbeats that were given up meanwhile.
func TestDecisionsGivenUpAreLeftOut(t *testing.T) {
	keeper := newHeartbeatKeeper(config.DefaultController().Heartbeat, &replica{clock: clock.NewSystem(), state: state.New()})
	over, giveUp := context.WithCancel(t.Context())
	const givenUp, awaited = 4000, 30
	for range givenUp {
		keeper.waiting <- decision{ctx: over, done: make(chan error, 1)}
	}
	for range awaited {
		keeper.waiting <- decision{ctx: t.Context(), done: make(chan error, 1)}
	}
	giveUp()
	if gathered := keeper.gather(<-keeper.waiting); len(gathered) != awaited {
		t.Errorf("%d decisions in the next batch, want the %d that are waited for", len(gathered), awaited)
	}
}

// TestHeldAnswersAreBounded: with n and 2n servers that send a heartbeat each 3 s, the answers held
// back at a time stay below the bound, and leave a busy leader half of the second after which a server gives up; on
// sites of some hundred servers each is held for its whole time.
func TestHeldAnswersAreBounded(t *testing.T) {
	const longest, half = 700 * time.Millisecond, 500 * time.Millisecond
	for _, c := range []struct {
		perSecond   float64
		least, most time.Duration
	}{{250, longest, longest}, {1900, 0, half}, {3800, 0, half}} {
		const step = time.Millisecond
		var ends []time.Duration
		arriving, highest := 0.0, 0
		var last, sum time.Duration
		count := 0
		for now := time.Duration(0); now < 5*time.Second; now += step {
			ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= now })
			for arriving += c.perSecond * step.Seconds(); arriving >= 1; arriving-- {
				last = holdBackTime(longest, len(ends)+1)
				if last > 0 {
					ends = append(ends, now+last)
				}
				sum += last
				count++
			}
			highest = max(highest, len(ends))
		}
		mean := sum / time.Duration(count)
		if mean < c.least || mean > c.most || highest > mostHeld {
			t.Errorf("%g heartbeats a second: held for %s, %d at a time", c.perSecond, mean, highest)
		}
	}
}

// TestHeartbeatEndsWithTheLeadership guards against servers that lose their keys while a leader is cut
// off: it kept their heartbeats for as long as they wait, though it did not lead any more, so that
// they asked the next controller a second late. 94 of 186 servers did so in one second.
func TestHeartbeatEndsWithTheLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := config.DefaultController()
		settings.Controllers = make([]config.ControllerPeer, 3)
		running := clock.NewSystem()
		r := &replica{settings: settings, clock: running, state: state.New(), reads: make(chan driver.ReadFunc, 1), turns: newTurnWatch(running, settings)}
		r.published.Store(&published{leading: true})
		var lose context.CancelFunc
		r.leadership, lose = context.WithCancel(t.Context())
		keeper := newHeartbeatKeeper(settings.Heartbeat, r)
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), settings.Heartbeat.AnswerTimeout)
			defer cancel()
			_, err := keeper.beat(ctx, heartbeat.Beat{Instance: "i", Service: "s", Address: "10.0.0.1:1", Sequence: 1})
			ended <- err
		}()
		time.Sleep(settings.Heartbeat.AnswerTimeout / 4)
		lost := time.Now()
		lose()
		if err := <-ended; fault.KindOf(err) != fault.NotLeader {
			t.Errorf("the heartbeat ends with %v", err)
		}
		if late := time.Since(lost); late > 0 {
			t.Errorf("it ends %s after the leadership", late)
		}
	})
}
