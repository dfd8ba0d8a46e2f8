package link

import (
	"maps"
	"math"
	"time"
)

const (
	// leastShare and mostShare are the shares of its target latency that a request may
	// wait before the link, for the least and the most urgent one: less urgent requests
	// are rejected first, and the most urgent ones keep the time for the server's work.
	leastShare = 0.15
	mostShare  = 0.35
	// patientShare is the share of a caller's time that a request may wait before the link in any
	// case: a caller who waits for many times the target is served better late than rejected. At
	// 0.1, on links of 1.7 Mbit/s under a wave, 9 in 100 fewer of the most urgent requests were in
	// time, for 6 in 100 more of the patient ones that were served late; at 0.04 none.
	patientShare = 0.04
	// bulkPatience is the share of its target latency that a long answer may wait behind others
	// of its kind: its own way over the link takes most of the rest.
	bulkPatience = 0.4
	// BulkBytes is the size from which on a message counts as long: some 50 ms on 5 Mbit/s.
	BulkBytes = 32 << 10
	// useMemory is the time over which the requests of a route count as recent, and leastUse
	// the share of the recent requests from which on less urgent ones make room for them.
	useMemory = 5 * time.Second
	leastUse  = 0.02
	// sizeSmoothing is the weight of the newest request in the mean size of a route.
	sizeSmoothing = 0.1
	// firstSize is expected of a request with its answer before any was seen, in bytes.
	firstSize = 2000
)

// Admission decides by the expected size of each request. It is not safe for concurrent
// use.
type Admission struct {
	queue *Queue
	// sizes are the mean bytes of a request and its answer, by route.
	sizes map[string]float64
	// uses are the groups of which requests came of late.
	uses map[group]*groupUse
}

// group are the requests of one route and one urgency: tenants may differ in theirs.
type group struct {
	route   string
	urgency float64
}

// groupUse is what is known of the requests of one group.
type groupUse struct {
	// patience is how long its requests may wait by their target.
	patience time.Duration
	// recent counts the requests, with less weight the longer before at they came.
	recent float64
	at     time.Duration
}

// recentAt returns the count of recent requests at a time.
func (u *groupUse) recentAt(now time.Duration) float64 {
	return u.recent * math.Exp(-(now-u.at).Seconds()/useMemory.Seconds())
}

// NewAdmission returns an admission for a link of a number of Mbit/s in each direction;
// zero for one without a bound, which admits all.
func NewAdmission(megabits float64) *Admission {
	return &Admission{queue: NewQueue(megabits), sizes: make(map[string]float64), uses: make(map[group]*groupUse)}
}

// Request is what the admission of a request rests on.
type Request struct {
	Now   time.Duration
	Route string
	// Target is the time within which an answer is of full use.
	Target time.Duration
	// Deadline is the time that the caller gives.
	Deadline time.Duration
	// Urgency is its rank among the routes, from 0 for the least urgent to 1.
	Urgency float64
	// Bulk is true for a route whose answers are long as a rule.
	Bulk bool
}

// bulk reports whether a request counts among the long ones.
func (a *Admission) bulk(request Request) bool {
	return request.Bulk || a.sizes[request.Route] >= BulkBytes
}

// byTarget is how long a request may wait by its target.
func (r Request) byTarget() time.Duration {
	return time.Duration((leastShare + (mostShare-leastShare)*r.Urgency) * float64(r.Target))
}

// Limit returns how long a request may wait before the link: a share of its target, or of its
// caller's time if that is longer, but not longer than those that are more urgent may by
// their target. All wait in the same queue, which would else be filled by the patient ones.
func (a *Admission) Limit(request Request) time.Duration {
	if a.bulk(request) {
		return time.Duration(bulkPatience * float64(request.Target))
	}
	limit := max(request.byTarget(), time.Duration(patientShare*float64(request.Deadline)))
	total := 0.0
	for _, use := range a.uses {
		total += use.recentAt(request.Now)
	}
	for of, use := range a.uses {
		if of.urgency > request.Urgency && use.recentAt(request.Now) >= leastUse*total {
			limit = min(limit, use.patience)
		}
	}
	return limit
}

// use notes that a request of a group came.
func (a *Admission) use(request Request) {
	of := group{route: request.Route, urgency: request.Urgency}
	use, known := a.uses[of]
	if !known {
		a.forgetUnused(request.Now)
		use = &groupUse{}
		a.uses[of] = use
	}
	use.recent = use.recentAt(request.Now) + 1
	use.at, use.patience = request.Now, request.byTarget()
}

// forgetUnused forgets groups of which nothing counts as recent any more, so that those of
// routes and tenants that are gone do not pile up.
func (a *Admission) forgetUnused(now time.Duration) {
	const unused = 0.001
	maps.DeleteFunc(a.uses, func(_ group, use *groupUse) bool { return use.recentAt(now) < unused })
}

// Admit reports whether a request may be taken on, and reserves the bytes that are expected
// of it, which are to be given to Done.
func (a *Admission) Admit(request Request) (reserved float64, admitted bool) {
	if !a.queue.Bounded() {
		return 0, true
	}
	a.use(request)
	if a.Full(request) {
		return 0, false
	}
	size, known := a.sizes[request.Route]
	if !known {
		size = firstSize
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

// Delay returns how long a byte waits before the link.
func (a *Admission) Delay(now time.Duration) time.Duration { return a.queue.Delay(now) }

// Done corrects what was reserved for a request by the bytes that it took. Whole is true
// for one that a server answered, from which the mean of its route is learnt.
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
