package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The model has gateways, servers, a leader and the directory that the controllers replicate, under a
// virtual clock. One request crashes each server that runs it; one poll is sent again and again by the
// same caller; all others come once.

const (
	step         = 5 * time.Millisecond
	contactTime  = 3 * time.Second
	mostRepeats  = 3
	modelCrashes = 3
	deadly       = directory.Fingerprint(1)
	poll         = directory.Fingerprint(2)
)

// way is how crashes are counted.
type way int

const (
	// asBuilt: over all gateways, in flight at distinct crashes since the last answer.
	asBuilt way = iota
	// beganLast blames at each crash only the request that began last.
	beganLast
	// withoutAnswers never clears a request.
	withoutAnswers
	// eachGatewayAlone has no leader.
	eachGatewayAlone
)

// disruptions of a play.
type disruptions struct {
	// servers crash by themselves each so often; zones of them, or all, lose power; zero for never.
	crash, zone, all time.Duration
	// leaders change, gateways start anew, all controllers and gateways lose power, and the leader
	// is silent for a second.
	leader, gateway, power, silence time.Duration
}

type play struct {
	way      way
	gateways int
	servers  int
	// repeat is the time between two sends of the deadly request, parallel how many are sent at once.
	repeat      time.Duration
	parallel    int
	disruptions disruptions
	length      time.Duration
	random      *rand.Rand
}

type outcome struct {
	// crashes were by the deadly request, of which arrivals reached servers by gateways in touch
	// later than contactTime after the third one.
	crashes, arrivals int
	// polls and others were sent, and pollsRejected and othersRejected were in quarantine though a
	// server was up.
	polls, others, pollsRejected, othersRejected int
}

type modelServer struct {
	id     directory.InstanceID
	zone   int
	life   int
	up     bool
	backAt time.Duration
	flying []*flight
}

type flight struct {
	fingerprint directory.Fingerprint
	gateway     int
	began, ends time.Duration
	trial       bool
}

type modelGateway struct {
	guard     *Guard
	startedAt time.Duration
	// tableAt is when the newest list that is on its way arrives.
	pending []delayed[directory.Suspects]
	seen    directory.Revision
}

type delayed[T any] struct {
	at      time.Duration
	content T
}

type reportOf struct {
	gateway int
	term    int
	report  Report
}

type model struct {
	play
	now       time.Duration
	gateways  []*modelGateway
	servers   []*modelServer
	ledger    *Ledger
	term      int
	directory *directory.Directory
	revision  directory.Revision
	reports   []delayed[reportOf]
	confirms  []delayed[func()]
	proposal  *delayed[directory.PutSuspects]
	silentTo  time.Duration
	calmSince time.Duration
	third     time.Duration
	nextOther directory.Fingerprint
	outcome   outcome
}

func (p play) run() outcome {
	m := &model{play: p, directory: directory.New(), nextOther: 1000}
	for range p.gateways {
		m.gateways = append(m.gateways, &modelGateway{})
	}
	for number := range m.gateways {
		m.startGateway(number)
	}
	for number := range p.servers {
		m.servers = append(m.servers, &modelServer{id: directory.InstanceID(fmt.Sprintf("s%d-1", number)), zone: number % 3, life: 1, up: true})
	}
	m.newLeader()
	for ; m.now < p.length; m.now += step {
		m.disrupt()
		m.deliver()
		m.decide()
		m.send()
		m.finish()
	}
	return m.outcome
}

func (m *model) startGateway(number int) {
	gateway := m.gateways[number]
	crashes := 1 << 20
	if m.way == eachGatewayAlone {
		crashes = modelCrashes
	}
	*gateway = modelGateway{guard: NewGuard(fmt.Sprintf("g%d", number), crashes), startedAt: m.now}
}

func (m *model) newLeader() {
	m.term++
	m.calmSince = m.now
	m.proposal = nil
	m.ledger = NewLedger(Config{Crashes: modelCrashes, SuspectTime: 10 * time.Minute, Time: 24 * time.Hour})
	for _, gateway := range m.gateways {
		gateway.guard.Connected()
	}
}

// happens is true once in an interval in the mean.
func (m *model) happens(interval time.Duration) bool {
	return interval > 0 && m.random.Float64() < float64(step)/float64(interval)
}

func (m *model) disrupt() {
	d := m.disruptions
	if m.happens(d.crash) {
		m.crash(m.servers[m.random.IntN(len(m.servers))])
	}
	if m.happens(d.zone) {
		zone := m.random.IntN(3)
		for _, server := range m.servers {
			if server.zone == zone {
				m.crash(server)
			}
		}
	}
	if m.happens(d.all) {
		for _, server := range m.servers {
			m.crash(server)
		}
	}
	if m.happens(d.leader) {
		m.newLeader()
	}
	if m.happens(d.gateway) {
		m.startGateway(m.random.IntN(len(m.gateways)))
	}
	if m.happens(d.silence) {
		m.silentTo, m.calmSince = m.now+time.Second, m.now+time.Second
	}
	if m.happens(d.power) {
		for number := range m.gateways {
			m.startGateway(number)
		}
		m.newLeader()
	}
	for _, server := range m.servers {
		if !server.up && m.now >= server.backAt {
			server.life++
			server.id = directory.InstanceID(fmt.Sprintf("%s-%d", server.id[:len(server.id)-2], server.life%10))
			server.up = true
		}
	}
}

// crash ends a server; the gateways find out a little later.
func (m *model) crash(server *modelServer) {
	if !server.up {
		return
	}
	server.up = false
	server.backAt = m.now + time.Second + time.Duration(m.random.Int64N(int64(4*time.Second)))
	lost := server.flying
	server.flying = nil
	last := time.Duration(-1)
	for _, each := range lost {
		last = max(last, each.began)
	}
	for _, each := range lost {
		if m.way == beganLast && each.began != last {
			continue
		}
		gateway := m.gateways[each.gateway]
		loss := Loss{Fingerprint: each.fingerprint, Path: directory.PathHash(each.fingerprint), Service: "s", Instance: server.id, Began: each.began, Ended: m.now}
		m.confirms = append(m.confirms, delayed[func()]{m.now + time.Duration(m.random.Int64N(int64(30*time.Millisecond))), func() {
			gateway.guard.Crashed(m.now, []Loss{loss})
		}})
	}
}

func (m *model) deliver() {
	due := m.confirms
	m.confirms = nil
	for _, each := range due {
		if each.at <= m.now {
			each.content()
		} else {
			m.confirms = append(m.confirms, each)
		}
	}
	for number, gateway := range m.gateways {
		if report, found := gateway.guard.Report(m.now); found && m.way != eachGatewayAlone {
			delay := time.Duration(m.random.Int64N(int64(50 * time.Millisecond)))
			m.reports = append(m.reports, delayed[reportOf]{m.now + delay, reportOf{number, m.term, report}})
		}
		if current := m.directory.Suspects(); current.Revision > gateway.seen {
			gateway.seen = current.Revision
			gateway.pending = append(gateway.pending, delayed[directory.Suspects]{m.now + time.Duration(m.random.Int64N(int64(150*time.Millisecond))), current})
		}
		for len(gateway.pending) > 0 && gateway.pending[0].at <= m.now {
			gateway.guard.SetSuspects(m.now, gateway.pending[0].content.List)
			gateway.pending = gateway.pending[1:]
		}
	}
	reports := m.reports
	m.reports = nil
	for _, each := range reports {
		switch {
		case each.at > m.now:
			m.reports = append(m.reports, each)
		case each.content.term == m.term && m.now >= m.silentTo:
			m.ledger.HandleReport(m.now, fmt.Sprintf("g%d", each.content.gateway), each.content.report)
			m.gateways[each.content.gateway].guard.Acknowledge(each.content.report.Number)
		default:
		}
	}
}

func (m *model) decide() {
	if m.now < m.silentTo {
		return
	}
	if m.proposal != nil {
		if m.proposal.at > m.now {
			return
		}
		m.revision++
		if m.directory.Apply(m.revision, directory.Command{Suspects: &m.proposal.content}) == nil {
			m.ledger.Committed(m.proposal.content)
		}
		m.proposal = nil
	}
	m.ledger.Adopt(m.now, m.directory.Suspects())
	if put, changed := m.ledger.Decide(m.now); changed {
		m.proposal = &delayed[directory.PutSuspects]{m.now + 2*step + time.Duration(m.random.Int64N(int64(20*time.Millisecond))), put}
	}
}

func (m *model) send() {
	if m.now%m.repeat < step {
		for range m.parallel {
			m.request(deadly)
		}
	}
	if m.now%(30*time.Millisecond) < step {
		m.request(poll)
		m.outcome.polls++
	}
	if m.now%(15*time.Millisecond) < step {
		m.nextOther++
		m.request(m.nextOther)
		m.outcome.others++
	}
}

// request sends a request by one gateway to a server that is up.
func (m *model) request(fingerprint directory.Fingerprint) {
	number := m.random.IntN(len(m.gateways))
	gateway := m.gateways[number]
	var up []*modelServer
	for _, server := range m.servers {
		if server.up {
			up = append(up, server)
		}
	}
	trial := false
	if gateway.guard.Watches(directory.PathHash(fingerprint)) {
		verdict := gateway.guard.Check(m.now, fingerprint)
		trial = verdict == Try && gateway.guard.TakeTrial(m.now, fingerprint)
		if verdict != Send && !trial {
			gateway.guard.Rejected(m.now, fingerprint)
			switch {
			case fingerprint == deadly || len(up) == 0:
			case fingerprint == poll:
				m.outcome.pollsRejected++
			default:
				m.outcome.othersRejected++
			}
			return
		}
	}
	if len(up) == 0 {
		if trial {
			gateway.guard.ReturnTrial(fingerprint)
		}
		return
	}
	server := up[m.random.IntN(len(up))]
	took := 10*time.Millisecond + time.Duration(m.random.Int64N(int64(100*time.Millisecond)))
	server.flying = append(server.flying, &flight{fingerprint: fingerprint, gateway: number, began: m.now, ends: m.now + took, trial: trial})
	if fingerprint == deadly && m.third > 0 && m.now > m.third+contactTime && m.inTouch(gateway) {
		m.outcome.arrivals++
	}
}

func (m *model) inTouch(gateway *modelGateway) bool {
	return m.now-m.calmSince >= contactTime && m.now-gateway.startedAt >= contactTime
}

func (m *model) finish() {
	for _, server := range m.servers {
		var flying []*flight
		crashes := false
		for _, each := range server.flying {
			switch {
			case each.ends > m.now:
				flying = append(flying, each)
			case each.fingerprint == deadly:
				crashes = true
				flying = append(flying, each)
			default:
				if m.way != withoutAnswers {
					m.gateways[each.gateway].guard.Answered(m.now, each.fingerprint)
				}
			}
		}
		server.flying = flying
		if crashes {
			m.crash(server)
			m.outcome.crashes++
			if m.outcome.crashes == modelCrashes {
				m.third = m.now
			}
		}
	}
}

// plays returns a play for each kind of disruption, and of all together.
func plays(random *rand.Rand) map[string]play {
	base := play{gateways: 2 + random.IntN(9), servers: 6 + random.IntN(18), repeat: 250 * time.Millisecond, parallel: 1, length: 30 * time.Second, random: random}
	with := func(change func(*play)) play {
		changed := base
		change(&changed)
		return changed
	}
	return map[string]play{
		"calm":                  base,
		"repeats each 4 s":      with(func(p *play) { p.repeat = 4 * time.Second; p.length = time.Minute }),
		"three repeats at once": with(func(p *play) { p.repeat = 4 * time.Second; p.parallel = 3; p.length = time.Minute }),
		"servers crash":         with(func(p *play) { p.disruptions.crash = time.Second }),
		"zones lose power":      with(func(p *play) { p.disruptions.zone = 4 * time.Second }),
		"leaders change":        with(func(p *play) { p.disruptions.leader = 2 * time.Second }),
		"gateways start anew":   with(func(p *play) { p.disruptions.gateway = time.Second }),
		"the leader is silent":  with(func(p *play) { p.disruptions.silence = 3 * time.Second }),
		"power is lost":         with(func(p *play) { p.disruptions.power = 5 * time.Second }),
		"everything, repeats of 1 s": with(func(p *play) {
			p.repeat, p.length = time.Second, time.Minute
			p.disruptions = disruptions{crash: 2 * time.Second, zone: 9 * time.Second, leader: 7 * time.Second, gateway: 3 * time.Second, power: 20 * time.Second, silence: 9 * time.Second}
		}),
	}
}

const modelSeeds = 20

// TestDeadlyRequestReachesFewServers: over all gateways, in touch, whatever else fails; and requests
// that were in flight at many crashes are never in quarantine.
func TestDeadlyRequestReachesFewServers(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		for name, each := range plays(rand.New(rand.NewPCG(seed, 0))) {
			each.random, each.way = rand.New(rand.NewPCG(seed, 1)), asBuilt
			got := each.run()
			if got.arrivals > mostRepeats {
				t.Errorf("seed %d, %s: %d requests reached servers later than %s after the third crash, want %d at most (%d crashes)",
					seed, name, got.arrivals, contactTime, mostRepeats, got.crashes)
			}
			if got.pollsRejected+got.othersRejected > 0 {
				t.Errorf("seed %d, %s: %d of %d polls and %d of %d others in quarantine", seed, name, got.pollsRejected, got.polls, got.othersRejected, got.others)
			}
		}
	}
}

// sum plays some seeds of everything in one way, and returns the most arrivals of one play and the sums
// of all.
func sum(way way) (most int, total outcome) {
	const seeds = 2
	for seed := range uint64(seeds) {
		for _, each := range plays(rand.New(rand.NewPCG(seed, 0))) {
			each.random, each.way = rand.New(rand.NewPCG(seed, 1)), way
			got := each.run()
			most = max(most, got.arrivals)
			total.pollsRejected += got.pollsRejected
		}
	}
	return most, total
}

// TestModelCatchesGatewaysThatCountAlone: the bound is over all gateways.
func TestModelCatchesGatewaysThatCountAlone(t *testing.T) {
	if most, _ := sum(eachGatewayAlone); most <= mostRepeats {
		t.Errorf("%d requests at most reached servers by gateways that count alone: the model shows no fault", most)
	}
}

// TestModelCatchesBlameOfTheLastRequest: the request that began last at a server may be another one.
func TestModelCatchesBlameOfTheLastRequest(t *testing.T) {
	if most, _ := sum(beganLast); most <= mostRepeats {
		t.Errorf("%d requests at most reached servers where the last request is blamed: the model shows no fault", most)
	}
}

// TestModelCatchesRequestsThatAreNeverCleared: an answer shows that a request is not to blame.
func TestModelCatchesRequestsThatAreNeverCleared(t *testing.T) {
	if _, total := sum(withoutAnswers); total.pollsRejected == 0 {
		t.Error("no request was in quarantine by mistake where answers do not count: the model shows no fault")
	}
}
