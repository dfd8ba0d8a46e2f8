package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Bounds of the replica's inputs. A full inbox drops consensus messages, which
// the algorithm tolerates; the other inputs make their callers wait.
const (
	inboxSize     = 4096
	proposalsSize = 1024
	readsSize     = 1024
	resultsSize   = 1024
	// inputsPerRound bounds the inputs taken before the outputs are handled.
	inputsPerRound = 256
	// maxWaitingReads bounds the reads that wait for a quorum.
	maxWaitingReads = 16384
)

// replica drives the consensus core, the state machine and the coordinator in
// one goroutine. Other goroutines reach it through its channels.
type replica struct {
	settings config.Controller
	log      *logrus.Entry
	clock    clock.Clock
	self     consensus.Member
	storage  *durable.Storage
	peers    *peers
	leases   *leaseSender
	metrics  *metrics
	history  *tableHistory
	whole    wholeTable
	routers  *routerRegistry
	// partitions places the idempotency records on routers.
	partitions *partitionKeeper
	cluster    message.ClusterID
	// background holds the goroutines of table streams and of senders that stop.
	background conc.WaitGroup

	core        *consensus.Core
	coordinator *coordinator.Coordinator
	pending     *pendingProposals
	rounds      readRounds
	joining     joins
	applied     uint64
	leading     bool
	// snapshotting is true while a snapshot is written beside the loop.
	snapshotting bool

	inbox     chan consensus.Message
	proposals chan proposal
	reads     chan read
	results   chan leaseResult
	joinInbox chan consensus.Member
	transfers chan chan error
	// snapshots brings the end of the snapshot that is being written.
	snapshots chan savedSnapshot
	// inspections run in the loop, to read what the coordinator knows.
	inspections chan func(*coordinator.Coordinator)

	// stateLock guards state against readers; the loop alone writes.
	stateLock sync.RWMutex
	state     *state.State
	published atomic.Pointer[published]
	// leadership is closed when this replica stops leading, and replaced when
	// it begins.
	leadershipLock sync.Mutex
	leadership     context.Context
	endLeadership  context.CancelFunc
}

// published is what other goroutines may know of the loop's newest state.
type published struct {
	status  consensus.Status
	leading bool
}

// leaseResult is the end of one lease message. Failed messages have no answer.
type leaseResult struct {
	server   state.ServerID
	sequence uint64
	answer   *backendapi.LeaseAnswer
}

func newReplica(settings config.Controller, log *logrus.Entry, self consensus.Member, disk *durable.Storage, metrics *metrics) (*replica, error) {
	r := &replica{
		settings:    settings,
		log:         log,
		clock:       clock.NewSystem(),
		self:        self,
		storage:     disk,
		metrics:     metrics,
		routers:     newRouterRegistry(),
		coordinator: coordinator.New(coordinatorConfig(settings)),
		pending:     newPendingProposals(rand.Uint64() >> 1),
		inbox:       make(chan consensus.Message, inboxSize),
		proposals:   make(chan proposal, proposalsSize),
		reads:       make(chan read, readsSize),
		results:     make(chan leaseResult, resultsSize),
		joinInbox:   make(chan consensus.Member, 1),
		transfers:   make(chan chan error),
		snapshots:   make(chan savedSnapshot, 1),
		inspections: make(chan func(*coordinator.Coordinator)),
		state:       disk.State,
		applied:     disk.Initial.Snapshot.Index,
	}
	r.history = newTableHistory(settings.Table.HistoryDeltas, r.state.Revision())
	core, err := consensus.New(consensus.Config{
		ID:                  self.ID,
		ElectionTicks:       settings.Consensus.ElectionTicks,
		HeartbeatTicks:      settings.Consensus.HeartbeatTicks,
		MaxAppendBytes:      settings.Consensus.MaxAppendBytes,
		MaxInflight:         settings.Consensus.MaxInflight,
		MaxUncommittedBytes: settings.Consensus.MaxUncommittedBytes,
		Seed:                rand.Uint64(),
		TickInterval:        settings.Consensus.TickInterval,
	}, disk.Initial, disk.Newest)
	if err != nil {
		return nil, err
	}
	r.core = core
	r.partitions = newPartitionKeeper(settings, r)
	r.joining.pending = make(map[consensus.ReplicaID]consensus.Member)
	r.publish()
	return r, nil
}

func coordinatorConfig(settings config.Controller) coordinator.Config {
	return coordinator.Config{
		LeaseDuration:  settings.Lease.Duration,
		RenewInterval:  settings.Lease.RenewInterval,
		ClockRateBound: settings.Lease.ClockRateBound,
		Margin:         settings.Lease.Margin,
		RoundInterval:  coordinator.DefaultRoundInterval,
		MaxBatch:       coordinator.DefaultMaxBatch,
	}
}

// run drives the replica until the context ends or the disk fails.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.Consensus.TickInterval)
	defer ticker.Stop()
	defer r.stopLeading()
	ctx, cancel := context.WithCancel(ctx)
	var keeping conc.WaitGroup
	keeping.Go(func() { r.partitions.run(ctx) })
	defer keeping.Wait()
	defer cancel()
	defer r.endSnapshot()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick()
		case input := <-r.inbox:
			r.step(input)
		case input := <-r.proposals:
			r.propose(input)
		case input := <-r.reads:
			r.read(input)
		case input := <-r.results:
			r.leaseAnswered(input)
		case member := <-r.joinInbox:
			r.joining.pending[member.ID] = member
		case done := <-r.transfers:
			done <- r.transferLeadership()
		case saved := <-r.snapshots:
			if err := r.adoptSnapshot(saved); err != nil {
				return err
			}
		case inspect := <-r.inspections:
			inspect(r.coordinator)
		}
		r.takeMore()
		if err := r.handleReady(); err != nil {
			return err
		}
		r.observeRole()
		r.publish()
	}
}

// takeMore takes inputs that wait already, so that one sync serves many.
func (r *replica) takeMore() {
	for range inputsPerRound {
		select {
		case input := <-r.inbox:
			r.step(input)
		case input := <-r.proposals:
			r.propose(input)
		case input := <-r.reads:
			r.read(input)
		case input := <-r.results:
			r.leaseAnswered(input)
		default:
			return
		}
	}
}

func (r *replica) tick() {
	r.core.Tick()
	r.rounds.begin(r.clock.Now(), r.core.ReadIndex)
	r.runCoordinator()
	r.tickMembership()
}

func (r *replica) step(input consensus.Message) {
	if err := r.core.Step(input); err != nil {
		r.log.WithError(err).Debug("consensus message refused")
	}
}

func (r *replica) propose(input proposal) {
	sequence := r.pending.add(input)
	data, err := encodeEnvelope(envelope{Replica: r.self.ID, Sequence: sequence, Command: input.command})
	if err == nil {
		err = r.core.Propose(data)
	}
	if err == nil {
		return
	}
	r.pending.take(sequence)
	r.finish(input, outcome{err: r.refusalOf(err)})
}

// refusalOf turns the core's refusal of a proposal into an error kind. The
// proposal did not enter the log.
func (r *replica) refusalOf(err error) error {
	if r.core.Status().Role != consensus.RoleLeader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	return fault.Newf(fault.QueueFull, "the log takes no more at present: %v", err)
}

// finish reports the end of a proposal to whoever waits for it.
func (r *replica) finish(ended proposal, end outcome) {
	if ended.token != 0 {
		r.coordinator.ProposalDone(ended.token)
		return
	}
	ended.done <- end
}

func (r *replica) read(input read) {
	if len(r.rounds.waiting)+len(r.rounds.started) >= maxWaitingReads {
		return
	}
	r.rounds.add(input)
	r.rounds.begin(r.clock.Now(), r.core.ReadIndex)
}

func (r *replica) leaseAnswered(result leaseResult) {
	if result.answer == nil {
		r.coordinator.Failed(result.server, result.sequence)
		return
	}
	r.coordinator.Answered(r.clock.Now(), result.server, result.sequence, *result.answer)
}

func (r *replica) runCoordinator() {
	actions := r.coordinator.Tick(r.clock.Now(), r.state)
	for _, send := range actions.Sends {
		r.leases.send(send)
	}
	for _, wanted := range actions.Proposals {
		r.propose(proposal{command: wanted.Command, token: wanted.Token})
	}
	if actions.Round != 0 {
		if err := r.core.ReadIndex(coordinatorContext | actions.Round); err != nil {
			r.log.WithError(err).Debug("quorum round not begun")
		}
	}
}

// observeRole starts and ends the work that only a leader does. It begins once
// the state holds every acknowledged entry.
func (r *replica) observeRole() {
	status := r.core.Status()
	leads := status.Role == consensus.RoleLeader && status.TermCommitted && status.Applied == status.Commit
	switch {
	case leads && !r.leading:
		r.startLeading(status)
	case r.leading && status.Role != consensus.RoleLeader:
		r.stopLeading()
	}
}

func (r *replica) publish() {
	r.published.Store(&published{status: r.core.Status(), leading: r.leading})
}
