package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Settings of a Balancer.
type Settings struct {
	// Zone is the zone of this process.
	Zone string
	// CrossZone is how much sooner an instance in another zone must be expected to answer to be preferred to
	// one in the process's own zone.
	CrossZone time.Duration
	// Regions has the region of each zone; a zone without an entry counts as in the process's own region.
	Regions map[string]string
	// CrossRegion replaces CrossZone for an instance in another region.
	CrossRegion time.Duration
	// FirstLatency is the expected latency of a service before anything was learned.
	FirstLatency time.Duration
	// EjectAfter is the number of consecutive failures that eject an instance for EjectFor; the length doubles
	// with each further ejection, up to MaxEjectFor, until an answer resets it.
	EjectAfter  int
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MaxEjected limits the share of a service's instances that are ejected at the same time; if it is
	// exceeded, ejections are ignored.
	MaxEjected float64
}

// DefaultSettings suit services that answer within tenths of a second.
func DefaultSettings(zone string) Settings {
	return Settings{
		Zone: zone, CrossZone: 60 * time.Millisecond, CrossRegion: 200 * time.Millisecond, FirstLatency: 100 * time.Millisecond,
		EjectAfter: 2, EjectFor: time.Second, MaxEjectFor: 8 * time.Second, MaxEjected: 0.5,
	}
}

// Balancer chooses instances for requests. It is safe for concurrent use.
type Balancer struct {
	settings Settings
	mutex    sync.Mutex
	states   map[directory.InstanceID]*instanceState
	// serviceLatency is the moving mean of the latency of each service over all its instances, in seconds.
	serviceLatency map[string]float64
	// sent counts the recent requests to each service.
	sent map[string]decayingCount
}

// instanceState is what this process knows of one instance.
type instanceState struct {
	inFlight int
	// latency is a moving mean in seconds; zero before the first answer.
	latency      float64
	failures     int
	ejections    int
	ejectedUntil time.Duration
	seenAt       time.Duration
	sent         decayingCount
	// limitReduction is the number of requests by which the limit on requests in flight is lowered because the
	// instance answers late.
	limitReduction float64
}

// New returns a balancer without instances.
func New(settings Settings) *Balancer {
	return &Balancer{
		settings: settings, states: make(map[directory.InstanceID]*instanceState),
		serviceLatency: make(map[string]float64), sent: make(map[string]decayingCount),
	}
}

// Request holds the input of Choose.
type Request struct {
	Now     time.Duration
	Service string
	// Instances are the candidates.
	Instances []directory.Instance
	// Limit returns how many requests of this process may be in flight to an instance with this number of slots.
	Limit func(slots int) int
	// Random holds two numbers in [0, 1).
	Random [2]float64
	// serviceTimesPublished is true if the directory has the service times of some candidates, measured by all
	// gateways. The other candidates are then expected to take about the mean.
	serviceTimesPublished bool
}

// Choose returns the instance for a request and counts the request as in flight, or returns false if all
// instances are at their limit.
func (b *Balancer) Choose(request Request) (directory.Instance, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	request.serviceTimesPublished = slices.ContainsFunc(request.Instances, func(instance directory.Instance) bool {
		return instance.ServiceTime > 0
	})
	free := b.free(request, b.notEjected(request))
	if len(free) == 0 {
		return directory.Instance{}, false
	}
	chosen := b.pickOfTwo(request, free)
	for _, maxPenalty := range []time.Duration{b.settings.CrossZone, 0} {
		near := b.withinPenalty(free, maxPenalty)
		if len(near) == 0 || len(near) == len(free) {
			continue
		}
		nearest := b.pickOfTwo(request, near)
		advantage := b.zonePenalty(chosen) - b.zonePenalty(nearest)
		if b.expectedTime(request, nearest) <= b.expectedTime(request, chosen)+advantage.Seconds() {
			chosen = nearest
		}
	}
	b.begin(request.Now, chosen)
	return chosen, true
}

// pickOfTwo draws two candidates and returns the one that is expected to answer sooner.
func (b *Balancer) pickOfTwo(request Request, candidates []directory.Instance) directory.Instance {
	first := b.drawByCapacity(request, candidates, request.Random[0])
	second := b.drawByCapacity(request, candidates, request.Random[1])
	if b.expectedTime(request, second) < b.expectedTime(request, first) {
		return second
	}
	return first
}

// zonePenalty is how much sooner an instance must be expected to answer to be preferred to one in the own
// zone.
func (b *Balancer) zonePenalty(instance directory.Instance) time.Duration {
	if instance.Zone == b.settings.Zone {
		return 0
	}
	own, known := b.settings.Regions[b.settings.Zone]
	if region, found := b.settings.Regions[instance.Zone]; known && found && region != own {
		return b.settings.CrossRegion
	}
	return b.settings.CrossZone
}

// withinPenalty returns the candidates with a zone penalty of at most maxPenalty.
func (b *Balancer) withinPenalty(candidates []directory.Instance, maxPenalty time.Duration) []directory.Instance {
	var near []directory.Instance
	for _, instance := range candidates {
		if b.zonePenalty(instance) <= maxPenalty {
			near = append(near, instance)
		}
	}
	return near
}

// notEjected returns the candidates that are not ejected, or all if too many are ejected.
func (b *Balancer) notEjected(request Request) []directory.Instance {
	usable := make([]directory.Instance, 0, len(request.Instances))
	for _, instance := range request.Instances {
		if known, found := b.states[instance.ID]; !found || known.ejectedUntil <= request.Now {
			usable = append(usable, instance)
		}
	}
	ejected := len(request.Instances) - len(usable)
	if float64(ejected) > b.settings.MaxEjected*float64(len(request.Instances)) {
		return request.Instances
	}
	return usable
}

// free returns the candidates with fewer requests in flight than their limit.
func (b *Balancer) free(request Request, candidates []directory.Instance) []directory.Instance {
	free := make([]directory.Instance, 0, len(candidates))
	for _, instance := range candidates {
		if known, found := b.states[instance.ID]; !found || known.inFlight < request.Limit(instance.Slots) {
			free = append(free, instance)
		}
	}
	return free
}

// drawByCapacity returns a candidate drawn with a probability proportional to its capacity.
func (b *Balancer) drawByCapacity(request Request, candidates []directory.Instance, random float64) directory.Instance {
	total := 0.0
	for _, instance := range candidates {
		total += b.capacity(request, instance)
	}
	drawn := random * total
	for _, instance := range candidates {
		drawn -= b.capacity(request, instance)
		if drawn < 0 {
			return instance
		}
	}
	return candidates[len(candidates)-1]
}

// capacity is the weight of an instance in a draw: the requests that it can answer per unit of time.
func (b *Balancer) capacity(request Request, instance directory.Instance) float64 {
	cost := b.unloadedTime(request, instance)
	if request.serviceTimesPublished {
		// Squared, so that slow instances get less than the share that would use them as fully as the others:
		// they answer late even when idle. Fast instances that get too much become slower, which the published
		// times show in turn.
		cost *= cost
	}
	return float64(max(instance.Slots, 1)) / cost
}

// unloadedTime is the expected time in seconds that the instance needs for a request.
func (b *Balancer) unloadedTime(request Request, instance directory.Instance) float64 {
	mean := b.serviceLatency[request.Service]
	if mean == 0 {
		mean = b.settings.FirstLatency.Seconds()
	}
	known, found := b.states[instance.ID]
	tried := found && known.latency > 0
	if published := instance.ServiceTime.Seconds(); published > 0 {
		if !tried || request.Now-known.seenAt > latencyExpiry {
			return published
		}
		return (known.latency + published) / 2
	}
	switch {
	case !tried && request.serviceTimesPublished:
		return mean
	case !tried:
		return untriedFactor * mean
	case request.Now-known.seenAt > latencyExpiry:
		return min(known.latency, mean)
	default:
		return known.latency
	}
}

const (
	// untriedFactor is the expected latency of an instance that has not answered yet, relative to the mean. It
	// is below one, so that such an instance gets tried.
	untriedFactor = 0.5
	// latencyExpiry is how long an instance that was slow is assumed to stay slow while it gets no requests.
	latencyExpiry = 5 * time.Second
)

// comparedTime is the time in seconds by which the two drawn instances are compared. With published service
// times the draw has already taken them into account. If every gateway also preferred the faster of the two,
// all would crowd at the fastest instances, since none sees the requests of the others. What counts instead
// is by how much a latency that this process measured recently exceeds the published one.
func (b *Balancer) comparedTime(request Request, instance directory.Instance) float64 {
	if !request.serviceTimesPublished {
		return b.unloadedTime(request, instance)
	}
	mean := b.serviceLatency[request.Service]
	known, found := b.states[instance.ID]
	if !found || known.latency == 0 || request.Now-known.seenAt > latencyExpiry || instance.ServiceTime <= 0 {
		return mean
	}
	return mean * max(1, known.latency/instance.ServiceTime.Seconds())
}

// expectedTime is the expected time in seconds until the request is answered.
func (b *Balancer) expectedTime(request Request, instance directory.Instance) float64 {
	needed := b.comparedTime(request, instance)
	known, found := b.states[instance.ID]
	if !found {
		return needed
	}
	slots := max(instance.Slots, 1)
	return needed * (1 + float64(known.inFlight)/float64(slots))
}

// UsualTime returns the moving mean of the time that a service takes for a request, or false before its first answer.
func (b *Balancer) UsualTime(service string) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	seconds, known := b.serviceLatency[service]
	return time.Duration(seconds * float64(time.Second)), known
}

// begin counts a request to an instance as sent and in flight.
func (b *Balancer) begin(now time.Duration, instance directory.Instance) {
	known := b.state(instance.ID)
	known.inFlight++
	known.seenAt = now
	known.sent = known.sent.increment(now)
	b.sent[instance.Service] = b.sent[instance.Service].increment(now)
}

func (b *Balancer) state(id directory.InstanceID) *instanceState {
	known, found := b.states[id]
	if !found {
		known = &instanceState{}
		b.states[id] = known
	}
	return known
}

// TryBegin counts a request to one instance as in flight, and returns false if the instance is at its limit.
func (b *Balancer) TryBegin(now time.Duration, instance directory.Instance, limit int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.state(instance.ID)
	if known.inFlight >= max(1, limit-int(known.limitReduction)) {
		return false
	}
	b.begin(now, instance)
	return true
}

// Release ends a request that was counted as in flight but not sent.
func (b *Balancer) Release(id directory.InstanceID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.state(id)
	known.inFlight = max(known.inFlight-1, 0)
}

// Outcome is the result of one request to an instance.
type Outcome struct {
	Now      time.Duration
	Service  string
	Instance directory.InstanceID
	// Took is how long the attempt took.
	Took time.Duration
	// Answered is true for a complete answer to a request that the instance processed.
	Answered bool
	// Failed is true if the instance was at fault.
	Failed bool
	// Unreachable is true if no connection to the instance could be made. It is ejected at once, since another
	// failed connection attempt costs a caller more than choosing another instance.
	Unreachable bool
	// Gone is true if another instance answered at its address.
	Gone bool
	// Full is true if the instance rejected the request for lack of capacity.
	Full bool
}

// latencySmoothing is the weight of the newest latency in the moving mean.
const latencySmoothing = 0.2

// End counts a request as ended, and reports whether that ejected the instance.
func (b *Balancer) End(outcome Outcome) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.state(outcome.Instance)
	known.inFlight = max(known.inFlight-1, 0)
	known.seenAt = outcome.Now
	if outcome.Answered {
		known.failures = 0
		known.ejections = 0
		known.ejectedUntil = 0
		seconds := outcome.Took.Seconds()
		known.latency = smoothed(known.latency, seconds)
		b.serviceLatency[outcome.Service] = smoothed(b.serviceLatency[outcome.Service], seconds)
	}
	known.adaptLimit(outcome, b.serviceLatency[outcome.Service])
	if outcome.Gone {
		known.ejectedUntil = outcome.Now + b.settings.MaxEjectFor
		return true
	}
	if !outcome.Failed {
		return false
	}
	known.failures++
	if known.failures < b.settings.EjectAfter && !outcome.Unreachable {
		return false
	}
	known.failures = 0
	length := min(b.settings.EjectFor<<min(known.ejections, maxDoublings), b.settings.MaxEjectFor)
	known.ejections++
	known.ejectedUntil = outcome.Now + length
	return true
}

const (
	// An answer is late if it takes more than lateAnswerFactor times the mean.
	lateAnswerFactor = 2.5
	// reduceStep is by how much a late answer lowers the limit on requests in flight, restoreStep by how much
	// any other answer raises it again, and maxReduction the most that it is lowered by.
	reduceStep   = 1.0
	restoreStep  = 0.25
	maxReduction = 4.0
)

// adaptLimit lowers the limit on requests in flight while an instance answers late, since its queue is then
// long, and raises it gradually afterwards.
func (s *instanceState) adaptLimit(outcome Outcome, mean float64) {
	late := outcome.Failed || outcome.Full || mean > 0 && outcome.Took.Seconds() > lateAnswerFactor*mean
	if late {
		s.limitReduction = min(s.limitReduction+reduceStep, maxReduction)
		return
	}
	s.limitReduction = max(s.limitReduction-restoreStep, 0)
}

// maxDoublings limits the shift that computes an ejection's length, so that it cannot overflow.
const maxDoublings = 8

func smoothed(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + latencySmoothing*(newest-mean)
}

// Forget removes the instances that have no request in flight and for which isKnown returns false.
func (b *Balancer) Forget(isKnown func(directory.InstanceID) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, state := range b.states {
		if state.inFlight == 0 && !isKnown(id) {
			delete(b.states, id)
		}
	}
}

// InstanceLoad describes the load of an instance as known to this process, for log lines.
type InstanceLoad struct {
	Instance directory.InstanceID `json:"instance"`
	InFlight int                  `json:"in_flight"`
	// LatencyMs is the moving mean; zero before the first answer.
	LatencyMs int64 `json:"latency_ms"`
	Ejected   bool  `json:"ejected,omitempty"`
}

// maxInstanceLoads limits the instances that InstanceLoads returns.
const maxInstanceLoads = 12

// InstanceLoads returns the loads of the first maxInstanceLoads instances.
func (b *Balancer) InstanceLoads(now time.Duration, instances []directory.Instance) []InstanceLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	loads := make([]InstanceLoad, 0, min(len(instances), maxInstanceLoads))
	for _, instance := range instances[:min(len(instances), maxInstanceLoads)] {
		load := InstanceLoad{Instance: instance.ID}
		if known, found := b.states[instance.ID]; found {
			load.InFlight = known.inFlight
			load.LatencyMs = int64(known.latency * float64(time.Second/time.Millisecond))
			load.Ejected = known.ejectedUntil > now
		}
		loads = append(loads, load)
	}
	return loads
}
