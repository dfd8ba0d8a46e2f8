package lease

import (
	"reflect"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

const (
	started  = 1000 * time.Second
	now      = started + 10*time.Second
	duration = 4 * time.Second
)

// granted returns a holder with session 5, version 3 and shard 7 at epoch 2 for
// hashes 100 to 199, whose lease ends at now + duration.
func granted(t *testing.T) *Holder {
	t.Helper()
	holder := NewHolder("a", "i1", started)
	if answer := holder.HandleLease(now, grant(nil)); !answer.Accepted {
		t.Fatalf("first grant refused: %+v", answer)
	}
	return holder
}

func grant(change func(*backendapi.LeaseRequest)) backendapi.LeaseRequest {
	request := backendapi.LeaseRequest{
		Server: "a", Incarnation: "i1", Session: 5, Version: 3, Replace: true,
		Fence:     backendapi.Fence{Term: 2, Sequence: 10},
		ReadingNs: int64(now), DurationNs: int64(duration),
		Assignments: []backendapi.Assignment{{Shard: 7, Epoch: 2, First: 100, Last: 199}},
	}
	if change != nil {
		change(&request)
	}
	return request
}

// renewal is a later message of the same session, taken at now + 2 s.
func renewal(change func(*backendapi.LeaseRequest)) backendapi.LeaseRequest {
	return grant(func(request *backendapi.LeaseRequest) {
		request.Fence.Sequence = 11
		request.ReadingNs = int64(now + time.Second)
		change(request)
	})
}

func TestHandleLease(t *testing.T) {
	tests := []struct {
		name     string
		change   func(*backendapi.LeaseRequest)
		accepted bool
		leaseEnd time.Duration
		refusal  backendapi.Refusal
	}{
		{"renewal", func(*backendapi.LeaseRequest) {}, true, now + time.Second + duration, ""},
		{"equal fence", func(r *backendapi.LeaseRequest) { r.Fence.Sequence = 10 }, false, now + duration, ""},
		{"late grant of an old term", func(r *backendapi.LeaseRequest) { r.Fence = backendapi.Fence{Term: 1, Sequence: 99} }, false, now + duration, ""},
		{"other incarnation", func(r *backendapi.LeaseRequest) { r.Incarnation = "i0" }, false, now + duration, ""},
		{"other server", func(r *backendapi.LeaseRequest) { r.Server = "b" }, false, now + duration, ""},
		{"lower session", func(r *backendapi.LeaseRequest) { r.Session = 4 }, false, now + duration, ""},
		{"reading of the future", func(r *backendapi.LeaseRequest) { r.ReadingNs = int64(now + time.Hour) }, false, now + duration, ""},
		{"reading of another process", func(r *backendapi.LeaseRequest) { r.ReadingNs = int64(started - 1) }, false, now + duration, ""},
		{"duration of zero", func(r *backendapi.LeaseRequest) { r.DurationNs = 0 }, false, now + duration, ""},
		{"duration beyond the bound", func(r *backendapi.LeaseRequest) { r.DurationNs = int64(MaxDuration + 1) }, false, now + duration, ""},
		{"reused older reading", func(r *backendapi.LeaseRequest) { r.ReadingNs = int64(now - time.Second) }, true, now + duration, ""},
		{"no reading", func(r *backendapi.LeaseRequest) { r.ReadingNs = 0 }, true, now + duration, ""},
		{"new session without a grant", func(r *backendapi.LeaseRequest) {
			r.Session, r.ReadingNs, r.Replace, r.Assignments = 6, 0, false, nil
		}, true, 0, backendapi.RefusalLeaseExpired},
		{"new session with a lease alone", func(r *backendapi.LeaseRequest) {
			r.Session, r.Replace, r.Assignments = 6, false, nil
		}, true, now + time.Second + duration, backendapi.RefusalWrongEpoch},
		{"empty set", func(r *backendapi.LeaseRequest) { r.Assignments = nil }, true, now + time.Second + duration, backendapi.RefusalWrongEpoch},
		{"assignments without replace", func(r *backendapi.LeaseRequest) { r.Replace = false }, false, now + duration, ""},
		{"renewal keeps the set", func(r *backendapi.LeaseRequest) { r.Replace, r.Assignments = false, nil }, true, now + time.Second + duration, ""},
		{"drain", func(r *backendapi.LeaseRequest) { r.Drain = true }, true, now + time.Second + duration, backendapi.RefusalDraining},
		{"overlapping ranges", func(r *backendapi.LeaseRequest) {
			r.Assignments = append(r.Assignments, backendapi.Assignment{Shard: 8, Epoch: 1, First: 199, Last: 300})
		}, false, now + duration, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			holder := granted(t)
			answer := holder.HandleLease(now+2*time.Second, renewal(test.change))
			if answer.Accepted != test.accepted || holder.LeaseEnd() != test.leaseEnd {
				t.Errorf("accepted %v, lease end %v; want %v, %v", answer.Accepted, holder.LeaseEnd(), test.accepted, test.leaseEnd)
			}
			if refusal := holder.Check(now+2*time.Second, 7, 2, 150); refusal != test.refusal {
				t.Errorf("check: %q, want %q", refusal, test.refusal)
			}
		})
	}
}

func TestProbeOnlyReads(t *testing.T) {
	holder := granted(t)
	probe := renewal(func(r *backendapi.LeaseRequest) { r.Incarnation, r.Session, r.Drain = "", 9, true })
	answer := holder.HandleLease(now, probe)
	if answer.Session != 5 || answer.Fence.Sequence != 10 || answer.Draining || answer.ClockNs != int64(now) {
		t.Errorf("probe changed the state: %+v", answer)
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name               string
		at                 time.Duration
		shard, epoch, hash uint64
		want               backendapi.Refusal
	}{
		{"first of range", now, 7, 2, 100, ""},
		{"last of range", now, 7, 2, 199, ""},
		{"below range", now, 7, 2, 99, backendapi.RefusalWrongEpoch},
		{"above range", now, 7, 2, 200, backendapi.RefusalWrongEpoch},
		{"lower epoch", now, 7, 1, 150, backendapi.RefusalWrongEpoch},
		{"higher epoch", now, 7, 3, 150, backendapi.RefusalWrongEpoch},
		{"other shard", now, 8, 2, 150, backendapi.RefusalWrongEpoch},
		{"just before the end", now + duration - 1, 7, 2, 150, ""},
		{"at the end", now + duration, 7, 2, 150, backendapi.RefusalLeaseExpired},
		{"after a freeze", now + time.Hour, 7, 2, 150, backendapi.RefusalLeaseExpired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := granted(t).Check(test.at, test.shard, test.epoch, test.hash); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	if got := NewHolder("a", "i1", started).CheckUnkeyed(now); got != backendapi.RefusalLeaseExpired {
		t.Errorf("without a session: %q", got)
	}
}

// A merge keeps what runs, under the new assignment, and fences every request
// that was sent under the old ones.
func TestRunningFollowsMergedShard(t *testing.T) {
	holder := granted(t)
	two := renewal(func(r *backendapi.LeaseRequest) {
		r.Assignments = append(r.Assignments, backendapi.Assignment{Shard: 9, Epoch: 5, First: 200, Last: 299})
	})
	holder.HandleLease(now+2*time.Second, two)
	first, second := holder.Begin(7, 150), holder.Begin(9, 250)
	merged := backendapi.Assignment{Shard: 7, Epoch: 6, First: 100, Last: 299}
	merge := renewal(func(r *backendapi.LeaseRequest) {
		r.Fence.Sequence = 12
		r.Assignments = []backendapi.Assignment{merged}
	})
	if answer := holder.HandleLease(now+2*time.Second, merge); !answer.Accepted || len(answer.Running) != 0 {
		t.Fatalf("both keys are still assigned: %+v", answer)
	}
	for _, old := range []backendapi.Assignment{{Shard: 7, Epoch: 2, First: 150}, {Shard: 9, Epoch: 5, First: 250}} {
		if refusal := holder.Check(now+2*time.Second, old.Shard, old.Epoch, old.First); refusal != backendapi.RefusalWrongEpoch {
			t.Errorf("a request of the old shard %d: %q", old.Shard, refusal)
		}
	}
	if refusal := holder.Check(now+2*time.Second, 7, 6, 250); refusal != "" {
		t.Errorf("a request of the merged shard: %q", refusal)
	}
	revoked := renewal(func(r *backendapi.LeaseRequest) { r.Fence.Sequence, r.Assignments = 13, nil })
	holder.End(first)
	if answer := holder.HandleLease(now+2*time.Second, revoked); !reflect.DeepEqual(answer.Running, []backendapi.Assignment{merged}) {
		t.Errorf("running is %+v, want %+v", answer.Running, merged)
	}
	holder.End(second)
}

func TestRunningFollowsSplitShard(t *testing.T) {
	holder := granted(t)
	run := holder.Begin(7, 150)
	split := renewal(func(r *backendapi.LeaseRequest) {
		r.Assignments = []backendapi.Assignment{{Shard: 7, Epoch: 2, First: 100, Last: 149}, {Shard: 9, Epoch: 2, First: 150, Last: 150}}
	})
	if answer := holder.HandleLease(now+2*time.Second, split); len(answer.Running) != 0 {
		t.Fatalf("the key is still assigned, but running is %+v", answer.Running)
	}
	revoked := renewal(func(r *backendapi.LeaseRequest) {
		r.Fence.Sequence = 12
		r.Assignments = split.Assignments[:1]
	})
	want := []backendapi.Assignment{split.Assignments[1]}
	if answer := holder.HandleLease(now+2*time.Second, revoked); !reflect.DeepEqual(answer.Running, want) {
		t.Fatalf("running is %+v, want %+v", answer.Running, want)
	}
	holder.End(run)
	revoked.Fence.Sequence = 13
	if answer := holder.HandleLease(now+2*time.Second, revoked); len(answer.Running) != 0 {
		t.Fatalf("nothing runs, but running is %+v", answer.Running)
	}
}
