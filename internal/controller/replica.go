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
	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
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
)

// replica runs the driver of the consensus core, the state machine and the
// coordinator in one goroutine. Other goroutines reach it through its channels.
type replica struct {
	settings config.Controller
	log      *logrus.Entry
	clock    clock.Clock
	self     consensus.Member
	storage  *durable.Storage
	peers    *peers
	leases   *leaseSender
	metrics  *metrics
	history  *tablestream.History
	whole    wholeTable
	routers  *routerRegistry
	// partitions places the idempotency records on routers.
	partitions *partitionKeeper
	// heartbeats takes the heartbeats of instances.
	heartbeats *heartbeatKeeper
	// load counts what this replica does for servers and gateways.
	load controlLoad
	// quotas gives out the tokens of tenants.
	quotas *quotaKeeper
	// suspects puts requests in quarantine.
	suspects *suspectKeeper
	// directoryChanged tells the streams of the directory of changes.
	directoryChanged *broadcast.Broadcast
	// instanceNews tells the heartbeats that wait of news of their instances.
	instanceNews *instanceNews
	feed         directoryFeed
	// directoryStreams counts the open streams of the directory.
	directoryStreams atomic.Int64
	// gateways are those that take the directory from this replica.
	gateways *gatewayList
	cluster  message.ClusterID
	// background holds the goroutines of table streams and of senders that stop.
	background conc.WaitGroup

	core        *consensus.Core
	coordinator *coordinator.Coordinator
	driver      *driver.Driver
	host        *host
	turns       *turnWatch
	// contact is when this replica heard the others.
	contact *groupContact

	inbox     chan consensus.Message
	proposals chan driver.Proposal
	reads     chan driver.ReadFunc
	results   chan leaseResult
	joinInbox chan consensus.Member
	transfers chan chan error
	// snapshots brings the end of the snapshot that is being written.
	snapshots chan driver.SavedSnapshot
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
	// ledSince is when this replica began to lead, by its clock.
	ledSince time.Duration
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
	r.turns = newTurnWatch(r.clock, settings)
	r.contact = newGroupContact(r.clock.Now())
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
	r.partitions = newPartitionKeeper(settings, r)
	r.heartbeats = newHeartbeatKeeper(settings.Heartbeat, r)
	r.quotas = newQuotaKeeper(settings.Quota, r.clock, r.view, r.leadingSince)
	r.suspects = newSuspectKeeper(settings.Quarantine, r)
	r.directoryChanged = broadcast.New()
	r.feed = newDirectoryFeed()
	r.instanceNews = newInstanceNews()
	r.gateways = newGatewayList()
	r.publish()
	return r, nil
}

// run drives the replica until the context ends or the disk fails.
func (r *replica) run(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.Consensus.TickInterval)
	defer ticker.Stop()
	defer r.driver.StopLeading()
	ctx, cancel := context.WithCancel(ctx)
	var keeping conc.WaitGroup
	keeping.Go(func() { r.partitions.run(ctx) })
	keeping.Go(func() { r.heartbeats.run(ctx) })
	keeping.Go(func() { r.suspects.run(ctx) })
	keeping.Go(func() { r.runFeed(ctx) })
	keeping.Go(func() { r.reportLoad(ctx) })
	keeping.Go(func() { r.watchTurns(ctx) })
	defer keeping.Wait()
	defer cancel()
	defer r.endSnapshot()
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
			r.leaseAnswered(input)
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
		r.takeMore()
		if err := r.driver.HandleReady(); err != nil {
			return err
		}
		r.host.forgetRemoved()
		r.turns.turn()
		r.driver.ObserveRole()
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
			r.driver.Propose(input)
		case input := <-r.reads:
			r.driver.Read(input)
		case input := <-r.results:
			r.leaseAnswered(input)
		default:
			return
		}
	}
}

// endSnapshot waits for the writer when the loop ends, and leaves what it wrote
// to the next start.
func (r *replica) endSnapshot() {
	if r.driver.WritingSnapshot() {
		<-r.snapshots
	}
}

func (r *replica) step(input consensus.Message) {
	if err := r.core.Step(input); err != nil {
		r.log.WithError(err).Debug("consensus message refused")
	}
}

func (r *replica) leaseAnswered(result leaseResult) {
	if result.answer == nil {
		r.coordinator.Failed(result.server, result.sequence)
		return
	}
	r.coordinator.Answered(r.clock.Now(), result.server, result.sequence, *result.answer)
}

func (r *replica) publish() {
	known := &published{status: r.core.Status(), leading: r.driver.Leading()}
	if known.status.Leader != 0 {
		r.contact.leaderKnown(r.clock.Now())
	}
	r.published.Store(known)
}
