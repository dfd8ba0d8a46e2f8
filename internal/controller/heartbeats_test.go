package controller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
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
			keeper.waiting <- decision{leadership: ctx, done: done, decide: func(batch *heartbeat.Batch) error {
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
