package sim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/state"
)

// A lease run plays controllers, with their consensus, disks and network, and instances
// that renew leases by heartbeats: no two of them may ever hold one key.

const (
	keyedService  = "keyed"
	instanceCount = 6
	// leaseFaultPeriod is how long faults are injected, some fifteen leases.
	leaseFaultPeriod = 15 * time.Second
	// leaseSettleLimit is within which every key is held again after the faults: an
	// election, the wait for leases of an earlier leader, and a few heartbeats.
	leaseSettleLimit = 6 * time.Second
	// hotKeyChange is how long a key stays hot.
	hotKeyChange = 2 * time.Second
)

// leaseWorld is what only lease runs have.
type leaseWorld struct {
	planted plantedLeases
	// sameID lets servers start again under the identifier that they had.
	sameID bool
	// late lets copies of heartbeats arrive late, until faultsEnd.
	late      bool
	faultsEnd time.Duration
	config    heartbeat.Config
	instances []*instance
	holders   map[directory.Key]keyHolder
	// checked counts the grants of probed keys that were looked at.
	checked int
}

// keyHolder is who held a key last.
type keyHolder struct {
	owner directory.InstanceID
	// life counts the starts of the owner's process.
	life  int
	fence directory.Fence
}

// plantedLeases are faults that tests plant.
type plantedLeases struct {
	// skipQuorum: heartbeats are answered without a quorum round.
	skipQuorum bool
	// ignoreBorn: servers that start again are not told from their earlier lives, whose
	// sequence they go on with.
	ignoreBorn bool
	// renumberLate: late heartbeats have numbers of later ones.
	renumberLate bool
	// endOthers: a heartbeat of an unknown instance ends the others at its address.
	endOthers bool
	// steadyClocks is as for other runs.
	steadyClocks []machineRole
	// config changes the settings of the leases.
	config func(*heartbeat.Config)
}

func newLeaseSimulation(seed uint64, planted plantedLeases, traceTo io.Writer) *simulation {
	s := newEmptySimulation(seed, traceTo)
	s.leaseWorld = &leaseWorld{
		planted: planted, holders: make(map[directory.Key]keyHolder),
		config: heartbeat.Config{
			Lease: time.Second, MaxLease: time.Second, ClockRateBound: 0.02, Margin: 20 * time.Millisecond,
			Gather: 500 * time.Millisecond, AddressReuse: 500 * time.Millisecond, MaxMoves: 4, Stripes: 5, HoldBack: 200 * time.Millisecond,
		},
	}
	s.planted.steadyClocks = planted.steadyClocks
	if planted.config != nil {
		planted.config(&s.leaseWorld.config)
	}
	s.buildControllers()
	for number := 1; number <= instanceCount; number++ {
		s.leaseWorld.instances = append(s.leaseWorld.instances, &instance{process: s.newProcess(instanceMachine, "instance-%d", number)})
	}
	return s
}

// RunLeases runs one seed of controllers and instances with heartbeats.
func RunLeases(seed uint64, traceTo io.Writer) Result {
	return runPlantedLeases(seed, plantedLeases{}, traceTo)
}

// RunSameIDLeases runs one seed in which instances start again under their identifiers.
func RunSameIDLeases(seed uint64, traceTo io.Writer) Result {
	return runLeasesOfSameID(seed, plantedLeases{}, traceTo)
}

func runLeasesOfSameID(seed uint64, planted plantedLeases, traceTo io.Writer) Result {
	s := newLeaseSimulation(seed, planted, traceTo)
	s.leaseWorld.sameID = true
	return s.playLeases()
}

// RunLateLeases runs one seed in which copies of heartbeats arrive late.
func RunLateLeases(seed uint64, traceTo io.Writer) Result {
	return runPlantedLateLeases(seed, plantedLeases{}, traceTo)
}

func runPlantedLateLeases(seed uint64, planted plantedLeases, traceTo io.Writer) Result {
	s := newLeaseSimulation(seed, planted, traceTo)
	s.leaseWorld.late = true
	return s.playLeases()
}

func runPlantedLeases(seed uint64, planted plantedLeases, traceTo io.Writer) Result {
	return newLeaseSimulation(seed, planted, traceTo).playLeases()
}

func (s *simulation) playLeases() Result {
	result := s.play(s.runLeases)
	result.Checks.Holdings += s.leaseWorld.checked
	return result
}

func (s *simulation) runLeases() {
	for _, each := range s.controllers {
		each.start()
	}
	if !s.await(setupLimit, s.configureKeyed) {
		s.checker.Fail(checker.NoFailure, "the service is not configured after %v without faults", setupLimit)
		return
	}
	for _, each := range s.leaseWorld.instances {
		each.start()
	}
	s.awaitAllHeld("at first")
	s.injectLeaseFaults()
	s.endFaults()
	for _, each := range s.leaseWorld.instances {
		each.heal()
		each.late.cutOff = 0
		if !each.alive {
			each.start()
		}
	}
	s.awaitAllHeld("after the faults")
}

// configureKeyed asks the leader, if there is one, to take the service, and reports
// whether it has.
func (s *simulation) configureKeyed() bool {
	leader, found := s.leader()
	if !found {
		return false
	}
	if _, configured := leader.state.Directory().Service(keyedService); configured {
		return true
	}
	patch, err := directory.ReadPatch(fmt.Appendf(nil, `{"set":{"services":[{"name":%q,"keyed":true,"version":1}]}}`, keyedService))
	if err != nil {
		s.checker.Fail(checker.NoFailure, "the service is not valid: %v", err)
		return false
	}
	leader.owner.step(func() {
		leader.driver.Propose(driver.Proposal{Command: state.Command{Directory: &directory.Command{Patch: &patch}}, Done: func(driver.Outcome) {}})
	})
	return false
}

func (s *simulation) awaitAllHeld(when string) {
	if s.checker.Violation() != nil || s.await(s.queue.Now()+leaseSettleLimit, s.allHeld) {
		return
	}
	s.checker.Fail(checker.OwnerLiveness, "%s not every key is held after %v without faults", when, leaseSettleLimit)
}

// allHeld reports whether each probed key is held by an instance.
func (s *simulation) allHeld() bool {
	for _, key := range probedKeys() {
		held := false
		for _, each := range s.leaseWorld.instances {
			held = held || each.holds(key)
		}
		if !held {
			return false
		}
	}
	return true
}

var leaseFaultKinds = []faultKind{
	{4, (*simulation).pauseController},
	{4, (*simulation).pauseInStep},
	{3, (*simulation).crashController},
	{2, (*simulation).crashInWrite},
	{1, (*simulation).loseAnyDisk},
	{4, (*simulation).slowDisk},
	{6, (*simulation).cutLinks},
	{4, (*simulation).splitNetwork},
	{3, (*simulation).changeNetwork},
	{2, (*simulation).transferLeadership},
	{3, (*simulation).pauseInstance},
	{2, (*simulation).restartInstance},
}

func (s *simulation) injectLeaseFaults() {
	end := s.queue.Now() + leaseFaultPeriod
	s.leaseWorld.faultsEnd = end
	kinds := leaseFaultKinds
	if s.leaseWorld.late {
		kinds = append(slices.Clone(kinds), lateFaultKinds...)
	}
	pace := s.between(80*time.Millisecond, 700*time.Millisecond)
	s.suspendMachines(end)
	for s.queue.Now() < end && s.checker.Violation() == nil {
		s.advance(min(end, s.queue.Now()+s.between(0, 2*pace)))
		s.inject(kinds)
	}
}

func (s *simulation) anyInstance() *instance {
	return s.leaseWorld.instances[s.random.IntN(len(s.leaseWorld.instances))]
}

func (s *simulation) pauseInstance() {
	s.counts.Freezes++
	s.anyInstance().pause(s.pauseTime())
}

// restartInstance ends an instance; another one starts at its address.
func (s *simulation) restartInstance() {
	target := s.anyInstance()
	if !target.alive {
		return
	}
	s.counts.ServerCrashes++
	s.trace("%s ends", target.id)
	target.end()
	s.restartLater(target.process, target.start)
}

// countDemand tells a leader of requests for a few neighbouring keys, which change.
func (s *simulation) countDemand(k *leaseKeeper) {
	const apart, hotKeys, mostRequests, busyMs = 32, 6, 6, 100
	first := uint16(s.queue.Now()/hotKeyChange) * 8009
	report := heartbeat.Report{Service: keyedService}
	for offset := range uint16(hotKeys) {
		report.Keys = append(report.Keys, first+offset*apart)
		report.Counts = append(report.Counts, uint16(s.random.IntN(mostRequests)))
	}
	for _, each := range s.leaseWorld.instances {
		report.Instances = append(report.Instances, heartbeat.InstanceReport{ID: each.id, Answered: 1, BusyMs: busyMs})
	}
	k.core.AddReport(k.replica.host.Now(), report)
}
