package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// The owners of an observed service's keys are set by its team's own scripts:
// its servers serve the key ranges that they claim, get no lease, and keep their
// shards in the routing table even when they fail. Two processes must not serve
// the same key while the mode changes:
//
//   - To managed: the session of a server opens only after its process gave up
//     its claims in answer to a message of this leader. From then on it serves
//     only under a lease, which can be waited out.
//   - To observed: only the process that held the lease of the last session is
//     instructed to claim the ranges that it owned, and only while it could still be
//     granted a lease.

// messageObservedServer sends a message to a server of an observed service, if
// one is due.
func (c *Coordinator) messageObservedServer(now time.Duration, tracker *serverTracker, server state.Server, service state.Service, view *state.State, actions *Actions) {
	if now < tracker.nextMessageAt || tracker.messageInFlight {
		return
	}
	request := backendapi.LeaseRequest{Server: string(server.ID)}
	switch {
	case tracker.observed:
		request.Incarnation = tracker.incarnation
		request.Observed = true
		request.Drain = server.Intent != state.ServerActive
	case c.mayHandBack(tracker, server, service, view):
		c.fillHandBack(&request, tracker, server, view)
	}
	c.send(now, tracker, server, request, actions)
}

// mayHandBack reports whether a process may be instructed to claim the ranges that its
// server owns: it held the lease of the last session, the server's assignments
// have not changed since the service became observed, and a quorum confirmed this
// leader after the reading of the process's clock arrived.
func (c *Coordinator) mayHandBack(tracker *serverTracker, server state.Server, service state.Service, view *state.State) bool {
	if tracker.incarnation == "" || tracker.incarnation != server.Session.Incarnation {
		return false
	}
	if service.HandedBack == 0 || view.AssignmentVersion(server.ID) > service.HandedBack {
		return false
	}
	return tracker.readingAt >= 0 && tracker.readingAt <= c.confirmedAt
}

func (c *Coordinator) fillHandBack(request *backendapi.LeaseRequest, tracker *serverTracker, server state.Server, view *state.State) {
	request.Incarnation = tracker.incarnation
	request.Session = uint64(server.Session.Number)
	request.Observed = true
	request.ReadingNs = tracker.clockReading
	request.DurationNs = int64(c.config.LeaseDuration)
	request.Replace = true
	request.Drain = server.Intent != state.ServerActive
	for _, shard := range view.OwnedBy(server.ID) {
		request.Assignments = append(request.Assignments, assignmentOf(shard))
	}
}

// fillClaimEnd makes the request one that instructs the process to give up its
// claims. It has no session, so it grants no lease.
func fillClaimEnd(request *backendapi.LeaseRequest, tracker *serverTracker) {
	request.Incarnation = tracker.incarnation
}

// claimsEnded reports whether the process gave up its claims in answer to a
// message of this leader. From then on it refuses messages of earlier leaders,
// which could instruct it to claim ranges again.
func (c *Coordinator) claimsEnded(tracker *serverTracker) bool {
	return !tracker.observed && tracker.fenceTerm == c.term
}

// countDifferences counts the key ranges in which a server's claims differ from
// the shards that it owns in the routing table.
func countDifferences(shards []state.Shard, claims []backendapi.Assignment) int {
	table := make([]state.KeyRange, 0, len(shards))
	for _, shard := range shards {
		table = append(table, shard.Range)
	}
	claimed := make([]state.KeyRange, 0, len(claims))
	for _, claim := range claims {
		claimed = append(claimed, state.KeyRange{First: claim.First, Last: claim.Last})
	}
	return countUncovered(coalesceRanges(table), coalesceRanges(claimed)) + countUncovered(coalesceRanges(claimed), coalesceRanges(table))
}

// coalesceRanges sorts ranges and merges those that overlap or are adjacent. It
// changes its argument.
func coalesceRanges(ranges []state.KeyRange) []state.KeyRange {
	slices.SortFunc(ranges, func(a, b state.KeyRange) int { return cmp.Compare(a.First, b.First) })
	var result []state.KeyRange
	for _, next := range ranges {
		last := len(result) - 1
		if last >= 0 && (result[last].Last == math.MaxUint64 || next.First <= result[last].Last+1) {
			result[last].Last = max(result[last].Last, next.Last)
			continue
		}
		result = append(result, next)
	}
	return result
}

// countUncovered counts the ranges that lie in no single range of covering, which
// is sorted and free of overlaps.
func countUncovered(ranges, covering []state.KeyRange) int {
	count := 0
	for _, keys := range ranges {
		position, _ := slices.BinarySearchFunc(covering, keys.Last, func(candidate state.KeyRange, last uint64) int {
			return cmp.Compare(candidate.Last, last)
		})
		if position == len(covering) || covering[position].First > keys.First {
			count++
		}
	}
	return count
}
