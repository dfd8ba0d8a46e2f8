package sim

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/membership"
	"github.com/thorntiller/thorntiller/internal/state"
)

// coordinatorContext marks the quorum rounds of the coordinator.
const coordinatorContext = uint64(1) << 63

// replica drives the cores of one controller, input by input, as
// internal/controller does in its loop.
type replica struct {
	owner       *controller
	sim         *simulation
	core        *consensus.Core
	coordinator *coordinator.Coordinator
	storage     *durable.Storage
	state       *state.State
	history     tableHistory
	streams     []*stream
	applied     uint64
	leading     bool
	// term is the one that the replica leads or led; round and roundBegan are the
	// coordinator's newest quorum round and the true time of its begin.
	term       uint64
	round      uint64
	roundBegan time.Duration
	// leadsSince is the true time at which the replica began to lead.
	leadsSince time.Duration
	joining    map[consensus.ReplicaID]consensus.Member
	reads      readRounds
	// sequence numbers the proposals of this process, waiting holds them.
	sequence uint64
	waiting  map[uint64]proposal
}

// envelope is the data of a log entry.
type envelope struct {
	Replica  consensus.ReplicaID
	Sequence uint64
	Command  state.Command
}

// outcome is the end of a proposal.
type outcome struct {
	index  uint64
	result state.Result
	err    error
}

// proposal is a command on its way through the log. Token is the coordinator's;
// done is for others.
type proposal struct {
	command state.Command
	token   uint64
	done    func(outcome)
}

func newReplica(owner *controller, disk *durable.Storage) (*replica, error) {
	s := owner.sim
	r := &replica{
		owner: owner, sim: s, storage: disk, state: disk.State,
		coordinator: coordinator.New(s.coordination),
		applied:     disk.Initial.Snapshot.Index,
		joining:     make(map[consensus.ReplicaID]consensus.Member),
		sequence:    s.random.Uint64() >> 1,
		waiting:     make(map[uint64]proposal),
	}
	r.history.reset(r.state.Revision())
	settings := s.settings.Consensus
	core, err := consensus.New(consensus.Config{
		ID:                  owner.self.Replica,
		ElectionTicks:       settings.ElectionTicks,
		HeartbeatTicks:      settings.HeartbeatTicks,
		MaxAppendBytes:      settings.MaxAppendBytes,
		MaxInflight:         settings.MaxInflight,
		MaxUncommittedBytes: settings.MaxUncommittedBytes,
		Seed:                s.random.Uint64(),
		TickInterval:        settings.TickInterval,
	}, disk.Initial, disk.Newest)
	r.core = core
	return r, err
}

func (r *replica) now() time.Duration { return r.owner.now() }

func (r *replica) tick() {
	r.core.Tick()
	r.reads.begin(r.now(), r.core.ReadIndex)
	r.runCoordinator()
	r.tickMembership()
}

func (r *replica) runCoordinator() {
	actions := r.coordinator.Tick(r.now(), r.state)
	for _, send := range actions.Sends {
		r.sendLease(send)
	}
	for _, wanted := range actions.Proposals {
		r.propose(proposal{command: wanted.Command, token: wanted.Token})
	}
	if actions.Round != 0 && r.sim.planted.assumeQuorum {
		r.coordinator.RoundConfirmed(r.now(), actions.Round)
		return
	}
	if actions.Round != 0 {
		r.round, r.roundBegan = actions.Round, r.sim.queue.Now()
		// A round that cannot begin is begun again by the coordinator.
		_ = r.core.ReadIndex(coordinatorContext | actions.Round)
	}
}

// sendLease carries a lease message to a server and its answer back, unless the
// exchange takes longer than the timeout of the HTTP call.
func (r *replica) sendLease(send coordinator.Send) {
	target, found := r.sim.server(send.Server)
	if !found {
		return
	}
	open := true
	finish := func(end func()) {
		if open {
			open = false
			r.owner.step(end)
		}
	}
	sequence := send.Request.Fence.Sequence
	r.owner.sendOnce(target.process, func() {
		answer := target.leaseMessage(send.Request)
		target.sendOnce(r.owner.process, func() {
			finish(func() { r.coordinator.Answered(r.now(), send.Server, sequence, answer) })
		})
	})
	r.owner.after(r.sim.settings.Lease.RequestTimeout, func() {
		finish(func() { r.coordinator.Failed(send.Server, sequence) })
	})
}

func (r *replica) propose(input proposal) {
	r.sequence++
	r.waiting[r.sequence] = input
	data, err := codec.Marshal(&envelope{Replica: r.owner.self.Replica, Sequence: r.sequence, Command: input.command})
	if err == nil {
		err = r.core.Propose(data)
	}
	if err == nil {
		return
	}
	delete(r.waiting, r.sequence)
	r.finish(input, outcome{err: fault.New(fault.NotLeader, err.Error())})
}

func (r *replica) finish(ended proposal, end outcome) {
	if ended.token != 0 {
		r.coordinator.ProposalDone(ended.token)
		return
	}
	ended.done(end)
}

// join notes a replica that asks to be taken into the group.
func (r *replica) join(member consensus.Member) {
	if r.leading {
		r.joining[member.ID] = member
	}
}

func (r *replica) tickMembership() {
	if !r.leading || len(r.joining) == 0 {
		return
	}
	status := r.core.Status()
	for _, id := range sortedKeys(r.joining) {
		change, wanted := membership.NextChange(status, r.joining[id])
		if !wanted {
			if membership.IsVoter(status.Membership, id) {
				delete(r.joining, id)
			}
			continue
		}
		if r.core.ProposeMembership(change) == nil {
			r.sim.trace("%s proposes membership change %d of %s, replica %s", r.owner.node, change.Kind, change.Member.Name, shortID(change.Member.ID))
		}
		return
	}
}

// observeRole starts and ends what only a leader does.
func (r *replica) observeRole() {
	status := r.core.Status()
	r.owner.known.note(status)
	if status.Role == consensus.RoleLeader {
		r.sim.checker.Leader(status.Term, r.owner.name()+"/"+shortID(status.ID))
	}
	leads := status.Role == consensus.RoleLeader && status.TermCommitted && status.Applied == status.Commit
	switch {
	case leads && !r.leading:
		r.startLeading(status)
	case r.leading && status.Role != consensus.RoleLeader:
		r.stopLeading()
	}
}

func (r *replica) startLeading(status consensus.Status) {
	r.leading = true
	r.leadsSince = r.sim.queue.Now()
	r.sim.counts.Elections++
	r.sim.trace("%s leads term %d at index %d", r.owner.node, status.Term, status.Applied)
	r.sim.checker.MustHold(r.owner.name(), status.Term, status.Applied)
	r.coordinator.Lead(r.now(), status.Term, r.state)
	r.noteQuiet(status)
}

// noteQuiet tells the coordinator, and the checker in true time, since when no
// earlier leader began a quorum round.
func (r *replica) noteQuiet(status consensus.Status) {
	quiet := status.QuietBeforeElection
	if r.sim.planted.overstate != nil {
		quiet = r.sim.planted.overstate(quiet)
	}
	r.coordinator.QuietBefore(quiet)
	r.term = status.Term
	counted := time.Duration(float64(quiet) * (1 - r.sim.coordination.ClockRateBound))
	r.sim.checker.LeadsAfterQuiet(r.term, r.sim.queue.Now()-r.owner.trueDuration(counted))
}

func (r *replica) stopLeading() {
	r.leading = false
	r.sim.trace("%s leads no longer", r.owner.node)
	r.coordinator.Follow()
	clear(r.joining)
	r.closeStreams()
	lost := fault.New(fault.Unavailable, "leadership was lost")
	for _, sequence := range sortedKeys(r.waiting) {
		dropped := r.waiting[sequence]
		delete(r.waiting, sequence)
		r.finish(dropped, outcome{err: lost})
	}
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// shortID returns the end of an identifier, enough to tell replicas apart.
func shortID(id consensus.ReplicaID) string {
	return strconv.FormatUint(uint64(id)&0xffffff, 16)
}
