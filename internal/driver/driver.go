package driver

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/durable"
)

// Core is the part of the consensus core that the driver uses.
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

// Log is the part of the write-ahead log that the driver uses.
type Log interface {
	// Save returns once everything that must survive a crash is on stable storage.
	Save(hardState *consensus.HardState, entries []consensus.Entry) error
	// Release deletes the segments that hold no entry above index.
	Release(index uint64) error
}

// Config configures New.
type Config struct {
	// Self is the identifier of this replica.
	Self        consensus.ReplicaID
	Core        Core
	Coordinator *coordinator.Coordinator
	Storage     *durable.Storage
	// Log is the write-ahead log of Storage.
	Log  Log
	Host Host
	// FirstSequence is chosen at random at each start, below 1<<63. Proposals and
	// read rounds are numbered from it, so that an entry or an answer from an
	// earlier run of the process is not mistaken for one of this run.
	FirstSequence uint64
	// SnapshotEntries and SnapshotBytes are the applied entries and bytes after
	// which a snapshot is taken. SnapshotEntries is also the number of entries
	// before a snapshot that stay in the log, for members that are slightly behind.
	SnapshotEntries int
	SnapshotBytes   int
}

// Driver runs one replica. It is not safe for concurrent use.
type Driver struct {
	config       Config
	core         Core
	coordinator  *coordinator.Coordinator
	storage      *durable.Storage
	host         Host
	reads        readRounds
	pending      pendingProposals
	joinRequests joinRequests
	applied      uint64
	leading      bool
	// writingSnapshot is true while a snapshot is written.
	writingSnapshot bool
}

// New returns the driver of a replica whose storage has just been opened.
func New(config Config) *Driver {
	return &Driver{
		config:       config,
		core:         config.Core,
		coordinator:  config.Coordinator,
		storage:      config.Storage,
		host:         config.Host,
		reads:        readRounds{lastContext: config.FirstSequence},
		pending:      newPendingProposals(config.FirstSequence),
		joinRequests: make(joinRequests),
		applied:      config.Storage.Initial.Snapshot.Index,
	}
}

// Applied returns the index of the last applied entry.
func (d *Driver) Applied() uint64 { return d.applied }

// Leading reports whether the replica leads and holds every acknowledged entry.
func (d *Driver) Leading() bool { return d.leading }

// Tick advances the replica's timers by one tick. The caller must then call
// HandleReady, as after every input.
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
	// The coordinator retries a round that could not be started.
	if err := d.core.ReadIndex(coordinatorContext | actions.Round); err != nil {
		d.host.Refused("cannot start a quorum round; the coordinator will retry", err)
	}
}
