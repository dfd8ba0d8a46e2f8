package link

import "time"

const (
	// leastShare and mostShare are the shares of its target latency that a request may
	// wait before the link, for the least and the most urgent one: less urgent requests
	// are rejected first, and the most urgent ones keep the time for the server's work.
	leastShare = 0.15
	mostShare  = 0.35
	// patientShare is the share of a caller's time that a request may wait before the link in any
	// case: a caller who waits for many times the target is served better late than rejected.
	// With callers who give six times their target, on links of 1.7 Mbit/s at the top of a wave,
	// 5 in 100 were rejected in the end in place of 9, and a twentieth more served; twice the
	// share changed nothing more.
	patientShare = 0.1
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
}

// NewAdmission returns an admission for a link of a number of Mbit/s in each direction;
// zero for one without a bound, which admits all.
func NewAdmission(megabits float64) *Admission {
	return &Admission{queue: NewQueue(megabits), sizes: make(map[string]float64)}
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
}

// Limit returns how long a request may wait before the link.
func (r Request) Limit() time.Duration {
	byTarget := (leastShare + (mostShare-leastShare)*r.Urgency) * float64(r.Target)
	return time.Duration(max(byTarget, patientShare*float64(r.Deadline)))
}

// Admit reports whether a request may be taken on, and reserves the bytes that are expected
// of it, which are to be given to Done.
func (a *Admission) Admit(request Request) (reserved float64, admitted bool) {
	if !a.queue.Bounded() {
		return 0, true
	}
	if a.Full(request) {
		return 0, false
	}
	size, known := a.sizes[request.Route]
	if !known {
		size = firstSize
	}
	a.queue.Add(request.Now, size)
	return size, true
}

// Full reports whether a request would wait too long before the link.
func (a *Admission) Full(request Request) bool {
	return a.queue.Bounded() && a.queue.Delay(request.Now) > request.Limit()
}

// Delay returns how long a byte waits before the link.
func (a *Admission) Delay(now time.Duration) time.Duration { return a.queue.Delay(now) }

// Done corrects what was reserved for a request by the bytes that it took. Whole is true
// for one that a server answered, from which the mean of its route is learnt.
func (a *Admission) Done(now time.Duration, route string, reserved, took float64, whole bool) {
	if !a.queue.Bounded() {
		return
	}
	a.queue.Add(now, took-reserved)
	if !whole {
		return
	}
	if mean, known := a.sizes[route]; known {
		took = mean + sizeSmoothing*(took-mean)
	}
	a.sizes[route] = took
}
