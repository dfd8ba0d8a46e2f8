package record

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
)

const second = int64(time.Second)

// history is a small run that keeps every guarantee: key k runs on a at epoch 1
// and then on b at epoch 2; a is drained and a router stops in between.
type history struct {
	executions []Execution
	attempts   []Attempt
	events     []Event
	inputs     Inputs
}

func newHistory() *history {
	h := &history{}
	h.answered("r1", "a", 1, 10*second)
	h.answered("r2", "b", 2, 30*second)
	h.refused("r3", fault.Draining, 31*second)
	h.events = []Event{
		{Kind: EventDrain, Server: "a", FromNs: 12 * second},
		{Kind: EventPlannedStop, Router: "router-1", FromNs: 20 * second, ToNs: 40 * second},
		{Kind: EventPlannedStop, Server: "b", FromNs: 20 * second, ToNs: 40 * second},
	}
	h.inputs.Assignments.Acknowledged = []Assignment{{Shard: 7, Epoch: 2, Server: "b", AtNs: 20 * second}}
	h.inputs.Assignments.Observed = []Assignment{{Shard: 7, Epoch: 2, Server: "b", AtNs: 50 * second, Source: "c"}}
	h.inputs.Revisions.Accepted = []Revision{{Name: "service/s", Revision: 9, Digest: "d9", AtNs: 20 * second}}
	h.inputs.Revisions.Observed = []Revision{
		{Name: "service/s", Revision: 8, Digest: "d8", AtNs: 21 * second, Source: "router-1"},
		{Name: "service/s", Revision: 9, Digest: "d9", AtNs: 30 * second, Source: "router-1"},
	}
	return h
}

// runs adds an execution of one second under a lease that lasts a minute.
func (h *history) runs(request, server string, epoch uint64, at int64) {
	start := Execution{
		Kind: ExecutionStart, Server: server, Incarnation: server + "-process", Service: "s", Keyed: true,
		Shard: 7, Epoch: epoch, Key: "k", Request: request, IdempotencyKey: request, Attempt: request + "-attempt",
		Number: uint64(len(h.executions)), MonotonicNs: at, LeaseEndNs: at + 60*second,
	}
	finish := start
	finish.Kind = ExecutionFinish
	finish.MonotonicNs = at + second
	h.executions = append(h.executions, start, finish)
}

func (h *history) attempt(request string, at int64) *Attempt {
	sent := Attempt{
		Kind: AttemptSent, Attempt: request + "-attempt", Request: request, IdempotencyKey: request,
		Service: "s", Key: "k", Router: "router-1", SentNs: at - second,
	}
	done := sent
	done.Kind = AttemptDone
	done.ReceivedNs = at + 2*second
	done.Transport = TransportAnswered
	h.attempts = append(h.attempts, sent, done)
	return &h.attempts[len(h.attempts)-1]
}

func (h *history) answered(request, server string, epoch uint64, at int64) {
	h.runs(request, server, epoch, at)
	done := h.attempt(request, at)
	done.Outcome, done.Body = fault.Completed, BodyOwn
}

func (h *history) refused(request string, kind fault.Kind, at int64) *Attempt {
	done := h.attempt(request, at)
	done.Outcome, done.ErrorKind = fault.AnswerFor(kind).Outcome, kind
	return done
}

func (h *history) verify(t *testing.T) Summary {
	t.Helper()
	folder := t.TempDir()
	h.inputs.BackendFiles = []string{writeLines(t, filepath.Join(folder, "backend"), h.executions)}
	h.inputs.CallerFiles = []string{writeLines(t, filepath.Join(folder, "caller"), h.attempts)}
	h.inputs.EventFiles = []string{writeLines(t, filepath.Join(folder, "events"), h.events)}
	summary, violations, err := Verify(h.inputs)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range violations {
		t.Logf("violation: %+v", violation)
	}
	return summary
}

func writeLines[L Line](t *testing.T, path string, lines []L) string {
	t.Helper()
	writer, err := OpenWriter[L](path)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range lines {
		if err := writer.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestVerifyPassesCleanRun(t *testing.T) {
	want := Summary{Requests: 3, Answered: 2, NotRun: 1, Attempts: 3, Executions: 2, OK: true}
	got := newHistory().verify(t)
	got.MaxUnavailableMs, got.MaxKeyUnavailableMs = 0, 0
	if got != want {
		t.Errorf("summary is %+v, want %+v", got, want)
	}
}

func TestVerifyCatchesPlantedFault(t *testing.T) {
	tests := []struct {
		name  string
		count Count
		plant func(*history)
	}{
		{"request ran again elsewhere", CountRanTwice, func(h *history) { h.runs("r2", "b", 2, 35*second) }},
		{"request of an unknown caller ran again", CountRanTwice, func(h *history) {
			h.runs("r9", "b", 2, 35*second)
			h.runs("r9", "b", 2, 36*second)
		}},
		{"all attempts not run, but it ran", CountNotRunButRan, func(h *history) { h.runs("r3", "b", 2, 32*second) }},
		{"one attempt not run, but that one ran", CountNotRunButRan, func(h *history) {
			h.runs("r3", "b", 2, 32*second)
			h.refused("r3", fault.OutcomeUnknown, 33*second).Attempt = "r3-other"
		}},
		{"damaged answer", CountWrongAnswer, func(h *history) { h.attempts[1].Body = BodyDamaged }},
		{"answer to another request", CountWrongAnswer, func(h *history) { h.attempts[1].Body = BodyForeign }},
		{"router closed in mid-exchange", CountCutOff, func(h *history) {
			done := h.refused("r4", fault.ConnectionLost, 35*second)
			done.ErrorKind, done.Transport = "", TransportLost
		}},
		{"back end closed in mid-exchange", CountCutOff, func(h *history) {
			h.runs("r4", "b", 2, 35*second)
			h.refused("r4", fault.ConnectionLost, 35*second)
		}},
		{"overlap of two servers", CountDoubleOwner, func(h *history) { h.runs("r4", "b", 2, 10*second+second/2) }},
		{"epoch goes back", CountDoubleOwner, func(h *history) { h.runs("r4", "a", 1, 32*second); h.events = h.events[1:] }},
		{"one epoch on two processes", CountDoubleOwner, func(h *history) { h.runs("r4", "c", 2, 34*second) }},
		{"back to a shard that was left", CountDoubleOwner, func(h *history) {
			h.runs("r4", "b", 2, 34*second)
			h.executions[len(h.executions)-2].Shard = 8
			h.runs("r5", "b", 2, 36*second)
		}},
		{"back to a lower epoch of another shard", CountDoubleOwner, func(h *history) {
			h.runs("r4", "b", 1, 34*second)
			h.executions[len(h.executions)-2].Shard = 8
		}},
		{"new work long after the drain", CountLateToDrained, func(h *history) { h.runs("r4", "a", 1, 18*second) }},
		{"acknowledged assignment missing", CountLostAssignments, func(h *history) { h.inputs.Assignments.Observed[0].Missing = true }},
		{"acknowledged assignment at a lower epoch", CountLostAssignments, func(h *history) { h.inputs.Assignments.Observed[0].Epoch = 1 }},
		{"acknowledged assignment elsewhere", CountLostAssignments, func(h *history) { h.inputs.Assignments.Observed[0].Server = "a" }},
		{"acknowledged assignment never read", CountLostAssignments, func(h *history) { h.inputs.Assignments.Observed = nil }},
		{"configuration went back", CountConfigReverted, func(h *history) {
			h.inputs.Revisions.Observed[1].AtNs = 20 * second
		}},
		{"configuration late", CountConfigReverted, func(h *history) { h.inputs.Revisions.Observed[0].AtNs = 26 * second }},
		{"configuration with other content", CountConfigReverted, func(h *history) { h.inputs.Revisions.Observed[1].Digest = "d8" }},
		{"one revision with two contents", CountConfigReverted, func(h *history) {
			h.inputs.Revisions.Accepted = nil
			other := h.inputs.Revisions.Observed[1]
			other.Digest = "d8"
			other.AtNs += second
			other.Source = "another"
			h.inputs.Revisions.Observed = append(h.inputs.Revisions.Observed, other)
		}},
		{"configuration never read", CountConfigReverted, func(h *history) { h.inputs.Revisions.Observed = nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planted := newHistory()
			test.plant(planted)
			got := planted.verify(t)
			want := Summary{}
			want.add(test.count)
			if broken(got) != broken(want) {
				t.Errorf("counts are %+v, want one %s", broken(got), test.count)
			}
			if got.OK {
				t.Error("the run counts as good")
			}
		})
	}
}

// broken keeps the counts of broken guarantees alone.
func broken(summary Summary) Summary {
	return Summary{
		RanTwice: summary.RanTwice, NotRunButRan: summary.NotRunButRan, WrongAnswer: summary.WrongAnswer,
		CutOff: summary.CutOff, DoubleOwner: summary.DoubleOwner, LostAssignments: summary.LostAssignments,
		ConfigReverted: summary.ConfigReverted, LateToDrained: summary.LateToDrained,
	}
}

func TestOutageAndLease(t *testing.T) {
	h := newHistory()
	h.refused("r4", fault.NoOwner, 40*second)
	h.answered("r5", "b", 2, 44*second)
	h.executions[len(h.executions)-2].LeaseEndNs = 44*second + 1
	got := h.verify(t)
	// From the sending of r3 at 30 s, but not before the success at 32 s, to the
	// success at 46 s.
	if got.MaxUnavailableMs != 14_000 || got.MaxKeyUnavailableMs != 14_000 {
		t.Errorf("outage of %v ms, of a key %v ms, want 14000", got.MaxUnavailableMs, got.MaxKeyUnavailableMs)
	}
	if got.FinishedAfterLease != 1 {
		t.Errorf("%d executions finished after their lease, want 1", got.FinishedAfterLease)
	}
}

func TestDamagedFileIsNamed(t *testing.T) {
	path := writeLines(t, filepath.Join(t.TempDir(), "backend"), []Execution{{Kind: "sleep"}})
	if _, _, err := Verify(Inputs{BackendFiles: []string{path}}); err == nil {
		t.Error("an unknown kind of line was taken")
	}
}

// A key that was split off, and whose shard was merged again at an epoch above
// both, is back where it was by right.
func TestMergedShardMayServeItsKeysAgain(t *testing.T) {
	h := newHistory()
	h.answered("r4", "b", 2, 34*second)
	h.executions[len(h.executions)-2].Shard, h.executions[len(h.executions)-1].Shard = 8, 8
	h.answered("r5", "b", 3, 37*second)
	if summary := h.verify(t); summary.DoubleOwner != 0 {
		t.Errorf("%+v", summary)
	}
}
