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
	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/remoteclock"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
)

// Capacities of the inputs of the replica. A full inbox drops consensus messages, which the algorithm
// tolerates; the other inputs block their callers.
const (
	inboxSize     = 4096
	proposalsSize = 1024
	readsSize     = 1024
	resultsSize   = 1024
	// inputsPerRound bounds the inputs that are processed before the outputs are handled.
	inputsPerRound = 256
)

// replica runs the driver of the consensus core, the state machine and the coordinator in one goroutine, the
// replica's loop. Other goroutines communicate with the loop through channels.
type replica struct {
	settings config.Controller
	log      *logrus.Entry
	clock    clock.Clock
	// clockOrigin names the clock in readings for other processes.
	clockOrigin uint64
	self        consensus.Member
	storage     *durable.Storage
	peers       *peers
	leases      *leaseSender
	metrics     *metrics
	history     *tablestream.History
	fullTable   fullTableCache
	routers     *routerRegistry
	// partitions places the idempotency records on routers.
	partitions *partitionManager
	// heartbeats processes the heartbeats of instances.
	heartbeats *heartbeatManager
	// load counts the work that this replica does for servers and gateways.
	load controlLoad
	// quotas grants the tokens of tenants and instances.
	quotas *quotaManager
	// suspects quarantines requests under which instances crash.
	suspects *suspectManager
	// directoryChanged is raised when the directory changes.
	directoryChanged *broadcast.Broadcast
	// instanceChanged wakes heartbeats that wait for a change of their instance.
	instanceChanged *instanceNotifier
	feed            directoryFeed
	// directoryStreams counts the open streams of the directory.
	directoryStreams atomic.Int64
	// gateways lists the gateways that receive the directory from this replica.
	gateways *gatewayList
	cluster  message.ClusterID
	// background runs the goroutines of table streams and of senders that are stopping.
	background conc.WaitGroup

	core        *consensus.Core
	coordinator *coordinator.Coordinator
	driver      *driver.Driver
	host        *host
	watchdog    *loopWatchdog
	// contacts records when this replica last heard from the other replicas.
	contacts *contactTracker

	inbox     chan consensus.Message
	proposals chan driver.Proposal
	reads     chan driver.ReadFunc
	results   chan leaseResult
	joinInbox chan consensus.Member
	transfers chan chan error
	// snapshots receives the result of a snapshot write.
	snapshots chan driver.SavedSnapshot
	// inspections are run by the loop to read the state of the coordinator.
	inspections chan func(*coordinator.Coordinator)

	// stateLock guards state against concurrent readers; only the loop writes.
	stateLock sync.RWMutex
	state     *state.State
	published atomic.Pointer[published]
	// leadershipLock guards the fields below. leadership is cancelled when this replica stops leading, and
	// replaced when it begins to lead.
	leadershipLock sync.Mutex
	leadership     context.Context
	endLeadership  context.CancelFunc
	// leadingStartedAt is when this replica began to lead, by its clock.
	leadingStartedAt time.Duration
}

// published is the state of the loop that other goroutines may read.
type published struct {
	status  consensus.Status
	leading bool
}

// leaseResult is the outcome of one lease message. answer is nil if the message failed.
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
		clockOrigin: remoteclock.NewOrigin(),
		self:        self,
		storage:     disk,
		metrics:     metrics,
		routers:     newRouterRegistry(),
		coordinator: coordinator.New(driver.CoordinatorConfig(settings.Lease)),
		inbox:       make(chan consensus.Message, inboxSize),
		proposals:   make(chan driver.Proposal, proposalsSize),
		reads:       make(chan driver.ReadFunc, readsSize),
		results:     make(chan leaseResult, resultsSize),
		joinInbox:   make(chan consensus.Member, 1),
		transfers:   make(chan chan error),
		snapshots:   make(chan driver.SavedSnapshot, 1),
		inspections: make(chan func(*coordinator.Coordinator)),
		state:       disk.State,
	}
	r.watchdog = newLoopWatchdog(r.clock, settings)
	r.contacts = newContactTracker(r.clock.Now())
	r.history = tablestream.NewHistory(settings.Table.HistoryDeltas, r.state.Revision())
	consensusConfig := driver.ConsensusConfig(settings.Consensus, self.ID, rand.Uint64())
	core, err := consensus.New(consensusConfig, disk.Initial, disk.Newest)
	if err != nil {
		return nil, err
	}
	r.core = core
	r.host = &host{replica: r}
	r.driver = driver.New(driver.Config{
		Self:            self.ID,
		Core:            core,
		Coordinator:     r.coordinator,
		Storage:         disk,
		Log:             disk.Log,
		Host:            r.host,
		FirstSequence:   rand.Uint64() >> 1,
		SnapshotEntries: settings.Consensus.SnapshotEntries,
		SnapshotBytes:   settings.Consensus.SnapshotBytes,
	})
	r.partitions = newPartitionManager(settings, r)
	r.heartbeats = newHeartbeatManager(settings.Heartbeat, r)
	r.quotas = newQuotaManager(settings.Quota, r.clock, r.view, r.leadingSince)
	r.suspects = newSuspectManager(settings.Quarantine, r)
	r.directoryChanged = broadcast.New()
	r.feed = newDirectoryFeed()
	r.instanceChanged = newInstanceNotifier()
	r.gateways = newGatewayList()
	r.publish()
	return r, nil
}

// run runs the loop of the replica until the context ends or the disk fails.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.Consensus.TickInterval)
	defer ticker.Stop()
	defer r.driver.StopLeading()
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() { background.Keep(ctx, r.log, "partitions", r.partitions.run) })
	workers.Go(func() { background.Keep(ctx, r.log, "heartbeats", r.heartbeats.run) })
	workers.Go(func() { background.Keep(ctx, r.log, "suspects", r.suspects.run) })
	workers.Go(func() { background.Keep(ctx, r.log, "feed", r.runFeed) })
	workers.Go(func() { background.Keep(ctx, r.log, "load", r.reportLoad) })
	workers.Go(func() { background.Keep(ctx, r.log, "watchdog", r.watchLoop) })
	defer workers.Wait()
	defer cancel()
	defer r.awaitSnapshotWriter()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.driver.Tick()
		case input := <-r.inbox:
			r.step(input)
		case input := <-r.proposals:
			r.driver.Propose(input)
		case input := <-r.reads:
			r.driver.Read(input)
		case input := <-r.results:
			r.handleLeaseResult(input)
		case member := <-r.joinInbox:
			r.driver.Join(member)
		case done := <-r.transfers:
			done <- r.transferLeadership()
		case saved := <-r.snapshots:
			if err := r.driver.AdoptSnapshot(saved); err != nil {
				return err
			}
		case inspect := <-r.inspections:
			inspect(r.coordinator)
		}
		r.drainInputs()
		if err := r.driver.HandleReady(); err != nil {
			return err
		}
		r.host.stopFormerPeers()
		r.watchdog.iterationDone()
		r.driver.ObserveRole()
		r.publish()
	}
}

// drainInputs processes inputs that are already queued, so that one sync of the log covers many of them.
func (r *replica) drainInputs() {
	for range inputsPerRound {
		select {
		case input := <-r.inbox:
			r.step(input)
		case input := <-r.proposals:
			r.driver.Propose(input)
		case input := <-r.reads:
			r.driver.Read(input)
		case input := <-r.results:
			r.handleLeaseResult(input)
		default:
			return
		}
	}
}

// awaitSnapshotWriter waits for a running snapshot write when the loop ends. The next start recovers what it
// wrote.
func (r *replica) awaitSnapshotWriter() {
	if r.driver.WritingSnapshot() {
		<-r.snapshots
	}
}

func (r *replica) step(input consensus.Message) {
	if err := r.core.Step(input); err != nil {
		r.log.WithError(err).Debug("consensus message rejected")
	}
}

func (r *replica) handleLeaseResult(result leaseResult) {
	if result.answer == nil {
		r.coordinator.Failed(result.server, result.sequence)
		return
	}
	r.coordinator.Answered(r.clock.Now(), result.server, result.sequence, *result.answer)
}

func (r *replica) publish() {
	current := &published{status: r.core.Status(), leading: r.driver.Leading()}
	if current.status.Leader != 0 {
		r.contacts.recordLeader(r.clock.Now())
	}
	r.published.Store(current)
}
