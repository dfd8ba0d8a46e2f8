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

// TestFeedEncodesChangesOnce: streams at the same revision share what is sent; one that
// stands at another revision gets what it lacks, and one that lacks nothing gets nothing.
func TestFeedEncodesChangesOnce(t *testing.T) {
	r := &replica{state: state.New()}
	index := uint64(0)
	announce := func(id directory.InstanceID) {
		t.Helper()
		index++
		command := directory.Command{Instances: []directory.Instance{{ID: id, Service: "s", Address: string(id), State: directory.InstanceReady}}}
		if result := r.state.Apply(index, state.Command{Directory: &command}); result.Err != nil {
			t.Fatal(result.Err)
		}
	}
	after := func(sent directory.Revision) *directoryChanges {
		t.Helper()
		changes, err := r.changesAfter(sent)
		if err != nil {
			t.Fatal(err)
		}
		return changes
	}
	announce("a")
	first := after(0)
	if first == nil || after(0) != first {
		t.Fatal("the changes were encoded twice for streams at the same revision")
	}
	if after(first.to) != nil {
		t.Error("a stream that lacks nothing gets changes")
	}
	announce("b")
	whole, second := after(0), after(first.to)
	if whole == first || second.to <= first.to || whole.to != second.to || second.frame.Bytes() >= whole.frame.Bytes() {
		t.Errorf("after another change: whole %+v, second %+v", whole, second)
	}
}

// TestGatherTimeIsBounded: a stream waits longer for further changes the more streams
// are open, within bounds.
func TestGatherTimeIsBounded(t *testing.T) {
	for streams, want := range map[int]time.Duration{0: shortestGather, 2: shortestGather, 30: 30 * gatherOfStream, 5000: longestGather} {
		if got := gatherTime(streams); got != want {
			t.Errorf("%d streams: %s, want %s", streams, got, want)
		}
	}
}

// TestFramesAreSharedByAllStreams: what a change costs a controller to encode does not grow with
// its streams, wherever they stand, and what they get does not depend on when they look.
func TestFramesAreSharedByAllStreams(t *testing.T) {
	for _, streams := range []int{50, 100} {
		r := &replica{state: state.New(), feed: newDirectoryFeed()}
		index := uint64(0)
		announce := func() {
			t.Helper()
			index++
			id := directory.InstanceID(fmt.Sprint("i", index))
			command := directory.Command{Instances: []directory.Instance{{ID: id, Service: "s", Address: string(id), State: directory.InstanceReady}}}
			if result := r.state.Apply(index, state.Command{Directory: &command}); result.Err != nil {
				t.Fatal(result.Err)
			}
		}
		announce()
		held := make([]directory.Revision, streams)
		encoded := make(map[*directoryChanges]bool)
		const rounds = 40
		for round := range rounds {
			announce()
			if err := r.cutFrame(); err != nil {
				t.Fatal(err)
			}
			for stream := range streams {
				if (round+stream)%3 == 0 {
					continue // looks later, and gets several frames then
				}
				frames, err := r.framesAfter(held[stream])
				if err != nil {
					t.Fatal(err)
				}
				for _, changes := range frames {
					encoded[changes] = true
					if changes.from > held[stream] || changes.to <= held[stream] {
						t.Fatalf("stream %d at %d gets changes from %d to %d", stream, held[stream], changes.from, changes.to)
					}
					held[stream] = changes.to
				}
			}
		}
		if most := rounds + 3; len(encoded) > most {
			t.Errorf("%d streams: %d frames were encoded for %d changes, want %d at most", streams, len(encoded), rounds, most)
		}
		for stream, revision := range held {
			frames, err := r.framesAfter(revision)
			if err != nil {
				t.Fatal(err)
			}
			for _, changes := range frames {
				if changes.from > revision {
					t.Errorf("stream %d at %d lacks what comes before %d", stream, revision, changes.from)
				}
				revision = changes.to
			}
			if revision != directory.Revision(index) {
				t.Errorf("stream %d gets changes up to %d of %d", stream, revision, index)
			}
		}
	}
}

// TestConfirmedPlansReachTheStreams: gateways hear of a zone that a plan evacuated, or of a request
// that it released, without another change of the directory.
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
		for _, told := range []<-chan struct{}{changed, urgent} {
			select {
			case <-told:
			default:
				t.Errorf("%s: the streams are not told of a confirmed plan", name)
			}
		}
	}
}
