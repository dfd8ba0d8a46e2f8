package controller

import (
	"testing"
	"time"

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
