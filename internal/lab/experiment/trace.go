package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Times of the trace, as shares of its duration or in absolute terms.
const (
	surgeBegin   = 0.2
	surgeEnd     = 0.5
	zoneLossAt   = 0.6
	zoneLossTime = 2 * time.Minute
	joinAt       = 0.25
	leaveAt      = 0.9
	restartEvery = 150 * time.Second
	restartTime  = 30 * time.Second
	// notice is how long before a planned stop the platform's list tells.
	notice = 20 * time.Second
	// plannedShare is the share of restarts that are announced.
	plannedShare = 0.75
	hotRamp      = 30 * time.Second
	lieBegin     = 0.1
	lieEnd       = 0.8
	// lieFactor is by how much one server overstates its load.
	lieFactor = 3
)

// serverEvent is one change of a server in the trace.
type serverEvent struct {
	at     time.Duration
	server int
	kind   eventKind
}

type eventKind int

const (
	eventLeaving eventKind = iota
	eventDown
	eventUp
)

// trace is everything that happens to a service, whatever its placement.
type trace struct {
	workload Workload
	seed     uint64
	duration time.Duration
	hashes   []uint64
	// popularity is the cumulative share of the plain traffic by key.
	popularity []float64
	hotKeys    []int
	events     []serverEvent
	zoneLostAt time.Duration
	lostZone   int
	liar       int
}

func newTrace(workload Workload, seed uint64, duration time.Duration) *trace {
	t := &trace{workload: workload, seed: seed, duration: duration}
	random := rand.New(rand.NewPCG(seed, 1))
	t.drawKeys(random)
	t.liar = random.IntN(workload.Servers)
	t.zoneLostAt = t.share(zoneLossAt)
	t.lostZone = random.IntN(workload.Zones)
	t.drawEvents(random)
	return t
}

func (t *trace) share(of float64) time.Duration {
	return time.Duration(of * float64(t.duration))
}

func (t *trace) drawKeys(random *rand.Rand) {
	total := 0.0
	for key := range t.workload.Keys {
		t.hashes = append(t.hashes, state.HashKey(fmt.Sprintf("%s-%d-%d", t.workload.Service, t.seed, key)))
		total += math.Pow(float64(key+1), -t.workload.Exponent)
		t.popularity = append(t.popularity, total)
	}
	for key := range t.popularity {
		t.popularity[key] /= total
	}
	const firstRank, ranks = 100, 900
	first := min(firstRank, t.workload.Keys/2)
	for range t.workload.HotLoads {
		// A key of the middle ranks becomes hot.
		t.hotKeys = append(t.hotKeys, first+random.IntN(min(ranks, t.workload.Keys-first)))
	}
}

// drawEvents lets one server restart at a time, one more join and leave, and
// one zone go.
func (t *trace) drawEvents(random *rand.Rand) {
	joiner := t.workload.Servers
	t.add(t.share(joinAt), joiner, eventUp)
	t.add(t.share(leaveAt)-notice, joiner, eventLeaving)
	t.add(t.share(leaveAt), joiner, eventDown)
	for at := restartEvery / 2; at+restartTime < t.duration; at += restartEvery {
		server, planned := random.IntN(t.workload.Servers), random.Float64() < plannedShare
		begin := at + time.Duration(random.Int64N(int64(restartEvery/2)))
		if begin+restartTime > t.zoneLostAt-notice && begin < t.zoneLostAt+zoneLossTime+restartTime {
			continue
		}
		if planned {
			t.add(begin-notice, server, eventLeaving)
		}
		t.add(begin, server, eventDown)
		t.add(begin+restartTime, server, eventUp)
	}
	for server := range t.workload.Servers {
		if server%t.workload.Zones == t.lostZone {
			t.add(t.zoneLostAt, server, eventDown)
			t.add(t.zoneLostAt+zoneLossTime, server, eventUp)
		}
	}
	slices.SortStableFunc(t.events, func(a, b serverEvent) int { return int(a.at - b.at) })
}

func (t *trace) add(at time.Duration, server int, kind eventKind) {
	t.events = append(t.events, serverEvent{at: at, server: server, kind: kind})
}

// plainLoad is the busy slots of the plain traffic at a time.
func (t *trace) plainLoad(at time.Duration) float64 {
	load := t.workload.slots() * t.workload.Utilization
	if at >= t.share(surgeBegin) && at < t.share(surgeEnd) {
		load *= t.workload.Surge
	}
	return load
}

// hotLoad is the busy slots of one hot key at a time.
func (t *trace) hotLoad(number int, at time.Duration) float64 {
	begin, end := t.share(surgeBegin), t.share(surgeEnd)
	if at < begin || at >= end {
		return 0
	}
	return t.workload.HotLoads[number] * min(float64(at-begin)/float64(hotRamp), 1)
}

// keyLoads adds up the expected busy slots of each key at a time.
func (t *trace) keyLoads(at time.Duration, loads []float64) {
	plain, before := t.plainLoad(at), 0.0
	for key, share := range t.popularity {
		loads[key] = plain * (share - before)
		before = share
	}
	for number, key := range t.hotKeys {
		loads[key] += t.hotLoad(number, at)
	}
}

// lies tells by what factor a server's load report is wrong.
func (t *trace) lies(server int, at time.Duration) float64 {
	if server == t.liar && at >= t.share(lieBegin) && at < t.share(lieEnd) {
		return lieFactor
	}
	return 1
}

// request is one request of the trace.
type request struct {
	at   time.Duration
	key  int
	zone int
	// work is how long it executes on a warm server.
	work time.Duration
}

// requests draws the requests one by one, in the order of time.
type requests struct {
	trace  *trace
	random *rand.Rand
	next   time.Duration
	// loads holds the plain load and that of each hot key, as of loadsAt.
	loads   []float64
	total   float64
	loadsAt time.Duration
}

// loadStep is how often the rates of the trace are looked at.
const loadStep = time.Second

// fixedWork is the share of the execution time that is the same for all.
const fixedWork = 0.25

func (t *trace) requests() *requests {
	return &requests{trace: t, random: rand.New(rand.NewPCG(t.seed, 2)), loadsAt: -loadStep}
}

func (r *requests) draw() (request, bool) {
	if r.next-r.loadsAt >= loadStep {
		r.refresh()
	}
	workload := r.trace.workload
	gap := r.random.ExpFloat64() * float64(workload.ServiceTime) / r.total
	r.next += time.Duration(gap)
	work := (fixedWork + (1-fixedWork)*r.random.ExpFloat64()) * float64(workload.ServiceTime)
	drawn := request{at: r.next, key: r.key(), zone: r.random.IntN(workload.Zones), work: time.Duration(work)}
	return drawn, r.next < r.trace.duration
}

func (r *requests) refresh() {
	r.loadsAt = r.next
	r.loads = append(r.loads[:0], r.trace.plainLoad(r.next))
	r.total = r.loads[0]
	for number := range r.trace.hotKeys {
		r.loads = append(r.loads, r.trace.hotLoad(number, r.next))
		r.total += r.loads[number+1]
	}
}

func (r *requests) key() int {
	left := r.random.Float64() * r.total
	for number, load := range r.loads[1:] {
		if left < load {
			return r.trace.hotKeys[number]
		}
		left -= load
	}
	share := left / r.loads[0]
	key, _ := slices.BinarySearch(r.trace.popularity, share)
	return min(key, len(r.trace.popularity)-1)
}
