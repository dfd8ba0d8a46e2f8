package experiment

import (
	"reflect"
	"testing"
	"time"
)

// small is a workload that runs fast.
func small() Workload {
	workload := Derwent()[0]
	workload.Servers, workload.Keys, workload.HotLoads = 6, 500, []float64{1.5}
	return workload
}

const testDuration = 10 * time.Minute

func TestSameSeedSameResult(t *testing.T) {
	for _, name := range Strategies() {
		first, second := runOne(small(), 3, testDuration, name), runOne(small(), 3, testDuration, name)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs of one seed differ:\n%+v\n%+v", name, first, second)
		}
		if first.Requests == 0 || first.Requests != first.Answered+first.NotRun+first.Unknown {
			t.Errorf("%s: requests do not add up: %+v", name, first)
		}
		if first.Imbalance < 1 || first.Churn <= 0 || first.Unavailable <= 0 {
			t.Errorf("%s: measures out of range: %+v", name, first)
		}
	}
}

// Every key has a shard that holds its hash, whatever was split and merged, and
// the ranges cover the key space once.
func TestOwnershipCoversTheKeySpace(t *testing.T) {
	engine := newEngine(newTrace(small(), 4, testDuration), newStrategy(Ours, small()))
	engine.run()
	next := uint64(0)
	for _, known := range engine.owners.ordered {
		if known.keys.First != next {
			t.Fatalf("range begins at %d, want %d", known.keys.First, next)
		}
		next = known.keys.Last + 1
	}
	if next != 0 {
		t.Errorf("the ranges end at %d", next)
	}
	for key, hash := range engine.trace.hashes {
		if !engine.owners.shardOf[key].keys.Contains(hash) {
			t.Fatalf("key %d lies in the wrong shard", key)
		}
	}
	if len(engine.owners.shards) == small().Servers*shardsPerServer {
		t.Error("the hot key was never split off")
	}
}

// A server with k slots answers k requests at a time, in order; the deadline
// and the loss of the server are told apart.
func TestServerQueues(t *testing.T) {
	workload := small()
	workload.Slots = 2
	known := newServer(workload, 0)
	known.start(0)
	known.readyAt = -warmUp
	const work, second = 100 * time.Millisecond, time.Second
	var ends []time.Duration
	for range 4 {
		ends = append(ends, known.execute(workload, 0, 0, second, work).at)
	}
	connected := workload.ConnectCost
	want := []time.Duration{connected + work, connected + work, connected + 2*work, connected + 2*work}
	if !reflect.DeepEqual(ends, want) {
		t.Errorf("ends %v, want %v", ends, want)
	}
	if late := known.execute(workload, 0, 0, 2*work, work); late.kind != notRun {
		t.Errorf("past the deadline: %+v", late)
	}
	known.downAt = 250 * time.Millisecond
	if lost := known.execute(workload, 0, 0, second, work); lost.kind != unknown {
		t.Errorf("lost with the server: %+v", lost)
	}
}

// Where another strategy is better than ours, the summary says so.
func TestSummaryNamesWhoIsAhead(t *testing.T) {
	summary := Summarize([]Result{
		{Service: "s", Strategy: Greedy, Imbalance: 1.1, Churn: 2, Goodput: 1, Requests: 1, Answered: 1},
		{Service: "s", Strategy: Ours, Imbalance: 1.3, Churn: 1, Goodput: 1, Requests: 1, Answered: 1},
	}, []uint64{1})
	if len(summary.Ahead) != 1 || summary.Ahead[0].Measure != "imbalance" || summary.Ahead[0].Strategy != Greedy {
		t.Errorf("ahead: %+v", summary.Ahead)
	}
	if _, err := Run(Options{Deployment: "other", Duration: testDuration}); err == nil {
		t.Error("an unknown deployment was taken")
	}
}
