package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Settings of a Balancer.
type Settings struct {
	// Zone is where this process stands.
	Zone string
	// CrossZone is by how much sooner an instance in another zone must be expected to
	// answer to be preferred to one in the own zone.
	CrossZone time.Duration
	// Regions has the region of each zone; a zone without one stands in the own region.
	Regions map[string]string
	// CrossRegion is CrossZone for an instance in another region.
	CrossRegion time.Duration
	// FirstLatency is expected of an instance before anything was learned.
	FirstLatency time.Duration
	// EjectAfter is how many failures in a row eject an instance, for EjectFor,
	// doubled each time up to EjectMost.
	EjectAfter int
	EjectFor   time.Duration
	EjectMost  time.Duration
	// MaxEjected bounds the share of a service's instances that are left out.
	MaxEjected float64
}

// DefaultSettings suit services that answer within tenths of a second.
func DefaultSettings(zone string) Settings {
	return Settings{
		Zone: zone, CrossZone: 60 * time.Millisecond, CrossRegion: 200 * time.Millisecond, FirstLatency: 100 * time.Millisecond,
		EjectAfter: 2, EjectFor: time.Second, EjectMost: 8 * time.Second, MaxEjected: 0.5,
	}
}

// Balancer is safe for concurrent use.
type Balancer struct {
	settings Settings
	mutex    sync.Mutex
	loads    map[directory.InstanceID]*load
	// latency is the mean over the instances of each service.
	latency map[string]float64
	// sent are the requests to each service.
	sent map[string]sending
}

// load is what is known of one instance.
type load struct {
	inFlight int
	// latency is a moving mean in seconds; zero before the first answer.
	latency      float64
	failures     int
	ejections    int
	ejectedUntil time.Duration
	seenAt       time.Duration
	sent         sending
	// reduction is by how many requests the bound of those in flight is lowered,
	// since the instance answers late.
	reduction float64
}

// New returns a balancer that knows of no instance.
func New(settings Settings) *Balancer {
	return &Balancer{settings: settings, loads: make(map[directory.InstanceID]*load), latency: make(map[string]float64), sent: make(map[string]sending)}
}

// Request is what a choice rests on.
type Request struct {
	Now     time.Duration
	Service string
	// Instances are those that may get the request.
	Instances []directory.Instance
	// Limit bounds the requests in flight from this process to one instance, by its
	// slots.
	Limit func(slots int) int
	// Random are two numbers in [0, 1).
	Random [2]float64
	// timesPublished is true if the service times of some instances are known from all
	// gateways: the others then take about the mean.
	timesPublished bool
}

// Choose returns the instance that is to get a request and counts it as in flight,
// or false while each has as many requests as it may.
func (b *Balancer) Choose(request Request) (directory.Instance, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	request.timesPublished = slices.ContainsFunc(request.Instances, func(instance directory.Instance) bool { return instance.ServiceTime > 0 })
	free := b.free(request, b.notEjected(request))
	if len(free) == 0 {
		return directory.Instance{}, false
	}
	chosen := b.pick(request, free)
	for _, most := range []time.Duration{b.settings.CrossZone, 0} {
		near := b.within(free, most)
		if len(near) == 0 || len(near) == len(free) {
			continue
		}
		nearest := b.pick(request, near)
		sooner := b.distance(chosen) - b.distance(nearest)
		if b.expected(request, nearest) <= b.expected(request, chosen)+sooner.Seconds() {
			chosen = nearest
		}
	}
	b.begin(request.Now, chosen)
	return chosen, true
}

// pick draws two candidates and returns the one that is expected to answer sooner.
func (b *Balancer) pick(request Request, candidates []directory.Instance) directory.Instance {
	first := b.draw(request, candidates, request.Random[0])
	second := b.draw(request, candidates, request.Random[1])
	if b.expected(request, second) < b.expected(request, first) {
		return second
	}
	return first
}

// distance is by how much sooner an instance must be expected to answer to be preferred to one
// in the own zone.
func (b *Balancer) distance(instance directory.Instance) time.Duration {
	if instance.Zone == b.settings.Zone {
		return 0
	}
	own, known := b.settings.Regions[b.settings.Zone]
	if region, told := b.settings.Regions[instance.Zone]; known && told && region != own {
		return b.settings.CrossRegion
	}
	return b.settings.CrossZone
}

// within returns the candidates that are no farther away.
func (b *Balancer) within(candidates []directory.Instance, most time.Duration) []directory.Instance {
	var near []directory.Instance
	for _, instance := range candidates {
		if b.distance(instance) <= most {
			near = append(near, instance)
		}
	}
	return near
}

// notEjected returns the instances that are not ejected, or all if too many are.
func (b *Balancer) notEjected(request Request) []directory.Instance {
	usable := make([]directory.Instance, 0, len(request.Instances))
	for _, instance := range request.Instances {
		if known, found := b.loads[instance.ID]; !found || known.ejectedUntil <= request.Now {
			usable = append(usable, instance)
		}
	}
	ejected := len(request.Instances) - len(usable)
	if float64(ejected) > b.settings.MaxEjected*float64(len(request.Instances)) {
		return request.Instances
	}
	return usable
}

func (b *Balancer) free(request Request, candidates []directory.Instance) []directory.Instance {
	free := make([]directory.Instance, 0, len(candidates))
	for _, instance := range candidates {
		if known, found := b.loads[instance.ID]; !found || known.inFlight < request.Limit(instance.Slots) {
			free = append(free, instance)
		}
	}
	return free
}

// draw returns one of the candidates, the more likely the more requests it can
// answer in a time.
func (b *Balancer) draw(request Request, candidates []directory.Instance, random float64) directory.Instance {
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

func (b *Balancer) capacity(request Request, instance directory.Instance) float64 {
	alone := b.alone(request, instance)
	if request.timesPublished {
		// By the square, so that slow instances get less than what fills them as much as
		// the others: they answer late even when idle. Fast ones that get too much take
		// longer, which the published times tell in turn.
		alone *= alone
	}
	return float64(max(instance.Slots, 1)) / alone
}

// alone is the time in seconds that the instance needs for a request.
func (b *Balancer) alone(request Request, instance directory.Instance) float64 {
	mean := b.latency[request.Service]
	if mean == 0 {
		mean = b.settings.FirstLatency.Seconds()
	}
	known, found := b.loads[instance.ID]
	tried := found && known.latency > 0
	if published := instance.ServiceTime.Seconds(); published > 0 {
		if !tried || request.Now-known.seenAt > forgetAfter {
			return published
		}
		return (known.latency + published) / 2
	}
	switch {
	case !tried && request.timesPublished:
		return mean
	case !tried:
		return untried * mean
	case request.Now-known.seenAt > forgetAfter:
		return min(known.latency, mean)
	default:
		return known.latency
	}
}

const (
	// untried is what is expected of an instance that has not answered yet, as a
	// share of the mean: less than one, so that it is tried.
	untried = 0.5
	// forgetAfter is how long an instance that was slow is expected to be so without
	// being tried again.
	forgetAfter = 5 * time.Second
)

// compared is the time in seconds by which two drawn instances are compared. Where the
// service times are known from all gateways the draw has counted them already: if each
// gateway preferred the faster of two once more, all would crowd at the fastest, and
// none sees the requests of the others. There only what this process has found out of late
// counts.
func (b *Balancer) compared(request Request, instance directory.Instance) float64 {
	if !request.timesPublished {
		return b.alone(request, instance)
	}
	mean := b.latency[request.Service]
	known, found := b.loads[instance.ID]
	if !found || known.latency == 0 || request.Now-known.seenAt > forgetAfter || instance.ServiceTime <= 0 {
		return mean
	}
	return mean * max(1, known.latency/instance.ServiceTime.Seconds())
}

// expected is the time in seconds until a request would be answered.
func (b *Balancer) expected(request Request, instance directory.Instance) float64 {
	needed := b.compared(request, instance)
	known, found := b.loads[instance.ID]
	if !found {
		return needed
	}
	slots := max(instance.Slots, 1)
	return needed * (1 + float64(known.inFlight)/float64(slots))
}

func (b *Balancer) begin(now time.Duration, instance directory.Instance) {
	known := b.load(instance.ID)
	known.inFlight++
	known.seenAt = now
	known.sent = known.sent.with(now)
	b.sent[instance.Service] = b.sent[instance.Service].with(now)
}

func (b *Balancer) load(id directory.InstanceID) *load {
	known, found := b.loads[id]
	if !found {
		known = &load{}
		b.loads[id] = known
	}
	return known
}

// TryBegin counts a request to one instance as in flight, unless it has as many as
// it may.
func (b *Balancer) TryBegin(now time.Duration, instance directory.Instance, limit int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.load(instance.ID)
	if known.inFlight >= max(1, limit-int(known.reduction)) {
		return false
	}
	b.begin(now, instance)
	return true
}

// Release takes back that a request counts as in flight to an instance, since it was not
// sent.
func (b *Balancer) Release(id directory.InstanceID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.load(id)
	known.inFlight = max(known.inFlight-1, 0)
}

// Outcome is how one request to an instance ended.
type Outcome struct {
	Now      time.Duration
	Service  string
	Instance directory.InstanceID
	// Took is how long the instance needed.
	Took time.Duration
	// Answered is true for a whole answer by which the instance did work.
	Answered bool
	// Failed is true if the instance was at fault.
	Failed bool
	// Unreachable is true if no connection to the instance could be made: it is ejected at
	// once, since an attempt to connect costs a caller more than the choice of another.
	Unreachable bool
	// Gone is true if another instance answered at its address.
	Gone bool
	// Full is true if the instance refused the request for want of room.
	Full bool
}

// smoothing is the share of the newest latency in the moving mean.
const smoothing = 0.2

// End counts a request as ended. It reports whether the instance was ejected by it.
func (b *Balancer) End(outcome Outcome) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.load(outcome.Instance)
	known.inFlight = max(known.inFlight-1, 0)
	known.seenAt = outcome.Now
	if outcome.Answered {
		known.failures = 0
		known.ejections = 0
		known.ejectedUntil = 0
		seconds := outcome.Took.Seconds()
		known.latency = smoothed(known.latency, seconds)
		b.latency[outcome.Service] = smoothed(b.latency[outcome.Service], seconds)
	}
	known.adapt(outcome, b.latency[outcome.Service])
	if outcome.Gone {
		known.ejectedUntil = outcome.Now + b.settings.EjectMost
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
	length := min(b.settings.EjectFor<<min(known.ejections, maxDoublings), b.settings.EjectMost)
	known.ejections++
	known.ejectedUntil = outcome.Now + length
	return true
}

const (
	// lateAnswer is how many times the mean an answer takes that counts as late.
	lateAnswer = 2.5
	// reductionStep and restoreStep are by how much the bound of requests in flight
	// falls with a late answer and rises with any other.
	reductionStep = 1.0
	restoreStep   = 0.25
	mostReduction = 4.0
)

// adapt lowers the bound of the requests in flight while an instance answers late, as
// its queue is then long, and raises it again gradually.
func (l *load) adapt(outcome Outcome, mean float64) {
	late := outcome.Failed || outcome.Full || mean > 0 && outcome.Took.Seconds() > lateAnswer*mean
	if late {
		l.reduction = min(l.reduction+reductionStep, mostReduction)
		return
	}
	l.reduction = max(l.reduction-restoreStep, 0)
}

// maxDoublings keeps the shift of an ejection's length in bounds.
const maxDoublings = 8

func smoothed(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + smoothing*(newest-mean)
}

// Forget drops the instances that are not among those known and have no request in
// flight.
func (b *Balancer) Forget(known func(directory.InstanceID) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, each := range b.loads {
		if each.inFlight == 0 && !known(id) {
			delete(b.loads, id)
		}
	}
}

// InstanceLoad is what is known of an instance's load, for logs.
type InstanceLoad struct {
	Instance directory.InstanceID `json:"instance"`
	InFlight int                  `json:"in_flight"`
	// LatencyMs is the moving mean; zero before the first answer.
	LatencyMs int64 `json:"latency_ms"`
	Ejected   bool  `json:"ejected,omitempty"`
}

// mostStandings bounds the instances that Standings returns.
const mostStandings = 12

// InstanceLoads returns what is known of the loads of instances.
func (b *Balancer) InstanceLoads(now time.Duration, instances []directory.Instance) []InstanceLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	standings := make([]InstanceLoad, 0, min(len(instances), mostStandings))
	for _, instance := range instances[:min(len(instances), mostStandings)] {
		standing := InstanceLoad{Instance: instance.ID}
		if known, found := b.loads[instance.ID]; found {
			standing.InFlight = known.inFlight
			standing.LatencyMs = int64(known.latency * float64(time.Second/time.Millisecond))
			standing.Ejected = known.ejectedUntil > now
		}
		standings = append(standings, standing)
	}
	return standings
}
