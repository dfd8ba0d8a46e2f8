package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	randomSeeds = 100
	randomSteps = 6000
	maxReplicas = 7
)

// randomRun drives a cluster with random events: message loss, delay, reordering
// and duplication, crashes while persisting, and membership changes.
type randomRun struct {
	*cluster
	random   *rand.Rand
	sequence uint64
	// tickChance and lossChance are percentages. A high tickChance causes elections.
	tickChance int
	lossChance int
}

func newRandomRun(seed uint64, injected faults) *randomRun {
	run := &randomRun{cluster: newCluster(3), random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // runs must be reproducible from the seed
	run.faults = injected
	run.tickChance = 20 + 10*int(seed%5)
	run.lossChance = 5 * int(seed%3)
	crashInterval := 60 << (seed % 6) // one crash per 60 to 1920 calls of crashAt
	run.crashAt = func(ReplicaID) bool { return run.random.IntN(crashInterval) == 0 }
	return run
}

func (run *randomRun) steps(count int) {
	for range count {
		if run.checker.violation != "" {
			return
		}
		run.step()
	}
}

func (run *randomRun) step() {
	id := run.ids[run.random.IntN(len(run.ids))]
	r := run.replicas[id]
	switch chance := run.random.IntN(100); {
	case r.core == nil:
		if chance < 25 {
			run.restart(id)
		}
	case chance < run.tickChance:
		r.core.Tick()
	case chance < 85:
		run.deliverOne()
	case chance < 92:
		run.sequence++
		_ = r.core.Propose(fmt.Appendf(nil, "%d", run.sequence)) // rejections are expected
	case chance < 96:
		run.read(r)
	case chance < 98:
		run.change(r.core)
	case chance < 99:
		if err := run.compact(id); err != nil {
			run.checker.failf("compact: %v", err)
		}
	case run.random.IntN(4) == 0:
		r.core = nil
	default:
		_ = r.core.TransferLeadership(run.ids[run.random.IntN(len(run.ids))]) // rejections are expected
	}
	run.run(id)
	if r.core != nil {
		run.checker.observe(r)
	}
}

// deliverOne picks one of the first 8 messages in flight and loses, duplicates or delivers it.
func (run *randomRun) deliverOne() {
	if len(run.network) == 0 {
		return
	}
	position := run.random.IntN(min(len(run.network), 8))
	message := run.network[position]
	chance := run.random.IntN(100)
	if chance >= 10 || len(run.network) > 100 {
		run.network = slices.Delete(run.network, position, position+1)
	}
	if chance < 100-run.lossChance {
		run.receive(message)
	}
}

func (run *randomRun) read(r *replica) {
	run.sequence++
	run.checker.reads[run.sequence] = run.checker.maxCommit
	if run.faults.localReads && r.core.role == RoleLeader {
		run.checker.confirmed(ReadState{Context: run.sequence, Index: r.core.log.committed})
		return
	}
	_ = r.core.ReadIndex(run.sequence) // rejections are expected
}

// change proposes a random membership change; most are valid, some are rejected.
func (run *randomRun) change(core *Core) {
	if core.role != RoleLeader {
		return
	}
	members := core.membership.Members
	change := MembershipChange{Kind: RemoveMember, Member: members[run.random.IntN(len(members))]}
	if change.Member.Learner {
		change.Kind = PromoteLearner
	} else if len(run.ids) < maxReplicas && run.random.IntN(2) == 0 {
		change = MembershipChange{Kind: AddLearner, Member: Member{ID: ReplicaID(len(run.ids) + 1)}}
	}
	if core.ProposeMembership(change) == nil && change.Kind == AddLearner {
		run.start(change.Member.ID, SnapshotMetadata{})
	}
}

// settle stops crashes and message loss, restarts crashed replicas and reports
// whether the group then commits a new command.
func (run *randomRun) settle() bool {
	run.crashAt = nil
	for _, id := range run.ids {
		if run.replicas[id].core == nil {
			run.restart(id)
		}
	}
	const command = "settled"
	for range 400 {
		for _, id := range run.ids {
			core := run.replicas[id].core
			core.Tick()
			_ = core.Propose([]byte(command)) // only the leader accepts it
			run.deliver()
			if slices.Contains(run.replicas[id].state, command) {
				return true
			}
		}
	}
	return false
}

func TestRandomFaults(t *testing.T) {
	commits, confirmed, changes := 0, 0, 0
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		run := newRandomRun(seed, faults{})
		run.steps(randomSteps)
		settled := run.settle()
		if run.checker.violation != "" || !settled {
			t.Fatalf("seed %d: settled=%v %s", seed, settled, run.checker.violation)
		}
		commits += len(run.checker.committed)
		confirmed += run.checker.confirmations
		changes += len(run.ids) - 3
	}
	t.Logf("%d commits, %d reads, %d replicas added", commits, confirmed, changes)
	if commits < 10*randomSeeds || confirmed < randomSeeds || changes < randomSeeds/2 {
		t.Fatal("the runs committed too few entries, reads or membership changes to prove anything")
	}
}

// TestPlantedForgottenVote restarts a voter between the vote requests of two
// candidates of one term. The checker must find two leaders if, and only if, the
// vote was not persisted.
func TestPlantedForgottenVote(t *testing.T) {
	for _, forget := range []bool{false, true} {
		c := newCluster(3)
		c.faults.skipVote = forget
		c.replicas[1].core.startElection(false)
		c.run(1)
		c.receive(c.network[1]) // to replica 3, which votes
		c.network = c.network[2:]
		c.restart(3)
		c.cut[[2]ReplicaID{1, 2}] = true
		c.replicas[2].core.startElection(false)
		c.deliver()
		if found := c.checker.violation != ""; found != forget {
			t.Fatalf("vote forgotten: %v, checker reports %q", forget, c.checker.violation)
		}
	}
}

// TestPlantedFaults proves that the checker detects each injected fault.
func TestPlantedFaults(t *testing.T) {
	injected := map[string]faults{
		"own append counts unsynced":  {skipEntries: true},
		"read without a quorum round": {localReads: true},
	}
	for name, fault := range injected {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= randomSeeds; seed++ {
				run := newRandomRun(seed, fault)
				run.steps(randomSteps)
				if run.checker.violation != "" {
					t.Logf("seed %d: %s", seed, run.checker.violation)
					return
				}
			}
			t.Fatal("the checker missed the fault")
		})
	}
}
