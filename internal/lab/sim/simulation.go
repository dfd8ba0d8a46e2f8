package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/lab/sim/event"
	"github.com/thorntiller/thorntiller/internal/lab/sim/network"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// simulation is one run.
type simulation struct {
	seed         uint64
	queue        event.Queue
	random       *rand.Rand
	network      *network.Network
	checker      *checker.Checker
	settings     config.Controller
	coordination coordinator.Config
	planted      planted
	traceTo      io.Writer
	counts       Counts

	controllers []*controller
	servers     []*server
	routers     []*router
	operators   []*operator
	// hosts finds the machine of a replica that was ever started.
	hosts map[consensus.ReplicaID]*controller
	// lost has the replicas whose disk is gone, damaged the machines whose disk
	// had a bit flipped since their last start.
	lost    map[consensus.ReplicaID]bool
	damaged map[string]bool
	// leaving is the platform's list of machines that leave.
	leaving map[state.ServerID]bool
	// drained is the server that the last step of a run puts on the list, for good.
	drained state.ServerID
	// calmSince is when the faults ended.
	calmSince time.Duration
	// operating lets operators begin new intents.
	operating bool
	intents   []state.Intent
	retired   int
	added     int
	// plans has the accepted revision of each confirmed plan.
	plans      map[state.PlanID]state.Revision
	acceptedAt time.Duration
	// digest is over every applied log entry.
	digest uint64
	// observed is the highest log index that was traced.
	observed uint64
	// leaseWorld is nil but in lease runs.
	leaseWorld *leaseWorld
}

func newSimulation(seed uint64, faults planted, traceTo io.Writer) *simulation {
	s := newEmptySimulation(seed, traceTo)
	s.planted = faults
	if faults.coordinator != nil {
		faults.coordinator(&s.coordination)
	}
	s.build()
	return s
}

// newEmptySimulation has a network, and no machine.
func newEmptySimulation(seed uint64, traceTo io.Writer) *simulation {
	s := &simulation{
		seed: seed, traceTo: traceTo,
		random:   rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // a run must replay from its seed
		settings: controllerSettings(),
		hosts:    make(map[consensus.ReplicaID]*controller),
		lost:     make(map[consensus.ReplicaID]bool),
		damaged:  make(map[string]bool),
		leaving:  make(map[state.ServerID]bool),
		plans:    make(map[state.PlanID]state.Revision),
	}
	s.coordination = driver.CoordinatorConfig(s.settings.Lease)
	s.checker = checker.New(s.queue.Now)
	s.checker.BoundRequests(requestBounds())
	s.network = network.New(&s.queue, s.random)
	return s
}

// buildControllers makes the machines of the controllers; nothing runs yet.
func (s *simulation) buildControllers() {
	group := 3
	if s.seed%4 == 0 {
		group = 5
	}
	for number := 1; number <= group; number++ {
		disk := vfs.NewMemory(newDiskRandom(s.random))
		built := &controller{process: s.newProcess(controllerMachine, "controller-%d", number), disk: disk}
		built.files = slowFiles{FileSystem: disk, owner: built}
		if s.planted.files != nil {
			built.files = s.planted.files(built.files)
		}
		s.controllers = append(s.controllers, built)
	}
}

// build makes the machines; nothing runs yet.
func (s *simulation) build() {
	s.buildControllers()
	for number := 1; number <= firstServers+spareServers; number++ {
		built := &server{process: s.newProcess(serverMachine, "server-%d", number)}
		built.id = state.ServerID(built.node)
		s.servers = append(s.servers, built)
	}
	for number := 1; number <= freeServers; number++ {
		built := &server{process: s.newProcess(serverMachine, "free-%d", number)}
		built.id = state.ServerID(built.node)
		s.servers = append(s.servers, built)
	}
	for number := 1; number <= routerCount; number++ {
		s.routers = append(s.routers, &router{process: s.newProcess(routerMachine, "router-%d", number)})
	}
	for number := 1; number <= operators; number++ {
		s.operators = append(s.operators, &operator{process: s.newProcess(operatorMachine, "operator-%d", number), number: number})
	}
}

func (s *simulation) newProcess(role machineRole, name string, number int) *process {
	return &process{
		sim: s, role: role, node: network.Node(fmt.Sprintf(name, number)),
		offset: time.Duration(s.random.Int64N(int64(time.Hour))),
		rate:   1 + clockRateSpread*(2*s.random.Float64()-1),
	}
}

// server finds a server by its identifier.
func (s *simulation) server(id state.ServerID) (*server, bool) {
	for _, found := range s.servers {
		if found.id == id {
			return found, true
		}
	}
	return nil, false
}

// leader returns a replica that leads, the one of the highest term.
func (s *simulation) leader() (*replica, bool) {
	var newest *replica
	term := uint64(0)
	for _, candidate := range s.controllers {
		if candidate.replica == nil || !candidate.replica.driver.Leading() {
			continue
		}
		if led := candidate.replica.core.Status().Term; led > term {
			newest, term = candidate.replica, led
		}
	}
	return newest, newest != nil
}

// run carries out the whole run and returns the first violation.
func (s *simulation) run() *checker.Violation {
	s.startAll()
	s.setUp()
	s.injectFaults()
	s.endFaults()
	s.settle()
	s.loseServer()
	s.loseServerWithLeader()
	s.drainServer()
	s.checkEnd()
	return s.checker.Violation()
}

func (s *simulation) startAll() {
	for _, each := range s.controllers {
		each.start()
	}
	for _, each := range s.servers {
		each.start()
	}
	for _, each := range s.routers {
		each.start()
	}
	for _, each := range s.operators {
		each.start()
	}
}

// advance runs events until a time, or the first violation.
func (s *simulation) advance(until time.Duration) {
	for s.checker.Violation() == nil && s.queue.Step(until) {
	}
}

// await runs events until a condition holds, which it looks at every now and
// then, and reports false if it does not hold by the deadline.
func (s *simulation) await(deadline time.Duration, holds func() bool) bool {
	for !holds() {
		if s.checker.Violation() != nil {
			return true
		}
		if s.queue.Now() >= deadline {
			return false
		}
		s.advance(min(deadline, s.queue.Now()+look))
	}
	return true
}

// setUp lets the group form and the service be created, without faults.
func (s *simulation) setUp() {
	ready := s.await(setupLimit, s.servicesReady)
	if !ready {
		s.checker.Fail(checker.OwnerLiveness, "the service is not in force after %v without faults", setupLimit)
	}
}

// settle waits, without faults, until every key has an owner and every accepted
// configuration is in force.
func (s *simulation) settle() {
	ended := s.queue.Now()
	need := settleNeed(s.settings) + settleSlack
	if !s.await(ended+need, func() bool { return s.leads() && s.everyKeyOwned() }) {
		hash, gap := s.checker.Uncovered(serviceName)
		s.checker.Fail(checker.OwnerLiveness, "%v after the last fault: hash %x without an owner %v, leader %v", need, hash, gap, s.leads())
	}
	if !s.await(max(ended, s.acceptedAt)+configLimit, s.configurationInForce) {
		s.checker.Fail(checker.ConfigLiveness, "%s", s.describeLag())
	}
}

func (s *simulation) leads() bool {
	_, found := s.leader()
	return found
}

func (s *simulation) everyKeyOwned() bool {
	_, gap := s.checker.Uncovered(serviceName)
	return !gap
}

// servicesReady reports whether both services are served.
func (s *simulation) servicesReady() bool {
	_, created := s.plans[createFreeIntent]
	return created && s.everyKeyOwned()
}

func (s *simulation) configurationInForce() bool {
	newest := s.newestAccepted()
	for _, each := range s.routers {
		if each.builder.Table().Revision() < newest {
			return false
		}
	}
	return true
}

// newestAccepted returns the table revision that every accepted plan asks for.
func (s *simulation) newestAccepted() state.Revision {
	newest := state.Revision(0)
	for _, revision := range s.plans {
		newest = max(newest, revision)
	}
	return s.checker.TableUpTo(uint64(newest))
}

func (s *simulation) describeLag() string {
	text := fmt.Sprintf("revision %d was accepted", s.newestAccepted())
	for _, each := range s.routers {
		text += fmt.Sprintf(", %s is at %d", each.node, each.builder.Table().Revision())
	}
	return text
}

// checkEnd checks what must hold once the run is over.
func (s *simulation) checkEnd() {
	if s.checker.Violation() != nil {
		return
	}
	leader, found := s.leader()
	if !found {
		s.checker.Fail(checker.OwnerLiveness, "nobody leads at the end")
		return
	}
	s.checker.MustHold(leader.owner.name(), leader.core.Status().Term, leader.driver.Applied())
	for _, id := range sortedKeys(s.plans) {
		plan, stored := leader.state.Plan(id)
		if !stored || plan.Status != state.PlanConfirmed || plan.Accepted != s.plans[id] {
			s.checker.Fail(checker.Durability, "plan %s was accepted at revision %d and is %q at %d in the end",
				id, s.plans[id], plan.Status, plan.Accepted)
		}
	}
	s.checker.CheckHistories()
}

// accepted notes that an operator was told that a plan is in force.
func (s *simulation) accepted(call intentCall, answer intentAnswer) {
	if call.action != checker.ActionConfirm {
		return
	}
	id := state.PlanID(call.intent.ID)
	if _, known := s.plans[id]; !known {
		s.trace("plan %s (%s) is accepted at revision %d", id, contentOf(call.intent), answer.plan.Accepted)
		s.plans[id] = answer.plan.Accepted
		s.acceptedAt = s.queue.Now()
	}
}
