package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// An observed service is owned by its team's own scripts: its servers serve
// their own claims, get no lease, and keep their shards in the table whatever
// becomes of them. Authority changes hands in one direction at a time:
//
//   - To managed: the session of a server opens only after the server, in answer
//     to a message of this leader, gave up its claims. From then on it serves
//     under a lease only, which can be waited out.
//   - To observed: only the process that held the lease of the last session is
//     told to claim what it owned, and only while a lease could still have been
//     given to it.

// contactObserved sends a message to a server of an observed service.
func (c *Coordinator) contactObserved(now time.Duration, known *contact, server state.Server, service state.Service, view *state.State, actions *Actions) {
	if now < known.next || known.inFlight {
		return
	}
	request := backendapi.LeaseRequest{Server: string(server.ID)}
	switch {
	case known.observed:
		request.Incarnation = known.incarnation
		request.Observed = true
		request.Drain = server.Intent != state.ServerActive
	case c.mayHandBack(known, server, service, view):
		c.fillHandBack(&request, known, server, view)
	}
	c.send(now, known, server, request, actions)
}

// mayHandBack reports whether a process may be told to claim what it owns: it
// held the last session's lease, no owner changed since, and a quorum confirmed
// this leader after the process's clock was read.
func (c *Coordinator) mayHandBack(known *contact, server state.Server, service state.Service, view *state.State) bool {
	if known.incarnation == "" || known.incarnation != server.Session.Incarnation {
		return false
	}
	if service.HandedBack == 0 || view.AssignmentVersion(server.ID) > service.HandedBack {
		return false
	}
	return known.readingAt >= 0 && known.readingAt <= c.confirmedAt
}

func (c *Coordinator) fillHandBack(request *backendapi.LeaseRequest, known *contact, server state.Server, view *state.State) {
	request.Incarnation = known.incarnation
	request.Session = uint64(server.Session.Number)
	request.Observed = true
	request.ReadingNs = known.reading
	request.DurationNs = int64(c.config.LeaseDuration)
	request.Replace = true
	request.Drain = server.Intent != state.ServerActive
	for _, shard := range view.OwnedBy(server.ID) {
		request.Assignments = append(request.Assignments, assignmentOf(shard))
	}
}

// endClaims asks a process that may serve by its own authority to give that up.
// It carries no session, so that it grants nothing.
func endClaims(request *backendapi.LeaseRequest, known *contact) {
	request.Incarnation = known.incarnation
}

// claimsEnded reports whether the process gave up its claims in answer to a
// message of this leader. Messages of earlier leaders, which might let it claim
// again, are refused from then on.
func (c *Coordinator) claimsEnded(known *contact) bool {
	return !known.observed && known.fenceTerm == c.term
}

// differences counts the key ranges in which a server's claims differ from the
// shards that the table gives to it.
func differences(shards []state.Shard, claims []backendapi.Assignment) int {
	table := make([]state.KeyRange, 0, len(shards))
	for _, shard := range shards {
		table = append(table, shard.Range)
	}
	claimed := make([]state.KeyRange, 0, len(claims))
	for _, claim := range claims {
		claimed = append(claimed, state.KeyRange{First: claim.First, Last: claim.Last})
	}
	return uncovered(joined(table), joined(claimed)) + uncovered(joined(claimed), joined(table))
}

// joined sorts ranges and joins those that touch.
func joined(ranges []state.KeyRange) []state.KeyRange {
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

// uncovered counts the ranges of which no range of the covering holds the whole.
func uncovered(ranges, covering []state.KeyRange) int {
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
