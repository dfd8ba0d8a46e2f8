package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/lab/lease"
	"github.com/thorntiller/thorntiller/internal/state"
)

// process is one server process. Its clock differs from the controllers' clock by
// rate and offset.
type process struct {
	holder *lease.Holder
	frozen bool
	rate   float64
	offset time.Duration
	// pending are the messages that arrived while it was frozen.
	pending []delivery
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

// delivery is a message in transit to a server.
type delivery struct {
	at   time.Duration
	from *Coordinator
	send Send
}

// adoptionRun drives lease holders, a leader and a deposed leader that still
// considers itself the leader through random changes of mode, moves, freezes,
// elections and restarts.
type adoptionRun struct {
	random        *rand.Rand
	now           time.Duration
	index         uint64
	view          *state.State
	leader        *Coordinator
	term          uint64
	deposed       *Coordinator
	staleView     *state.State
	processes     map[state.ServerID]*process
	processCount  int
	inTransit     []delivery
	acceptedPlans int
}

func newAdoptionRun(seed uint64) *adoptionRun {
	run := &adoptionRun{random: rand.New(rand.NewPCG(seed, 0)), view: state.New(), processes: map[state.ServerID]*process{}}
	service := state.Service{Name: "s", Keyed: true, MaxMoves: 2, Mode: state.ModeObserved, Adopted: true}
	operations := []state.Operation{{PutService: &service}}
	ranges := state.ObserveRanges{Service: "s"}
	for position, id := range []state.ServerID{"a", "b"} {
		operations = append(operations, state.Operation{PutServer: &state.Server{ID: id, Service: "s", Intent: state.ServerActive}})
		keys := state.KeyRange{First: uint64(position) << 63, Last: uint64(position)<<63 + (1<<63 - 1)}
		ranges.Ranges = append(ranges.Ranges, state.OwnedRange{Range: keys, Server: id})
		run.startProcess(id)
		run.processes[id].holder.Observe([]backendapi.Assignment{{First: keys.First, Last: keys.Last}})
	}
	run.confirmPlan(append(operations, state.Operation{ObserveRanges: &ranges})...)
	run.electLeader()
	return run
}

func (r *adoptionRun) startProcess(id state.ServerID) {
	r.processCount++
	fresh := &process{rate: 0.995 + 0.01*r.random.Float64(), offset: time.Duration(r.random.Int64N(int64(time.Hour)))}
	fresh.holder = lease.NewHolder(string(id), fmt.Sprintf("%s-%d", id, r.processCount), fresh.clock(r.now))
	r.processes[id] = fresh
}

// electLeader replaces the leader. The deposed one continues with the state at
// that time.
func (r *adoptionRun) electLeader() {
	r.deposed = r.leader
	if encoded, err := r.view.Encode(); err == nil {
		r.staleView, _ = state.Decode(encoded)
	}
	r.term++
	r.leader = New(testConfig)
	r.leader.Lead(r.now, r.term, r.view)
}

func (r *adoptionRun) apply(command state.Command) state.Result {
	r.index++
	result := r.view.Apply(r.index, command)
	if r.leader != nil {
		r.leader.Changed(r.now, result.Changed)
	}
	return result
}

func (r *adoptionRun) confirmPlan(operations ...state.Operation) {
	id := state.PlanID(fmt.Sprint("plan-", r.index))
	r.apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: id, Operations: operations}}})
	if r.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: id}}).Err == nil {
		r.acceptedPlans++
	}
}

func (r *adoptionRun) makeRandomChange() {
	id := []state.ServerID{"a", "b"}[r.random.IntN(2)]
	target := r.processes[id]
	service, _ := r.view.Service("s")
	switch r.random.IntN(6) {
	case 0, 1:
		mode := state.ModeManaged
		if service.Mode == state.ModeManaged {
			mode = state.ModeObserved
		}
		r.confirmPlan(state.Operation{ChangeMode: &state.ChangeMode{Service: "s", Mode: mode, Revision: service.Revision}})
	case 2:
		shards := r.view.ShardsOf("s")
		shard := shards[r.random.IntN(len(shards))]
		r.confirmPlan(state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, To: id}})
	case 3:
		target.frozen = true
	case 4:
		r.electLeader()
	case 5:
		// Restarts happen only in managed mode, in which the team's scripts do not
		// run, so that the new process claims nothing.
		if service.Mode == state.ModeManaged && !target.holder.Observed() {
			r.startProcess(id)
		}
	}
}

func (r *adoptionRun) unfreeze() {
	for _, target := range r.processes {
		if target.frozen && r.random.IntN(100) == 0 {
			target.frozen = false
			for _, message := range target.pending {
				r.inTransit = append(r.inTransit, delivery{at: r.now + time.Millisecond, from: message.from, send: message.send})
			}
			target.pending = nil
		}
	}
}

func (r *adoptionRun) step() {
	r.now += 10 * time.Millisecond
	if r.random.IntN(40) == 0 {
		r.makeRandomChange()
	}
	r.unfreeze()
	actions := r.leader.Tick(r.now, r.view)
	if actions.Round != 0 {
		r.leader.RoundConfirmed(r.now, actions.Round)
	}
	for _, proposal := range actions.Proposals {
		r.apply(proposal.Command)
		r.leader.ProposalDone(proposal.Token)
	}
	r.sendAll(r.leader, actions.Sends)
	if r.deposed != nil {
		r.sendAll(r.deposed, r.deposed.Tick(r.now, r.staleView).Sends)
	}
	waiting := r.inTransit
	r.inTransit = nil
	for _, message := range waiting {
		r.deliver(message)
	}
}

func (r *adoptionRun) sendAll(from *Coordinator, sends []Send) {
	for _, send := range sends {
		delay := time.Duration(r.random.Int64N(int64(15 * time.Millisecond)))
		if r.random.IntN(10) == 0 {
			delay = time.Duration(r.random.Int64N(int64(3 * time.Second)))
			from.Failed(send.Server, send.Request.Fence.Sequence)
		}
		r.inTransit = append(r.inTransit, delivery{at: r.now + delay, from: from, send: send})
	}
}

func (r *adoptionRun) deliver(message delivery) {
	target := r.processes[message.send.Server]
	switch {
	case message.at > r.now:
		r.inTransit = append(r.inTransit, message)
	case target.frozen:
		target.pending = append(target.pending, message)
	default:
		answer := target.holder.HandleLease(target.clock(r.now), message.send.Request)
		message.from.Answered(r.now, message.send.Server, message.send.Request.Fence.Sequence, answer)
	}
}

// ownerCount returns how many processes would execute a request for the hash.
func (r *adoptionRun) ownerCount(hash uint64) int {
	count := 0
	for _, target := range r.processes {
		if !target.frozen && r.serves(target, hash) {
			count++
		}
	}
	return count
}

func (r *adoptionRun) serves(target *process, hash uint64) bool {
	now := target.clock(r.now)
	if target.holder.Observed() {
		return target.holder.Check(now, 0, 0, hash) == ""
	}
	for _, shard := range r.view.ShardsOf("s") {
		for epoch := range shard.Epoch + 1 {
			if target.holder.Check(now, uint64(shard.ID), uint64(epoch), hash) == "" {
				return true
			}
		}
	}
	return false
}

func TestAuthorityChangesHandsWithoutTwoOwners(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 120
	properties := gopter.NewProperties(parameters)
	changes := 0
	properties.Property("at most one owner", prop.ForAll(func(seed uint64) string {
		run := newAdoptionRun(seed)
		for range 1500 {
			run.step()
			for _, hash := range []uint64{1, 1<<63 + 1} {
				if owners := run.ownerCount(hash); owners > 1 {
					return fmt.Sprintf("at %v: %d owners of hash %d", run.now, owners, hash)
				}
			}
		}
		changes += run.acceptedPlans
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if changes < 400 {
		t.Errorf("only %d plans were accepted in all runs, want at least 400", changes)
	}
}

func TestServiceGoesToManagedAndBackUnderTheSameOwners(t *testing.T) {
	run := newAdoptionRun(1)
	changeMode := func(mode state.ServiceMode) {
		t.Helper()
		service, _ := run.view.Service("s")
		run.confirmPlan(state.Operation{ChangeMode: &state.ChangeMode{Service: "s", Mode: mode, Revision: service.Revision}})
		for range 100 {
			run.now += 10 * time.Millisecond
			actions := run.leader.Tick(run.now, run.view)
			run.leader.RoundConfirmed(run.now, actions.Round)
			for _, proposal := range actions.Proposals {
				run.apply(proposal.Command)
				run.leader.ProposalDone(proposal.Token)
			}
			for _, send := range actions.Sends {
				run.deliver(delivery{at: run.now, from: run.leader, send: send})
			}
		}
		for position, id := range []state.ServerID{"a", "b"} {
			target := run.processes[id]
			if !run.serves(target, uint64(position)<<63+5) || target.holder.Observed() != (mode == state.ModeObserved) {
				t.Errorf("mode %s: server %s does not serve its keys as the mode requires (observed %v)", mode, id, target.holder.Observed())
			}
		}
		for _, view := range run.leader.Views(run.view) {
			if !view.InForce || view.Differences != 0 {
				t.Errorf("mode %s: server is not in force or differs from the table: %+v", mode, view)
			}
		}
	}
	changeMode(state.ModeManaged)
	changeMode(state.ModeObserved)
	changeMode(state.ModeManaged)
	run.processes["a"].holder.Observe([]backendapi.Assignment{{First: 5, Last: 6}})
	run.leader.trackers["a"].claims = nil
	if got := countDifferences(run.view.OwnedBy("a"), []backendapi.Assignment{{First: 5, Last: 6}}); got != 1 {
		t.Errorf("%d differences, want 1: the claim covers only part of the shard", got)
	}
}
