package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

const (
	// MaxAssignments bounds the assignment set of one server.
	MaxAssignments = 65_536
	// MaxDuration bounds the duration of a lease.
	MaxDuration = time.Hour
)

// RunID names one running request.
type RunID uint64

// Holder is the ownership state of one server process.
type Holder struct {
	server      string
	incarnation string
	started     time.Duration

	fence       backendapi.Fence
	session     uint64
	leaseEnd    time.Duration
	version     uint64
	assignments map[uint64]backendapi.Assignment

	// observed is true while the process serves claims without a lease.
	observed bool
	claims   []backendapi.Assignment

	leaseDrain bool
	localDrain bool

	nextRun RunID
	running map[RunID]run
}

// run is one running request. It belongs to the newest assignment that covered
// its key, so that a shard which was split is reported under its new number.
type run struct {
	keyed      bool
	hash       uint64
	assignment backendapi.Assignment
}

// NewHolder returns the state of a process that holds nothing. Incarnation must
// be random and new for each process; started is the process's first clock
// reading.
func NewHolder(server, incarnation string, started time.Duration) *Holder {
	return &Holder{
		server:      server,
		incarnation: incarnation,
		started:     started,
		assignments: make(map[uint64]backendapi.Assignment),
		running:     make(map[RunID]run),
	}
}

// HandleLease takes or refuses a lease message and answers the state after it.
// A refused message changes nothing. The Load of the answer is left empty.
func (h *Holder) HandleLease(now time.Duration, request backendapi.LeaseRequest) backendapi.LeaseAnswer {
	if isProbe(request) {
		return h.answer(now, request.Server == h.server)
	}
	if changesAuthority(request, h.observed) {
		return h.answer(now, h.changeAuthority(now, request))
	}
	if !h.acceptable(now, request) {
		return h.answer(now, false)
	}
	h.take(request)
	return h.answer(now, true)
}

func isProbe(request backendapi.LeaseRequest) bool {
	return request.Incarnation == ""
}

func (h *Holder) acceptable(now time.Duration, request backendapi.LeaseRequest) bool {
	return request.Server == h.server &&
		request.Incarnation == h.incarnation &&
		above(request.Fence, h.fence) &&
		request.Session > 0 &&
		request.Session >= h.session &&
		h.readingAcceptable(now, request) &&
		assignmentsAcceptable(request)
}

// readingAcceptable tells whether the reading can be one of this process.
func (h *Holder) readingAcceptable(now time.Duration, request backendapi.LeaseRequest) bool {
	if request.ReadingNs == 0 {
		return true
	}
	reading := time.Duration(request.ReadingNs)
	duration := time.Duration(request.DurationNs)
	return reading >= h.started && reading <= now && duration > 0 && duration <= MaxDuration
}

func assignmentsAcceptable(request backendapi.LeaseRequest) bool {
	if !request.Replace {
		return len(request.Assignments) == 0
	}
	if len(request.Assignments) > MaxAssignments {
		return false
	}
	sorted := slices.Clone(request.Assignments)
	slices.SortFunc(sorted, func(a, b backendapi.Assignment) int { return cmp.Compare(a.First, b.First) })
	seen := make(map[uint64]bool, len(sorted))
	for index, assignment := range sorted {
		overlaps := index > 0 && sorted[index-1].Last >= assignment.First
		if assignment.First > assignment.Last || overlaps || seen[assignment.Shard] {
			return false
		}
		seen[assignment.Shard] = true
	}
	return true
}

func (h *Holder) take(request backendapi.LeaseRequest) {
	h.fence = request.Fence
	if request.Session > h.session {
		h.startSession(request.Session)
	}
	if request.ReadingNs != 0 {
		end := time.Duration(request.ReadingNs) + time.Duration(request.DurationNs)
		h.leaseEnd = max(h.leaseEnd, end)
	}
	if request.Replace {
		h.replace(request)
	}
	h.leaseDrain = request.Drain
}

func (h *Holder) startSession(session uint64) {
	h.session = session
	h.leaseEnd = 0
	h.version = 0
	clear(h.assignments)
}

func (h *Holder) replace(request backendapi.LeaseRequest) {
	clear(h.assignments)
	for _, assignment := range request.Assignments {
		h.assignments[assignment.Shard] = assignment
	}
	h.version = request.Version
	for id, running := range h.running {
		if covering, found := covering(request.Assignments, running.hash); found && running.keyed {
			running.assignment = covering
			h.running[id] = running
		}
	}
}

func covering(assignments []backendapi.Assignment, hash uint64) (backendapi.Assignment, bool) {
	for _, assignment := range assignments {
		if contains(assignment, hash) {
			return assignment, true
		}
	}
	return backendapi.Assignment{}, false
}

func contains(assignment backendapi.Assignment, hash uint64) bool {
	return assignment.First <= hash && hash <= assignment.Last
}

func above(a, b backendapi.Fence) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Sequence > b.Sequence
}

func (h *Holder) answer(now time.Duration, accepted bool) backendapi.LeaseAnswer {
	return backendapi.LeaseAnswer{
		Observed:    h.observed,
		Claims:      h.claims,
		Server:      h.server,
		Incarnation: h.incarnation,
		Accepted:    accepted,
		Fence:       h.fence,
		Session:     h.session,
		ClockNs:     int64(now),
		Version:     h.version,
		Running:     h.unassignedRunning(),
		Draining:    h.Draining(),
	}
}
