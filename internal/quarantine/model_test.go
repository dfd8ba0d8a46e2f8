package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The model consists of gateways, servers, a leader and the replicated directory under a virtual clock. One
// request (poison) crashes each server that runs it; one harmless request (poll) is sent repeatedly by the
// same caller; all other requests are sent once.

const (
	step                = 5 * time.Millisecond
	settleTime          = 3 * time.Second
	maxLateArrivals     = 3
	modelCrashThreshold = 3
	// At most one in maxOnProbationDivisor of the polls may be rejected on probation.
	maxOnProbationDivisor = 20
	poison                = directory.Fingerprint(1)
	poll                  = directory.Fingerprint(2)
)

// countingRule selects how crashes are attributed to requests.
type countingRule int

const (
	// production is the rule of the package: a request is counted over all gateways for each distinct instance
	// that crashed while it was in flight, since its last answer.
	production countingRule = iota
	// blameNewest counts at each crash only the request that was sent last.
	blameNewest
	// ignoreAnswers never clears a request.
	ignoreAnswers
	// countPerGateway has no leader: each gateway counts alone.
	countPerGateway
	// sendOnProbation lets gateways send requests on probation without a trial: the leader waits after a crash.
	sendOnProbation
	// blockAtFirstCrash does the same, and the leader does not wait after the first crash that follows a release.
	blockAtFirstCrash
	// holdBackLocally does the same as sendOnProbation, but a gateway that lost the request itself holds it back.
	holdBackLocally
	// endLostTrials and endLostTrialsLater end a trial that was lost without a proof of a crash after confirmTimeout,
	// or after three times as long.
	endLostTrials
	endLostTrialsLater
	// blameLostTrials takes each trial that was lost for a crash.
	blameLostTrials
)

// faultIntervals are the mean times between two faults of each kind; zero for none.
type faultIntervals struct {
	// crash of a single server; loss of power of a zone or of all servers.
	crash, zone, all time.Duration
	// change of the leader; restart of a gateway; loss of power of all controllers and gateways; a second during
	// which the leader handles no reports.
	leader, gateway, power, silence time.Duration
}

type scenario struct {
	rule     countingRule
	gateways int
	servers  int
	// poisonInterval is the time between two sends of the poison request, poisonBatch how many are sent at once.
	poisonInterval time.Duration
	poisonBatch    int
	faults         faultIntervals
	// releaseAt is when the poison request is released; zero for never. From mendAt on it crashes no server. After
	// each of its crashes no server may run it for holderGap, as for a key that passes to another holder.
	releaseAt, mendAt, holderGap time.Duration
	// away is how long servers are away after a crash; zero for 1 to 5 s. If unproved is set, gateways never prove
	// the crash of a server after the release.
	away     time.Duration
	unproved bool
	// lossUntil is until when, after the release, each second connection to servers is lost though they are alive.
	lossUntil time.Duration
	duration  time.Duration
	random    *rand.Rand
}

type result struct {
	// crashes were caused by the poison request. lateArrivals are its sends to servers, more than settleTime
	// after the third crash, by gateways that were settled.
	crashes, lateArrivals int
	// polls and others count the requests sent, pollsRejected and othersRejected those that were rejected as
	// quarantined while a server was up. onProbation counts those that waited for a trial without getting one.
	polls, others, pollsRejected, othersRejected, onProbation int
	// crashesAfterRelease are those that the poison request caused after its release. answeredAfter is how long
	// after its release it was answered first, and clearedAfter when every gateway could send it freely.
	crashesAfterRelease         int
	answeredAfter, clearedAfter time.Duration
	// quarantinedAgain is true if the poison request was in quarantine after its release.
	quarantinedAgain bool
}

type modelServer struct {
	id          directory.InstanceID
	zone        int
	incarnation int
	up          bool
	crashedAt   time.Duration
	restartAt   time.Duration
	inFlight    []*attempt
}

type attempt struct {
	fingerprint   directory.Fingerprint
	gateway       int
	began, endsAt time.Duration
	// ask is the number of the ask under whose trial the attempt was sent; noAsk for none.
	ask AskNumber
}

// waiter is a request on probation that waits in a gateway for its trial.
type waiter struct {
	fingerprint directory.Fingerprint
	gateway     int
	guard       *Guard
	ask         AskNumber
	until       time.Duration
}

type modelGateway struct {
	guard     *Guard
	startedAt time.Duration
	// pending are the lists of suspects that are on their way to the gateway.
	pending      []delayed[directory.Suspects]
	seenRevision directory.Revision
}

type delayed[T any] struct {
	at      time.Duration
	content T
}

type sentReport struct {
	gateway int
	term    int
	report  Report
}

type model struct {
	scenario
	now               time.Duration
	gateways          []*modelGateway
	servers           []*modelServer
	ledger            *Ledger
	term              int
	directory         *directory.Directory
	revision          directory.Revision
	reports           []delayed[sentReport]
	lossNotices       []delayed[func()]
	waiters           []*waiter
	proposal          *delayed[directory.PutSuspects]
	leaderSilentUntil time.Duration
	stableSince       time.Duration
	thirdCrashAt      time.Duration
	released          bool
	noHolderUntil     time.Duration
	lostBy            map[int]bool
	nextOther         directory.Fingerprint
	result            result
}

func (s scenario) run() result {
	m := &model{scenario: s, directory: directory.New(), nextOther: 1000, lostBy: make(map[int]bool)}
	for range s.gateways {
		m.gateways = append(m.gateways, &modelGateway{})
	}
	for number := range m.gateways {
		m.startGateway(number)
	}
	for number := range s.servers {
		m.servers = append(m.servers, &modelServer{id: directory.InstanceID(fmt.Sprintf("s%d-1", number)), zone: number % 3, incarnation: 1, up: true})
	}
	m.newLeader()
	for ; m.now < s.duration; m.now += step {
		m.injectFaults()
		m.release()
		m.deliverMessages()
		m.decide()
		m.send()
		m.resumeWaiters()
		m.finishAttempts()
	}
	return m.result
}

func (m *model) startGateway(number int) {
	gateway := m.gateways[number]
	crashes := 1 << 20
	if m.rule == countPerGateway {
		crashes = modelCrashThreshold
	}
	*gateway = modelGateway{guard: NewGuard(fmt.Sprintf("g%d", number), crashes), startedAt: m.now}
}

func (m *model) newLeader() {
	m.term++
	m.stableSince = m.now
	m.proposal = nil
	m.ledger = NewLedger(Config{Crashes: modelCrashThreshold, SuspectTime: 10 * time.Minute, Time: 24 * time.Hour})
	for _, gateway := range m.gateways {
		gateway.guard.Connected()
	}
}

// occurs returns true once per interval on average.
func (m *model) occurs(interval time.Duration) bool {
	return interval > 0 && m.random.Float64() < float64(step)/float64(interval)
}

func (m *model) injectFaults() {
	intervals := m.faults
	if m.occurs(intervals.crash) {
		m.crash(m.servers[m.random.IntN(len(m.servers))])
	}
	if m.occurs(intervals.zone) {
		zone := m.random.IntN(3)
		for _, server := range m.servers {
			if server.zone == zone {
				m.crash(server)
			}
		}
	}
	if m.occurs(intervals.all) {
		for _, server := range m.servers {
			m.crash(server)
		}
	}
	if m.occurs(intervals.leader) {
		m.newLeader()
	}
	if m.occurs(intervals.gateway) {
		m.startGateway(m.random.IntN(len(m.gateways)))
	}
	if m.occurs(intervals.silence) {
		m.leaderSilentUntil, m.stableSince = m.now+time.Second, m.now+time.Second
	}
	if m.occurs(intervals.power) {
		for number := range m.gateways {
			m.startGateway(number)
		}
		m.newLeader()
	}
	for _, server := range m.servers {
		if !server.up && m.now >= server.restartAt {
			server.incarnation++
			server.id = directory.InstanceID(fmt.Sprintf("%s-%d", server.id[:len(server.id)-2], server.incarnation%10))
			server.up = true
		}
	}
}

// crash stops a server; its gateways learn of it within 30 ms.
func (m *model) crash(server *modelServer) {
	if !server.up {
		return
	}
	server.up, server.crashedAt = false, m.now
	server.restartAt = m.now + time.Second + time.Duration(m.random.Int64N(int64(4*time.Second)))
	if m.away > 0 && m.released {
		server.restartAt = m.now + m.away
	}
	lostAttempts := server.inFlight
	server.inFlight = nil
	newest := time.Duration(-1)
	for _, a := range lostAttempts {
		newest = max(newest, a.began)
	}
	for _, a := range lostAttempts {
		if m.rule == blameNewest && a.began != newest {
			continue
		}
		gateway := m.gateways[a.gateway]
		loss := Loss{Fingerprint: a.fingerprint, Path: directory.PathHash(a.fingerprint), Service: "s", Instance: server.id, Began: a.began, Ended: m.now, TrialAsk: a.ask}
		endLostTrial(gateway.guard, m.now, a.ask, loss)
		if m.unproved && m.released {
			continue
		}
		m.lossNotices = append(m.lossNotices, delayed[func()]{m.now + time.Duration(m.random.Int64N(int64(30*time.Millisecond))), func() {
			gateway.guard.Crashed(m.now, []Loss{loss})
			if loss.Fingerprint == poison {
				m.lostBy[a.gateway] = true
			}
		}})
	}
}

func (m *model) deliverMessages() {
	due := m.lossNotices
	m.lossNotices = nil
	for _, notice := range due {
		if notice.at <= m.now {
			notice.content()
		} else {
			m.lossNotices = append(m.lossNotices, notice)
		}
	}
	for number, gateway := range m.gateways {
		if report, found := gateway.guard.Report(m.now); found && m.rule != countPerGateway {
			delay := time.Duration(m.random.Int64N(int64(50 * time.Millisecond)))
			m.reports = append(m.reports, delayed[sentReport]{m.now + delay, sentReport{number, m.term, report}})
		}
		if current := m.directory.Suspects(); current.Revision > gateway.seenRevision {
			gateway.seenRevision = current.Revision
			gateway.pending = append(gateway.pending, delayed[directory.Suspects]{m.now + time.Duration(m.random.Int64N(int64(150*time.Millisecond))), current})
		}
		for len(gateway.pending) > 0 && gateway.pending[0].at <= m.now {
			gateway.guard.SetSuspects(m.now, gateway.pending[0].content.List)
			gateway.pending = gateway.pending[1:]
		}
	}
	reports := m.reports
	m.reports = nil
	for _, sent := range reports {
		switch {
		case sent.at > m.now:
			m.reports = append(m.reports, sent)
		case sent.content.term == m.term && m.now >= m.leaderSilentUntil:
			if m.rule == sendOnProbation || m.rule == blockAtFirstCrash || m.rule == holdBackLocally {
				markAsSentFreely(sent.content.report)
			}
			m.ledger.HandleReport(m.now, fmt.Sprintf("g%d", sent.content.gateway), sent.content.report)
			if e, found := m.ledger.entries[poison]; found && m.rule == blockAtFirstCrash && e.suspect.Released && len(e.attempts) > 0 {
				e.thresholdAt = m.now - doubtfulGracePeriod
			}
			m.gateways[sent.content.gateway].guard.Acknowledge(sent.content.report.Number)
		default:
		}
	}
}

func (m *model) decide() {
	if m.now < m.leaderSilentUntil {
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
	m.decideLostTrials()
	if put, changed := m.ledger.Decide(m.now); changed {
		m.proposal = &delayed[directory.PutSuspects]{m.now + 2*step + time.Duration(m.random.Int64N(int64(20*time.Millisecond))), put}
	}
}

func (m *model) send() {
	if m.now%m.poisonInterval < step {
		for range m.poisonBatch {
			m.sendRequest(poison)
		}
	}
	if m.now%(30*time.Millisecond) < step {
		m.sendRequest(poll)
		m.result.polls++
	}
	if m.now%(15*time.Millisecond) < step {
		m.nextOther++
		m.sendRequest(m.nextOther)
		m.result.others++
	}
}

// sendRequest sends a request from a random gateway to a random server that is up.
func (m *model) sendRequest(fingerprint directory.Fingerprint) {
	number := m.random.IntN(len(m.gateways))
	gateway := m.gateways[number]
	if !gateway.guard.Watches(directory.PathHash(fingerprint)) {
		m.dispatch(number, fingerprint, noAsk)
		return
	}
	verdict := gateway.guard.Check(m.now, fingerprint, noAsk)
	switch {
	case verdict == Wait && m.sendsOnProbation(number):
		m.dispatch(number, fingerprint, noAsk)
	case verdict == Wait:
		m.waiters = append(m.waiters, &waiter{fingerprint: fingerprint, gateway: number, guard: gateway.guard, until: m.now + trialWait})
	case verdict == Send, verdict == Try && gateway.guard.TakeTrial(m.now, fingerprint, noAsk):
		m.dispatch(number, fingerprint, noAsk)
	default:
		m.reject(gateway, fingerprint)
	}
}

// trialWait is how long a request waits for its trial.
const trialWait = 500 * time.Millisecond

// resumeWaiters sends the requests whose trial was granted or is no longer needed, and rejects those that waited
// too long.
func (m *model) resumeWaiters() {
	waiting := m.waiters
	m.waiters = nil
	for _, w := range waiting {
		if m.gateways[w.gateway].guard != w.guard {
			continue // the gateway has restarted
		}
		if w.ask == noAsk {
			w.ask, _ = w.guard.Ask(w.fingerprint, w.until+time.Second, w.until+time.Second)
		}
		verdict := w.guard.Check(m.now, w.fingerprint, w.ask)
		switch {
		case verdict == Wait && m.now < w.until:
			m.waiters = append(m.waiters, w)
		case verdict == Wait:
			w.guard.EndAsk(m.now, w.fingerprint, w.ask)
			if w.fingerprint != poison && len(m.serversUp()) > 0 {
				m.result.onProbation++
			}
		case verdict == Send, verdict == Try && w.guard.TakeTrial(m.now, w.fingerprint, w.ask):
			m.dispatch(w.gateway, w.fingerprint, w.ask)
		default:
			w.guard.EndAsk(m.now, w.fingerprint, w.ask)
			m.reject(m.gateways[w.gateway], w.fingerprint)
		}
	}
}

// markAsSentFreely makes the crashes of a report those of a process that needs no trials to send.
func markAsSentFreely(report Report) {
	for index := range report.Crashes {
		report.Crashes[index].Number = 0
	}
}

// sendsOnProbation reports whether a gateway sends requests on probation under the rule of the scenario.
func (m *model) sendsOnProbation(gateway int) bool {
	return m.rule == sendOnProbation || m.rule == blockAtFirstCrash || m.rule == holdBackLocally && !m.lostBy[gateway]
}

// release releases the poison request once it is in quarantine and releaseAt has passed, and records when it
// can be sent freely again.
func (m *model) release() {
	suspect, suspected := m.directory.Suspect(poison)
	m.result.quarantinedAgain = m.result.quarantinedAgain || m.released && suspect.Quarantined
	if m.releaseAt > 0 && !m.released && m.now >= m.releaseAt && suspected && suspect.Quarantined {
		m.revision++
		released := poison
		_ = m.directory.Apply(m.revision, directory.Command{Release: &released}) // a release always applies
		m.released, m.releaseAt = true, m.now
		clear(m.lostBy)
	}
	if !m.released || m.result.clearedAfter > 0 {
		return
	}
	for _, gateway := range m.gateways {
		if gateway.guard.Check(m.now, poison, noAsk) != Send {
			return
		}
	}
	m.result.clearedAfter = m.now - m.releaseAt
}

func (m *model) serversUp() []*modelServer {
	var up []*modelServer
	for _, server := range m.servers {
		if server.up {
			up = append(up, server)
		}
	}
	return up
}

// reject counts a request in quarantine.
func (m *model) reject(gateway *modelGateway, fingerprint directory.Fingerprint) {
	gateway.guard.Rejected(m.now, fingerprint)
	switch {
	case fingerprint == poison || len(m.serversUp()) == 0:
	case fingerprint == poll:
		m.result.pollsRejected++
	default:
		m.result.othersRejected++
	}
}

// dispatch sends a request to a random server that is up.
func (m *model) dispatch(number int, fingerprint directory.Fingerprint, ask AskNumber) {
	gateway := m.gateways[number]
	up := m.serversUp()
	if len(up) == 0 || fingerprint == poison && m.now < m.noHolderUntil {
		gateway.guard.ReturnTrial(fingerprint)
		gateway.guard.EndAsk(m.now, fingerprint, ask)
		return
	}
	server := up[m.random.IntN(len(up))]
	took := 10*time.Millisecond + time.Duration(m.random.Int64N(int64(100*time.Millisecond)))
	server.inFlight = append(server.inFlight, &attempt{fingerprint: fingerprint, gateway: number, began: m.now, endsAt: m.now + took, ask: ask})
	if fingerprint == poison && m.thirdCrashAt > 0 && m.now > m.thirdCrashAt+settleTime && m.settled(gateway) {
		m.result.lateArrivals++
	}
}

// settled reports whether neither the leader nor the gateway was disturbed within the last settleTime.
func (m *model) settled(gateway *modelGateway) bool {
	return m.now-m.stableSince >= settleTime && m.now-gateway.startedAt >= settleTime
}

func (m *model) finishAttempts() {
	for _, server := range m.servers {
		var unfinished []*attempt
		crashes := false
		for _, a := range server.inFlight {
			switch {
			case a.endsAt > m.now:
				unfinished = append(unfinished, a)
			case m.released && m.now < m.lossUntil && m.random.IntN(2) == 0:
				m.loseConnection(server, a)
			case a.fingerprint == poison && (m.mendAt == 0 || m.now < m.mendAt):
				crashes = true
				unfinished = append(unfinished, a)
			default:
				if a.fingerprint == poison && m.released && m.result.answeredAfter == 0 {
					m.result.answeredAfter = m.now - m.releaseAt
				}
				if m.rule != ignoreAnswers {
					m.gateways[a.gateway].guard.Answered(m.now, a.fingerprint)
				}
				m.gateways[a.gateway].guard.EndAsk(m.now, a.fingerprint, a.ask)
			}
		}
		server.inFlight = unfinished
		if crashes {
			m.crash(server)
			m.noHolderUntil = m.now + m.holderGap
			m.result.crashes++
			if m.released {
				m.result.crashesAfterRelease++
			}
			if m.result.crashes == modelCrashThreshold {
				m.thirdCrashAt = m.now
			}
		}
	}
}

// scenarios returns a scenario for each kind of fault, and one for all kinds together.
func scenarios(random *rand.Rand) map[string]scenario {
	base := scenario{
		gateways: 2 + random.IntN(9), servers: 6 + random.IntN(18),
		poisonInterval: 250 * time.Millisecond, poisonBatch: 1, duration: 30 * time.Second, random: random,
	}
	with := func(change func(*scenario)) scenario {
		changed := base
		change(&changed)
		return changed
	}
	return map[string]scenario{
		"calm":                  base,
		"repeats every 4 s":     with(func(p *scenario) { p.poisonInterval = 4 * time.Second; p.duration = time.Minute }),
		"three repeats at once": with(func(p *scenario) { p.poisonInterval = 4 * time.Second; p.poisonBatch = 3; p.duration = time.Minute }),
		"servers crash":         with(func(p *scenario) { p.faults.crash = time.Second }),
		"zones lose power":      with(func(p *scenario) { p.faults.zone = 4 * time.Second }),
		"leaders change":        with(func(p *scenario) { p.faults.leader = 2 * time.Second }),
		"gateways restart":      with(func(p *scenario) { p.faults.gateway = time.Second }),
		"the leader is silent":  with(func(p *scenario) { p.faults.silence = 3 * time.Second }),
		"power is lost":         with(func(p *scenario) { p.faults.power = 5 * time.Second }),
		"everything, repeats of 1 s": with(func(p *scenario) {
			p.poisonInterval, p.duration = time.Second, time.Minute
			p.faults = faultIntervals{crash: 2 * time.Second, zone: 9 * time.Second, leader: 7 * time.Second, gateway: 3 * time.Second, power: 20 * time.Second, silence: 9 * time.Second}
		}),
	}
}

const modelSeeds = 20

// TestDeadlyRequestReachesFewServers: whatever else fails, settled gateways together send the poison request
// to few servers after its third crash, and harmless requests that were in flight at many crashes are never
// in quarantine.
func TestDeadlyRequestReachesFewServers(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		for name, s := range scenarios(rand.New(rand.NewPCG(seed, 0))) {
			s.random, s.rule = rand.New(rand.NewPCG(seed, 1)), production
			got := s.run()
			if got.lateArrivals > maxLateArrivals {
				t.Errorf("seed %d, %s: %d requests reached servers later than %s after the third crash, want %d at most (%d crashes)",
					seed, name, got.lateArrivals, settleTime, maxLateArrivals, got.crashes)
			}
			if got.onProbation > got.polls/maxOnProbationDivisor {
				t.Errorf("seed %d, %s: %d of %d polls got no trial in time", seed, name, got.onProbation, got.polls)
			}
			if got.pollsRejected+got.othersRejected > 0 {
				t.Errorf("seed %d, %s: %d of %d polls and %d of %d others in quarantine", seed, name, got.pollsRejected, got.polls, got.othersRejected, got.others)
			}
		}
	}
}

// runScenarios runs all scenarios for a few seeds under one rule, and returns the largest number of late
// arrivals of a single run and the total of rejected polls.
func runScenarios(rule countingRule) (most int, total result) {
	const seeds = 2
	for seed := range uint64(seeds) {
		for _, s := range scenarios(rand.New(rand.NewPCG(seed, 0))) {
			s.random, s.rule = rand.New(rand.NewPCG(seed, 1)), rule
			got := s.run()
			most = max(most, got.lateArrivals)
			total.pollsRejected += got.pollsRejected
			if got.onProbation > got.polls/maxOnProbationDivisor {
				total.onProbation += got.onProbation
			}
		}
	}
	return most, total
}

// TestModelCatchesGatewaysThatCountAlone: the model must exceed the bound if each gateway counts alone.
func TestModelCatchesGatewaysThatCountAlone(t *testing.T) {
	if most, _ := runScenarios(countPerGateway); most <= maxLateArrivals {
		t.Errorf("at most %d late arrivals though each gateway counts alone: the model does not detect this", most)
	}
}

// TestModelCatchesBlameOfTheLastRequest: blaming only the request sent last must fail, since that may be a
// harmless one.
func TestModelCatchesBlameOfTheLastRequest(t *testing.T) {
	if most, _ := runScenarios(blameNewest); most <= maxLateArrivals {
		t.Errorf("at most %d late arrivals though only the last request is blamed: the model does not detect this", most)
	}
}

// TestModelCatchesRequestsThatAreNeverCleared: without the rule that an answer clears a request, harmless
// requests must end up in quarantine, or be rejected on probation more often than allowed.
func TestModelCatchesRequestsThatAreNeverCleared(t *testing.T) {
	if _, total := runScenarios(ignoreAnswers); total.pollsRejected+total.onProbation == 0 {
		t.Error("harmless requests are sent though answers do not count: the model does not detect this")
	}
}
