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

// manualClock shows what a test sets.
type manualClock struct{ reading time.Duration }

// Now implements clock.Clock.
func (c *manualClock) Now() time.Duration { return c.reading }

// defectKeeper is a leader's keeper whose commands are applied at once, and what it logs.
func defectKeeper(t *testing.T, machine *manualClock) (*heartbeatKeeper, *state.State, *bytes.Buffer) {
	t.Helper()
	lines := &bytes.Buffer{}
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
	keeper := newHeartbeatKeeper(settings.Heartbeat, &replica{
		settings: settings, clock: machine, state: applied, log: telemetry.New("controller", "a", "error", lines),
	})
	keeper.propose = func(_, _ context.Context, command state.Command) error { return apply(*command.Directory) }
	return keeper, applied, lines
}

// heartbeatOf decides on the first heartbeat of an instance.
func heartbeatOf(t *testing.T, id directory.InstanceID) decision {
	beat := heartbeat.Beat{Instance: id, Service: "s", Address: string(id) + ":1", Slots: 1, Sequence: 1}
	return decision{
		ctx: t.Context(), leadership: t.Context(), sender: id, done: make(chan error, 1),
		decide: func(batch *heartbeat.Batch) error { return batch.Receive(beat) },
	}
}

// poisonOf decides on a heartbeat that changes the batch and then meets a defect.
func poisonOf(t *testing.T, id directory.InstanceID) decision {
	poison := heartbeatOf(t, id)
	receive := poison.decide
	poison.decide = func(batch *heartbeat.Batch) error {
		if err := receive(batch); err != nil {
			return err
		}
		panic("planted defect")
	}
	return poison
}

// TestHeartbeatThatMeetsADefectEndsAlone guards against one heartbeat that ends the controllers one
// after the other: its panic ended the leader, and the server sent the next one to its successor.
// The others of its batch are decided, and nothing that it changed stays.
func TestHeartbeatThatMeetsADefectEndsAlone(t *testing.T) {
	machine := &manualClock{reading: time.Hour}
	keeper, applied, lines := defectKeeper(t, machine)
	decisions := []decision{heartbeatOf(t, "10.0.0.1"), poisonOf(t, "10.0.0.2"), heartbeatOf(t, "10.0.0.3")}
	keeper.decideTogether(t.Context(), decisions)
	for index, made := range decisions {
		err := <-made.done
		if defective := index == 1; defective != (err != nil) || defective && fault.KindOf(err) != fault.Internal {
			t.Errorf("decision %d ends with %v", index, err)
		}
	}
	for id, want := range map[directory.InstanceID]bool{"10.0.0.1": true, "10.0.0.2": false, "10.0.0.3": true} {
		if _, found := applied.Directory().Instance(id); found != want {
			t.Errorf("instance %s in the directory: %v, want %v", id, found, want)
		}
	}
	if !strings.Contains(lines.String(), string(telemetry.EventPanicked)) || !strings.Contains(lines.String(), "10.0.0.2") {
		t.Errorf("the log does not tell whose heartbeat it was: %q", lines)
	}
}

// TestSenderOfADefectIsHeldOff: for longer each time, while others are decided.
func TestSenderOfADefectIsHeldOff(t *testing.T) {
	machine := &manualClock{reading: time.Hour}
	keeper, _, _ := defectKeeper(t, machine)
	for _, held := range []time.Duration{shortestHoldOff, 2 * shortestHoldOff} {
		keeper.decideTogether(t.Context(), []decision{poisonOf(t, "10.0.0.2")})
		machine.reading += held - time.Millisecond
		if keeper.mayDecide("10.0.0.2") == nil || keeper.mayDecide("10.0.0.1") != nil {
			t.Errorf("want the sender, and nobody else, held off for %s", held)
		}
		machine.reading += time.Millisecond
		if err := keeper.mayDecide("10.0.0.2"); err != nil {
			t.Errorf("still held off after %s: %v", held, err)
		}
	}
}

// TestManyDefectsGiveABatchUp bounds the work for a batch whose decisions all meet a defect.
func TestManyDefectsGiveABatchUp(t *testing.T) {
	keeper, applied, _ := defectKeeper(t, &manualClock{reading: time.Hour})
	runs := 0
	var decisions []decision
	for range 10 * mostDefects {
		decisions = append(decisions, decision{ctx: t.Context(), leadership: t.Context(), sender: "i", done: make(chan error, 1), decide: func(*heartbeat.Batch) error {
			runs++
			panic("planted defect")
		}})
	}
	before := applied.Revision()
	keeper.decideTogether(t.Context(), decisions)
	for _, made := range decisions {
		if <-made.done == nil {
			t.Error("a decision of a batch that was given up counts as made")
		}
	}
	if runs > mostDefects+1 || applied.Revision() != before {
		t.Errorf("%d decisions were begun, the directory is at revision %d", runs, applied.Revision())
	}
}

// TestPeriodicDecisionsOutlastADefect guards against a defect in what the leader decides by itself, which ended
// one leader after the other. The state is missing, so that each look at it panics.
func TestPeriodicDecisionsOutlastADefect(t *testing.T) {
	lines := &bytes.Buffer{}
	settings := config.DefaultController()
	r := &replica{settings: settings, clock: &manualClock{reading: time.Hour}, metrics: newMetrics(), log: telemetry.New("controller", "a", "error", lines)}
	partitions, suspects := newPartitionKeeper(settings, r), newSuspectKeeper(settings.Quarantine, r)
	if commands, decided := partitions.due(t.Context()); decided || len(commands) > 0 {
		t.Errorf("partitions: %d commands without a state", len(commands))
	}
	if partitions.term != nil {
		t.Error("the placement goes on with what it may have changed halfway")
	}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if written := suspects.decide(stopped, t.Context()); written != 0 {
		t.Errorf("%d suspects without a state", written)
	}
	if suspects.ledger != nil {
		t.Error("the ledger goes on with what it may have changed halfway")
	}
	if count := strings.Count(lines.String(), string(telemetry.EventPanicked)); count != 2 {
		t.Errorf("%d lines about defects, want 2: %s", count, lines)
	}
	r.state = state.New()
	if _, decided := partitions.due(t.Context()); !decided {
		t.Error("partitions are not decided once the defect is gone")
	}
}
