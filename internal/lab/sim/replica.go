package sim

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/durable"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// replica is the replica of one controller and its driver, which runs input by
// input.
type replica struct {
	owner       *controller
	sim         *simulation
	core        *consensus.Core
	coordinator *coordinator.Coordinator
	driver      *driver.Driver
	host        *host
	state       *state.State
	history     *tablestream.History
	streams     []*stream
	// saved is a snapshot that was written and is not in use yet.
	saved *driver.SavedSnapshot
	// term is the one that the replica leads or led; round and roundBegan are the
	// coordinator's newest quorum round and the true time of its begin.
	term       uint64
	round      uint64
	roundBegan time.Duration
	// leadsSince is the true time at which the replica began to lead.
	leadsSince time.Duration
	// turns chooses the connection to each replica.
	turns map[consensus.ReplicaID]*wire.Turns
	// leases takes heartbeats in lease runs.
	leases *leaseKeeper
}

func newReplica(owner *controller, disk *durable.Storage) (*replica, error) {
	s := owner.sim
	r := &replica{
		owner: owner, sim: s, state: disk.State, coordinator: coordinator.New(s.coordination),
		turns: make(map[consensus.ReplicaID]*wire.Turns),
	}
	r.host = &host{replica: r}
	r.history = tablestream.NewHistory(s.settings.Table.HistoryDeltas, r.state.Revision())
	firstSequence := s.random.Uint64() >> 1
	settings := s.settings.Consensus
	config := driver.ConsensusConfig(settings, owner.self.Replica, s.random.Uint64())
	core, err := consensus.New(config, disk.Initial, disk.Newest)
	if err != nil {
		return nil, err
	}
	r.core = core
	r.driver = driver.New(driver.Config{
		Self:            owner.self.Replica,
		Core:            observedCore{Core: core, replica: r},
		Coordinator:     r.coordinator,
		Storage:         disk,
		Log:             notedLog{Log: disk.Log, promise: &owner.promise, forgets: s.planted.forgetVote},
		Host:            r.host,
		FirstSequence:   firstSequence,
		SnapshotEntries: settings.SnapshotEntries,
		SnapshotBytes:   settings.SnapshotBytes,
	})
	if s.leaseWorld != nil {
		r.leases = newLeaseKeeper(r)
	}
	return r, nil
}

// join notes a replica that asks to be taken into the group.
func (r *replica) join(member consensus.Member) {
	if r.driver.Leading() {
		r.driver.Join(member)
	}
}

// observeRole starts and ends what only a leader does.
func (r *replica) observeRole() {
	status := r.core.Status()
	r.owner.known.note(status)
	if status.Role == consensus.RoleLeader {
		r.sim.checker.Leader(status.Term, r.owner.name()+"/"+shortID(status.ID))
	}
	r.driver.ObserveRole()
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
