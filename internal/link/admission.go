package link

import (
	"maps"
	"math"
	"time"
)

const (
	// minWaitShare and maxWaitShare are the shares of its target latency that the least and the
	// most urgent request may wait before the link. Less urgent requests are rejected first, and
	// the most urgent ones keep the remaining time for the server's work.
	minWaitShare = 0.15
	maxWaitShare = 0.35
	// deadlineWaitShare is the share of the caller's deadline that a request may always wait before
	// the link: a caller who waits for many times the target is better served late than rejected.
	// At 0.1, on links of 1.7 Mbit/s under a wave of load, 9 in 100 fewer of the most urgent
	// requests were in time, for 6 in 100 more of the patient ones that were served late; at 0.04,
	// no fewer of the most urgent ones were in time.
	deadlineWaitShare = 0.04
	// bulkWaitShare is the share of its target latency that a long answer may wait behind other
	// long ones: its own transfer takes most of the rest.
	bulkWaitShare = 0.4
	// BulkBytes is the size from which a message counts as long: some 50 ms on 5 Mbit/s.
	BulkBytes = 32 << 10
	// useTimeConstant is the time constant with which the count of recent requests of a group
	// decays. minUseShare is the share of all recent requests from which less urgent requests make
	// room for a group.
	useTimeConstant = 5 * time.Second
	minUseShare     = 0.02
	// sizeSmoothing is the weight of the latest request in the mean size of a route.
	sizeSmoothing = 0.1
	// defaultSize is the size in bytes assumed for a request with its answer before the first of a
	// route is seen.
	defaultSize = 2000
)

// Admission admits requests by their expected size and the queue before the link. It is not safe
// for concurrent use.
type Admission struct {
	queue *Queue
	// sizes are the mean bytes of a request and its answer, by route.
	sizes map[string]float64
	// uses are the groups with recent requests.
	uses map[group]*groupUse
}

// group identifies the requests of one route and one urgency; the urgency may differ between
// tenants.
type group struct {
	route   string
	urgency float64
}

// groupUse is the recent use of one group.
type groupUse struct {
	// targetWait is how long its requests may wait according to their target.
	targetWait time.Duration
	// recent is the count of requests up to updatedAt, with exponential decay.
	recent    float64
	updatedAt time.Duration
}

// recentAt returns the decayed count of requests.
func (u *groupUse) recentAt(now time.Duration) float64 {
	return u.recent * math.Exp(-(now-u.updatedAt).Seconds()/useTimeConstant.Seconds())
}

// NewAdmission returns an admission for a link of the given Mbit/s in each direction; zero for a
// link without a bound, for which every request is admitted.
func NewAdmission(megabits float64) *Admission {
	return &Admission{queue: NewQueue(megabits), sizes: make(map[string]float64), uses: make(map[group]*groupUse)}
}

// Request describes a request to the admission.
type Request struct {
	Now   time.Duration
	Route string
	// Target is the latency within which an answer is of full use.
	Target time.Duration
	// Deadline is the time after which the caller gives up.
	Deadline time.Duration
	// Urgency is the rank of the request among the routes, from 0 for the least urgent to 1.
	Urgency float64
	// Bulk is true for a route whose answers are usually long.
	Bulk bool
}

// bulk reports whether a request counts as long.
func (a *Admission) bulk(request Request) bool {
	return request.Bulk || a.sizes[request.Route] >= BulkBytes
}

// targetWait returns how long a request may wait according to its target.
func (r Request) targetWait() time.Duration {
	return time.Duration((minWaitShare + (maxWaitShare-minWaitShare)*r.Urgency) * float64(r.Target))
}

// Limit returns how long a request may wait before the link: a share of its target, or of its
// caller's deadline if that is longer, but not longer than more urgent requests may wait according
// to their target. All short requests wait in the same queue, which patient ones would otherwise
// fill. A long request may wait bulkWaitShare of its target.
func (a *Admission) Limit(request Request) time.Duration {
	if a.bulk(request) {
		return time.Duration(bulkWaitShare * float64(request.Target))
	}
	limit := max(request.targetWait(), time.Duration(deadlineWaitShare*float64(request.Deadline)))
	total := 0.0
	for _, use := range a.uses {
		total += use.recentAt(request.Now)
	}
	for key, use := range a.uses {
		if key.urgency > request.Urgency && use.recentAt(request.Now) >= minUseShare*total {
			limit = min(limit, use.targetWait)
		}
	}
	return limit
}

// recordUse counts a request for its group.
func (a *Admission) recordUse(request Request) {
	key := group{route: request.Route, urgency: request.Urgency}
	use, known := a.uses[key]
	if !known {
		a.forgetUnused(request.Now)
		use = &groupUse{}
		a.uses[key] = use
	}
	use.recent = use.recentAt(request.Now) + 1
	use.updatedAt, use.targetWait = request.Now, request.targetWait()
}

// forgetUnused drops the groups without recent requests, so that those of removed routes and
// tenants do not accumulate.
func (a *Admission) forgetUnused(now time.Duration) {
	const negligible = 0.001
	maps.DeleteFunc(a.uses, func(_ group, use *groupUse) bool { return use.recentAt(now) < negligible })
}

// Admit reports whether a request is admitted. If so, it reserves the expected bytes, which must be
// passed to Done.
func (a *Admission) Admit(request Request) (reserved float64, admitted bool) {
	if !a.queue.Bounded() {
		return 0, true
	}
	a.recordUse(request)
	if a.Full(request) {
		return 0, false
	}
	size, known := a.sizes[request.Route]
	if !known {
		size = defaultSize
	}
	a.add(request, size)
	return size, true
}

func (a *Admission) add(request Request, bytes float64) {
	if a.bulk(request) {
		a.queue.AddBulk(request.Now, bytes)
		return
	}
	a.queue.Add(request.Now, bytes)
}

// Full reports whether a request would wait too long before the link.
func (a *Admission) Full(request Request) bool {
	if !a.queue.Bounded() {
		return false
	}
	delay := a.queue.Delay(request.Now)
	if a.bulk(request) {
		delay = a.queue.BulkDelay(request.Now)
	}
	return delay > a.Limit(request)
}

// Delay returns how long a byte of a short message waits before the link.
func (a *Admission) Delay(now time.Duration) time.Duration { return a.queue.Delay(now) }

// Done replaces the bytes reserved for a request by those that it took. Whole is true if a server
// answered the request; only then its size counts for the mean of its route.
func (a *Admission) Done(request Request, reserved, took float64, whole bool) {
	if !a.queue.Bounded() {
		return
	}
	a.add(request, took-reserved)
	if !whole {
		return
	}
	if mean, known := a.sizes[request.Route]; known {
		took = mean + sizeSmoothing*(took-mean)
	}
	a.sizes[request.Route] = took
}
