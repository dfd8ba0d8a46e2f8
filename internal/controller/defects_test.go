package controller

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// manualClock is a clock that the test sets.
type manualClock struct{ reading time.Duration }

// Now implements clock.Clock.
func (c *manualClock) Now() time.Duration { return c.reading }

// newTestHeartbeatManager returns a leader's manager whose commands are applied at once, the state that they
// are applied to, and the log output.
func newTestHeartbeatManager(t *testing.T, source *manualClock) (*heartbeatManager, *state.State, *bytes.Buffer) {
	t.Helper()
	logOutput := &bytes.Buffer{}
	settings := config.DefaultController()
	applied := state.New()
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	index := uint64(1)
	apply := func(command directory.Command) error {
		applied.Apply(index, state.Command{Directory: &command})
		index++
		return nil
	}
	must(t, apply(directory.Command{Patch: &patch}))
	manager := newHeartbeatManager(settings.Heartbeat, &replica{
		settings: settings, clock: source, state: applied, log: telemetry.New("controller", "a", "error", logOutput),
	})
	manager.propose = func(_, _ context.Context, command state.Command) error { return apply(*command.Directory) }
	return manager, applied, logOutput
}

// firstHeartbeat returns the decision on the first heartbeat of an instance.
func firstHeartbeat(t *testing.T, id directory.InstanceID) decision {
	beat := heartbeat.Beat{Instance: id, Service: "s", Address: string(id) + ":1", Slots: 1, Sequence: 1}
	return decision{
		ctx: t.Context(), leadership: t.Context(), sender: id, done: make(chan error, 1),
		decide: func(batch *heartbeat.Batch) error { return batch.Receive(beat) },
	}
}

// panickingHeartbeat returns the decision on a heartbeat that changes the batch and then panics.
func panickingHeartbeat(t *testing.T, id directory.InstanceID) decision {
	panicking := firstHeartbeat(t, id)
	receive := panicking.decide
	panicking.decide = func(batch *heartbeat.Batch) error {
		if err := receive(batch); err != nil {
			return err
		}
		panic("planted defect")
	}
	return panicking
}

// TestHeartbeatThatMeetsADefectEndsAlone guards against one heartbeat that crashes the controllers one after
// another: its panic ended the leader, and the server sent its next heartbeat to the successor. The other
// heartbeats of its batch are decided, and none of its changes remain.
func TestHeartbeatThatMeetsADefectEndsAlone(t *testing.T) {
	source := &manualClock{reading: time.Hour}
	manager, applied, logOutput := newTestHeartbeatManager(t, source)
	decisions := []decision{firstHeartbeat(t, "10.0.0.1"), panickingHeartbeat(t, "10.0.0.2"), firstHeartbeat(t, "10.0.0.3")}
	manager.runBatch(t.Context(), decisions)
	for index, queued := range decisions {
		err := <-queued.done
		if defective := index == 1; defective != (err != nil) || defective && fault.KindOf(err) != fault.Internal {
			t.Errorf("outcome of decision %d: %v", index, err)
		}
	}
	for id, want := range map[directory.InstanceID]bool{"10.0.0.1": true, "10.0.0.2": false, "10.0.0.3": true} {
		if _, found := applied.Directory().Instance(id); found != want {
			t.Errorf("instance %s in the directory: %v, want %v", id, found, want)
		}
	}
	if !strings.Contains(logOutput.String(), string(telemetry.EventPanicked)) || !strings.Contains(logOutput.String(), "10.0.0.2") {
		t.Errorf("the log does not name the sender of the heartbeat: %q", logOutput)
	}
}

// TestSenderOfADefectIsHeldOff: the sender is rejected for longer after each panic, while the heartbeats of
// others are decided.
func TestSenderOfADefectIsHeldOff(t *testing.T) {
	source := &manualClock{reading: time.Hour}
	manager, _, _ := newTestHeartbeatManager(t, source)
	for _, duration := range []time.Duration{minBackoff, 2 * minBackoff} {
		manager.runBatch(t.Context(), []decision{panickingHeartbeat(t, "10.0.0.2")})
		source.reading += duration - time.Millisecond
		if manager.checkBackoff("10.0.0.2") == nil || manager.checkBackoff("10.0.0.1") != nil {
			t.Errorf("want only the sender rejected for %s", duration)
		}
		source.reading += time.Millisecond
		if err := manager.checkBackoff("10.0.0.2"); err != nil {
			t.Errorf("still rejected after %s: %v", duration, err)
		}
	}
}

// TestManyDefectsGiveABatchUp bounds the work for a batch whose decisions all panic.
func TestManyDefectsGiveABatchUp(t *testing.T) {
	manager, applied, _ := newTestHeartbeatManager(t, &manualClock{reading: time.Hour})
	runs := 0
	var decisions []decision
	for range 10 * maxBatchDefects {
		decisions = append(decisions, decision{ctx: t.Context(), leadership: t.Context(), sender: "i", done: make(chan error, 1), decide: func(*heartbeat.Batch) error {
			runs++
			panic("planted defect")
		}})
	}
	before := applied.Revision()
	manager.runBatch(t.Context(), decisions)
	for _, queued := range decisions {
		if <-queued.done == nil {
			t.Error("a decision of an abandoned batch succeeded")
		}
	}
	if runs > maxBatchDefects+1 || applied.Revision() != before {
		t.Errorf("%d decisions were started, the directory is at revision %d", runs, applied.Revision())
	}
}

// TestPeriodicDecisionsOutlastADefect guards against a panic in a periodic decision of the leader, which
// crashed one leader after another. The state is nil here, so that each access to it panics.
func TestPeriodicDecisionsOutlastADefect(t *testing.T) {
	logOutput := &bytes.Buffer{}
	settings := config.DefaultController()
	r := &replica{settings: settings, clock: &manualClock{reading: time.Hour}, metrics: newMetrics(), log: telemetry.New("controller", "a", "error", logOutput)}
	partitions, suspects := newPartitionManager(settings, r), newSuspectManager(settings.Quarantine, r)
	if commands, decided := partitions.dueCommands(t.Context()); decided || len(commands) > 0 {
		t.Errorf("partitions: %d commands without a state", len(commands))
	}
	if partitions.leadership != nil {
		t.Error("the placement kept changes of a decision that panicked")
	}
	stoppedContext, stop := context.WithCancel(t.Context())
	stop()
	if written := suspects.decide(stoppedContext, t.Context()); written != 0 {
		t.Errorf("%d suspects without a state", written)
	}
	if suspects.ledger != nil {
		t.Error("the ledger kept changes of a decision that panicked")
	}
	if count := strings.Count(logOutput.String(), string(telemetry.EventPanicked)); count != 2 {
		t.Errorf("%d log lines about panics, want 2: %s", count, logOutput)
	}
	r.state = state.New()
	if _, decided := partitions.dueCommands(t.Context()); !decided {
		t.Error("partitions are not decided once the cause of the panic is gone")
	}
}
