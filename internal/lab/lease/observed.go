package lease

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// Observe makes the process serve the given key ranges without a lease, by
// decision of its team's own scripts. The scripts call it at the start of the
// process and at each change of ownership.
func (h *Holder) Observe(claims []backendapi.Assignment) {
	h.dropLease()
	h.observed = true
	h.claims = slices.Clone(claims)
}

// Observed reports whether the process serves without a lease.
func (h *Holder) Observed() bool {
	return h.observed
}

// changesAuthority reports whether a message is for, or ends, serving without a
// lease.
func changesAuthority(request backendapi.LeaseRequest, observed bool) bool {
	return request.Observed || observed || request.Session == 0
}

// changeAuthority takes or refuses such a message and reports which. Claims end
// at once, so that the sender may give a lease after the answer. They begin only
// from a lease that this process held, within the duration that the message
// names: a message that was held up must not bring back an authority which has
// gone elsewhere meanwhile.
func (h *Holder) changeAuthority(now time.Duration, request backendapi.LeaseRequest) bool {
	fits := request.Server == h.server && request.Incarnation == h.incarnation && above(request.Fence, h.fence)
	if !fits {
		return false
	}
	switch {
	case !request.Observed:
		h.observed = false
		h.claims = nil
	case h.observed:
	case request.ReadingNs == 0 || !h.readingAcceptable(now, request) || !assignmentsAcceptable(request):
		return false
	case now > time.Duration(request.ReadingNs)+time.Duration(request.DurationNs):
		return false
	default:
		h.Observe(unnumbered(request.Assignments))
	}
	h.fence = request.Fence
	h.leaseDrain = request.Drain
	return true
}

// dropLease forgets what was granted; the session's number stays, so that no
// lower one is taken.
func (h *Holder) dropLease() {
	h.leaseEnd = 0
	h.version = 0
	clear(h.assignments)
}

// unnumbered leaves out shard and epoch, which only mean something under a
// lease.
func unnumbered(assignments []backendapi.Assignment) []backendapi.Assignment {
	claims := make([]backendapi.Assignment, 0, len(assignments))
	for _, assignment := range assignments {
		claims = append(claims, backendapi.Assignment{First: assignment.First, Last: assignment.Last})
	}
	return claims
}

// checkClaim tells whether an observed process may execute a request for a key.
func (h *Holder) checkClaim(keyHash uint64) backendapi.Refusal {
	if h.Draining() {
		return backendapi.RefusalDraining
	}
	if _, found := covering(h.claims, keyHash); !found {
		return backendapi.RefusalWrongEpoch
	}
	return ""
}
