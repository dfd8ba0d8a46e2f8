package controller

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/state"
)

// TestFeedEncodesChangesOnce: streams at the same revision share the encoded changes; a stream at another
// revision gets what it lacks, and an up-to-date one gets nothing.
func TestFeedEncodesChangesOnce(t *testing.T) {
	r := &replica{state: state.New()}
	index := uint64(0)
	register := func(id directory.InstanceID) {
		t.Helper()
		index++
		command := directory.Command{Instances: []directory.Instance{{ID: id, Service: "s", Address: string(id), State: directory.InstanceReady}}}
		if result := r.state.Apply(index, state.Command{Directory: &command}); result.Err != nil {
			t.Fatal(result.Err)
		}
	}
	changesAfter := func(sent directory.Revision) *directoryChanges {
		t.Helper()
		changes, err := r.changesAfter(sent)
		if err != nil {
			t.Fatal(err)
		}
		return changes
	}
	register("a")
	first := changesAfter(0)
	if first == nil || changesAfter(0) != first {
		t.Fatal("the changes were encoded twice for streams at the same revision")
	}
	if changesAfter(first.to) != nil {
		t.Error("an up-to-date stream gets changes")
	}
	register("b")
	whole, second := changesAfter(0), changesAfter(first.to)
	if whole == first || second.to <= first.to || whole.to != second.to || second.frame.Bytes() >= whole.frame.Bytes() {
		t.Errorf("after another change: full %+v, changes %+v", whole, second)
	}
}

// TestGatherTimeIsBounded: the delay for further changes grows with the number of open streams, within limits.
func TestGatherTimeIsBounded(t *testing.T) {
	for streams, want := range map[int]time.Duration{0: minGatherDelay, 2: minGatherDelay, 30: 30 * gatherDelayPerStream, 5000: maxGatherDelay} {
		if got := gatherDelay(streams); got != want {
			t.Errorf("%d streams: %s, want %s", streams, got, want)
		}
	}
}

// TestFramesAreSharedByAllStreams: the number of encoded frames per change does not grow with the number of
// streams, at whatever revisions they are, and what streams receive does not depend on when they read.
func TestFramesAreSharedByAllStreams(t *testing.T) {
	for _, streams := range []int{50, 100} {
		r := &replica{state: state.New(), feed: newDirectoryFeed()}
		index := uint64(0)
		register := func() {
			t.Helper()
			index++
			id := directory.InstanceID(fmt.Sprint("i", index))
			command := directory.Command{Instances: []directory.Instance{{ID: id, Service: "s", Address: string(id), State: directory.InstanceReady}}}
			if result := r.state.Apply(index, state.Command{Directory: &command}); result.Err != nil {
				t.Fatal(result.Err)
			}
		}
		register()
		sentTo := make([]directory.Revision, streams)
		encoded := make(map[*directoryChanges]bool)
		const rounds = 40
		for round := range rounds {
			register()
			if err := r.encodeNextFrame(); err != nil {
				t.Fatal(err)
			}
			for stream := range streams {
				if (round+stream)%3 == 0 {
					continue // reads in a later round and then gets several frames
				}
				frames, err := r.framesAfter(sentTo[stream])
				if err != nil {
					t.Fatal(err)
				}
				for _, changes := range frames {
					encoded[changes] = true
					if changes.from > sentTo[stream] || changes.to <= sentTo[stream] {
						t.Fatalf("stream %d at %d gets changes from %d to %d", stream, sentTo[stream], changes.from, changes.to)
					}
					sentTo[stream] = changes.to
				}
			}
		}
		if limit := rounds + 3; len(encoded) > limit {
			t.Errorf("%d streams: %d frames encoded for %d changes, want at most %d", streams, len(encoded), rounds, limit)
		}
		for stream, revision := range sentTo {
			frames, err := r.framesAfter(revision)
			if err != nil {
				t.Fatal(err)
			}
			for _, changes := range frames {
				if changes.from > revision {
					t.Errorf("stream %d at %d misses the changes before %d", stream, revision, changes.from)
				}
				revision = changes.to
			}
			if revision != directory.Revision(index) {
				t.Errorf("stream %d is at revision %d, want %d", stream, revision, index)
			}
		}
	}
}

// TestConfirmedPlansReachTheStreams: gateways learn of a zone that a plan evacuated, or of a request that it
// released, without another change of the directory.
func TestConfirmedPlansReachTheStreams(t *testing.T) {
	for name, operation := range map[string]state.Operation{
		"zone":    {PutZone: &directory.Zone{Name: "west", Evacuated: true}},
		"release": {Release: &state.ReleaseRequest{Fingerprint: directory.Fingerprint(5).String()}},
	} {
		r := &replica{
			state: state.New(), feed: newDirectoryFeed(), directoryChanged: broadcast.New(),
			log: logrus.NewEntry(&logrus.Logger{Out: io.Discard}),
		}
		h := &host{replica: r}
		suspects := directory.PutSuspects{List: []directory.Suspect{{Fingerprint: 5, Quarantined: true}}}
		r.state.Apply(1, state.Command{Directory: &directory.Command{Suspects: &suspects}})
		r.state.Apply(2, state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "plan", Operations: []state.Operation{operation}}}})
		changed, urgent := r.directoryChanged.Next(), r.feed.urgent.Next()
		confirm := state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: "plan"}}
		h.Applied(consensus.Entry{Index: 3}, confirm, r.state.Apply(3, confirm))
		if r.state.Directory().Revision() != 3 {
			t.Fatalf("%s: the plan did not change the directory", name)
		}
		for _, signal := range []<-chan struct{}{changed, urgent} {
			select {
			case <-signal:
			default:
				t.Errorf("%s: the streams were not notified of a confirmed plan", name)
			}
		}
	}
}
