package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// Check tells whether a request of a keyed service may execute now, on the
// holder's own clock; the empty Refusal means that it may.
func (h *Holder) Check(now time.Duration, shard, epoch, keyHash uint64) backendapi.Refusal {
	if h.observed {
		return h.checkClaim(keyHash)
	}
	if refusal := h.CheckUnkeyed(now); refusal != "" {
		return refusal
	}
	assignment, found := h.assignments[shard]
	if !found || assignment.Epoch != epoch || !contains(assignment, keyHash) {
		return backendapi.RefusalWrongEpoch
	}
	return ""
}

// CheckUnkeyed tells whether a request of a service without keys may execute
// now. It too needs a lease, so that a server whose session was closed refuses.
func (h *Holder) CheckUnkeyed(now time.Duration) backendapi.Refusal {
	if h.Draining() {
		return backendapi.RefusalDraining
	}
	if h.observed {
		return ""
	}
	if h.session == 0 || now >= h.leaseEnd {
		return backendapi.RefusalLeaseExpired
	}
	return ""
}

// Begin counts a request of a keyed service as running. The caller must have
// called Check with the same values and no message in between.
func (h *Holder) Begin(shard, keyHash uint64) RunID {
	if h.observed {
		return h.begin(run{keyed: true, hash: keyHash, assignment: backendapi.Assignment{First: keyHash, Last: keyHash}})
	}
	return h.begin(run{keyed: true, hash: keyHash, assignment: h.assignments[shard]})
}

// BeginUnkeyed counts a request of a service without keys as running.
func (h *Holder) BeginUnkeyed() RunID {
	return h.begin(run{})
}

func (h *Holder) begin(started run) RunID {
	h.nextRun++
	h.running[h.nextRun] = started
	return h.nextRun
}

// End counts a request as finished.
func (h *Holder) End(id RunID) {
	delete(h.running, id)
}

// Drain makes the process refuse new work for the rest of its life.
func (h *Holder) Drain() {
	h.localDrain = true
}

// Draining reports whether the process refuses new work.
func (h *Holder) Draining() bool {
	return h.localDrain || h.leaseDrain
}

// LeaseEnd returns the reading at which the lease ends; zero for none.
func (h *Holder) LeaseEnd() time.Duration {
	return h.leaseEnd
}

// Session returns the number of the session in force; zero for none.
func (h *Holder) Session() uint64 {
	return h.session
}

// Assignments returns the assignment set in force, ordered by shard.
func (h *Holder) Assignments() []backendapi.Assignment {
	assignments := make([]backendapi.Assignment, 0, len(h.assignments))
	for _, assignment := range h.assignments {
		assignments = append(assignments, assignment)
	}
	slices.SortFunc(assignments, func(a, b backendapi.Assignment) int { return cmp.Compare(a.Shard, b.Shard) })
	return assignments
}

// Running returns how many requests run.
func (h *Holder) Running() int {
	return len(h.running)
}

// unassignedRunning lists, ordered by shard and epoch, the assignments under
// which requests run whose keys are no longer assigned.
func (h *Holder) unassignedRunning() []backendapi.Assignment {
	var listed []backendapi.Assignment
	for _, running := range h.running {
		if running.keyed && !h.observed && !h.assigned(running) {
			listed = append(listed, running.assignment)
		}
	}
	slices.SortFunc(listed, func(a, b backendapi.Assignment) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.First, b.First))
	})
	return slices.Compact(listed)
}

func (h *Holder) assigned(running run) bool {
	assignment, found := h.assignments[running.assignment.Shard]
	return found && assignment.Epoch == running.assignment.Epoch && contains(assignment, running.hash)
}
