package reach

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// TestUnreachableInstanceIsProbedByOne guards against requests that each wait for a connection attempt of their
// own, several times in a row. After a failed connection no request uses the instance directly, and exactly one
// probe is due after each pause.
func TestUnreachableInstanceIsProbedByOne(t *testing.T) {
	r := New()
	now := time.Second
	if !r.Reachable("a") {
		t.Error("an instance must be reachable before anything failed")
	}
	r.Failed(now, "a")
	if r.Reachable("a") || !r.Reachable("b") || len(r.DueProbes(now)) != 0 {
		t.Error("only the instance that cannot be reached must be left out, without a probe during the pause")
	}
	now += firstPause
	if first, second := r.DueProbes(now), r.DueProbes(now); len(first) != 1 || len(second) != 0 {
		t.Errorf("probes %v and %v are due after the pause, want exactly one", first, second)
	}
	r.ProbeEnded(now, "a", false)
	if r.Reachable("a") || len(r.DueProbes(now+firstPause-1)) != 0 || len(r.DueProbes(now+firstPause)) != 1 {
		t.Error("after a failed probe the next one must be due after another pause")
	}
	r.ProbeEnded(now, "a", true)
	for range 2 {
		if !r.Reachable("a") {
			t.Error("an instance that was reached must get requests")
		}
	}
	r.Failed(now, "a")
	r.Forget(func(directory.InstanceID) bool { return false })
	if r.Unreachable() != 0 || !r.Reachable("a") {
		t.Error("an instance that is gone must be forgotten")
	}
}

// TestCutOffAfterFailuresEverywhere checks that failures at several instances without a success between them
// count as a cut from all, those that answer meanwhile prevent it, and one that is reached ends it.
func TestCutOffAfterFailuresEverywhere(t *testing.T) {
	failures := []directory.InstanceID{"a", "b", "c"}
	t.Run("answers between", func(t *testing.T) {
		r := New()
		for index, id := range failures {
			r.Failed(time.Duration(index)*time.Second/10, id)
			r.Reached(time.Duration(index)*time.Second/10, "d")
		}
		if r.CutOff() || !r.Reachable("d") || r.Reachable("a") {
			t.Error("dead instances beside one that answers are no cut")
		}
	})
	t.Run("failures far apart", func(t *testing.T) {
		r := New()
		for index, id := range failures {
			r.Failed(time.Duration(index)*cutOffWindow, id)
		}
		if r.CutOff() {
			t.Error("failures that lie far apart are no cut")
		}
	})
	t.Run("all fail", func(t *testing.T) {
		r := New()
		for _, id := range failures {
			r.Failed(0, id)
		}
		if !r.CutOff() || r.Reachable("d") {
			t.Fatal("no instance must count as reachable")
		}
		r.Reached(time.Second/10, "a")
		if r.CutOff() || !r.Reachable("a") || !r.Reachable("d") || r.Reachable("b") {
			t.Error("the end of the cut must leave only the instances that failed by themselves")
		}
		if due := r.DueProbes(time.Second / 10); len(due) != 2 {
			t.Errorf("%v are probed at once, want the two others", due)
		}
	})
}

// TestDeadInstancesDoNotKeepTheCut guards against a process that counts as cut off for as long as the instances
// that led to it are dead: one that answers through a relay is probed as well.
func TestDeadInstancesDoNotKeepTheCut(t *testing.T) {
	r := New()
	for _, id := range []directory.InstanceID{"dead-1", "dead-2", "dead-3"} {
		r.Failed(0, id)
	}
	now := sampleInterval
	r.Relayed(now, "alive")
	r.Relayed(now, "other")
	if due := r.DueProbes(now); len(due) != 1 || due[0] != "alive" {
		t.Fatalf("%v are probed, want one that is alive", due)
	}
	r.ProbeEnded(now, "alive", true)
	if r.CutOff() || !r.Reachable("alive") || !r.Reachable("other") {
		t.Error("a connection to an instance must end the cut")
	}
}

// TestSuspectedInstanceStaysReachable checks that a request without an answer leads to a probe, and only its
// failure makes the instance unreachable.
func TestSuspectedInstanceStaysReachable(t *testing.T) {
	r := New()
	r.Suspect(0, "a")
	if !r.Reachable("a") || len(r.DueProbes(0)) != 1 {
		t.Fatal("a suspected instance must be probed at once, and get requests meanwhile")
	}
	r.ProbeEnded(0, "a", false)
	if r.Reachable("a") || r.Unreachable() != 1 {
		t.Error("the failed probe must make it unreachable")
	}
	r.Reached(0, "a")
	r.ProbeEnded(0, "a", false)
	if !r.Reachable("a") {
		t.Error("a probe that ends after an answer must not count")
	}
}

// TestProbesAreBounded checks that no more than maxProbes run at the same time, however many instances are
// unreachable.
func TestProbesAreBounded(t *testing.T) {
	r := New()
	for index := range 10 * maxProbes {
		r.Failed(0, directory.InstanceID(rune('a'+index)))
	}
	if due := r.DueProbes(firstPause); len(due) != maxProbes {
		t.Errorf("%d probes, want %d", len(due), maxProbes)
	}
	if due := r.DueProbes(firstPause); len(due) != 0 {
		t.Errorf("%d further probes while the others run", len(due))
	}
}

// BenchmarkAllReachable measures the check of one instance while all are reachable, as for nearly all
// requests.
func BenchmarkAllReachable(b *testing.B) {
	r := New()
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			if !r.Reachable("a") {
				b.Error("an instance that never failed must be reachable")
			}
		}
	})
}

// TestDeadInstancesAreNoCutWhenProbed guards against many dead instances whose probes fail together, between two
// answers of others: the process would count as cut off each time, and probe all of them again at once.
func TestDeadInstancesAreNoCutWhenProbed(t *testing.T) {
	r := New()
	now := time.Duration(0)
	for index := range 10 {
		r.Failed(now, directory.InstanceID(rune('a'+index)))
		r.Reached(now, "alive")
	}
	probes := 0
	const length = 10 * time.Second
	for ; now < length; now += 100 * time.Millisecond {
		for _, id := range r.DueProbes(now) {
			probes++
			r.ProbeEnded(now, id, false)
		}
		if r.CutOff() {
			t.Fatalf("cut off at %s", now)
		}
		r.Reached(now, "alive")
	}
	if most := 10 * int(length/maxPause+1); probes > most {
		t.Errorf("%d probes of ten dead instances in %s, want at most %d", probes, length, most)
	}
}
