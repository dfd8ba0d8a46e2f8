package driver

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/durable"
)

// Core is what the driver uses of the consensus core.
type Core interface {
	Tick()
	HasReady() bool
	Ready() consensus.Ready
	Advance(ready consensus.Ready)
	Status() consensus.Status
	Compact(index uint64) error
	Propose(data []byte) error
	ProposeMembership(change consensus.MembershipChange) error
	ReadIndex(context uint64) error
}

// Log is what the driver uses of the write-ahead log.
type Log interface {
	// Save returns once what must survive a crash is on stable storage.
	Save(hardState *consensus.HardState, entries []consensus.Entry) error
	// Release drops segments that hold nothing above an index.
	Release(index uint64) error
}

// Config configures New.
type Config struct {
	// Self is the identifier of this replica.
	Self        consensus.ReplicaID
	Core        Core
	Coordinator *coordinator.Coordinator
	Storage     *durable.Storage
	// Log is the log of Storage.
	Log  Log
	Host Host
	// FirstSequence is drawn at random at each start, below 1<<63. Proposals and
	// read rounds are numbered from it, so that an entry or an answer of an
	// earlier life of the process is not taken for one of this.
	FirstSequence uint64
	// SnapshotEntries and SnapshotBytes are how much is applied between two
	// snapshots. SnapshotEntries is also the tail of the log that a snapshot
	// leaves, for members that are a little behind.
	SnapshotEntries int
	SnapshotBytes   int
}

// Driver drives one replica. One goroutine uses it.
type Driver struct {
	config      Config
	core        Core
	coordinator *coordinator.Coordinator
	storage     *durable.Storage
	host        Host
	reads       readRounds
	pending     pendingProposals
	joining     joins
	applied     uint64
	leading     bool
	// writing is true while a snapshot is written.
	writing bool
}

// New returns the driver of a replica whose storage was opened just now.
func New(config Config) *Driver {
	return &Driver{
		config:      config,
		core:        config.Core,
		coordinator: config.Coordinator,
		storage:     config.Storage,
		host:        config.Host,
		reads:       readRounds{lastContext: config.FirstSequence},
		pending:     newPendingProposals(config.FirstSequence),
		joining:     make(joins),
		applied:     config.Storage.Initial.Snapshot.Index,
	}
}

// Applied returns the index of the newest applied entry.
func (d *Driver) Applied() uint64 { return d.applied }

// Leading reports whether the replica leads and holds every acknowledged entry.
func (d *Driver) Leading() bool { return d.leading }

// Tick moves the replica's timers on. HandleReady follows it, as it follows
// every input.
func (d *Driver) Tick() {
	d.core.Tick()
	d.beginReads()
	d.runCoordinator()
	d.changeMembership()
}

func (d *Driver) runCoordinator() {
	actions := d.coordinator.Tick(d.host.Now(), d.host.State())
	for _, send := range actions.Sends {
		d.host.SendLease(send)
	}
	for _, wanted := range actions.Proposals {
		d.propose(waitingProposal{Proposal: Proposal{Command: wanted.Command}, token: wanted.Token})
	}
	if actions.Round == 0 {
		return
	}
	// A round that cannot begin is begun again by the coordinator.
	if err := d.core.ReadIndex(coordinatorContext | actions.Round); err != nil {
		d.host.Refused("quorum round not begun", err)
	}
}
