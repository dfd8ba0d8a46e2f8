package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// faults are bugs injected into the test's driver, to prove that the checker detects them.
type faults struct {
	// skipEntries acknowledges entries that were never persisted.
	skipEntries bool
	// skipVote forgets the vote at a crash.
	skipVote bool
	// localReads confirms reads at the leader's commit index without a quorum round.
	localReads bool
}

// replica is one core with its simulated disk and state machine.
type replica struct {
	id       ReplicaID
	core     *Core // nil while crashed
	hard     HardState
	snapshot Snapshot
	entries  []Entry
	state    []string // applied commands
	err      error
}

// cluster runs cores over a simulated network and checks Raft's guarantees.
type cluster struct {
	ids      []ReplicaID
	replicas map[ReplicaID]*replica
	network  []Message
	cut      map[[2]ReplicaID]bool
	faults   faults
	// crashAt, when set, is called at each step of a Ready and reports whether the replica crashes there.
	crashAt func(ReplicaID) bool
	output  strings.Builder
	checker checker
}

func newCluster(voters int) *cluster {
	c := &cluster{replicas: map[ReplicaID]*replica{}, cut: map[[2]ReplicaID]bool{}, checker: newChecker()}
	membership := Membership{}
	for id := ReplicaID(1); id <= ReplicaID(voters); id++ {
		membership.Members = append(membership.Members, Member{ID: id})
	}
	for _, member := range membership.Members {
		c.start(member.ID, SnapshotMetadata{Membership: membership})
	}
	return c
}

func (c *cluster) start(id ReplicaID, initial SnapshotMetadata) {
	c.ids = append(c.ids, id)
	c.replicas[id] = &replica{id: id, snapshot: Snapshot{Metadata: initial}}
	c.restart(id)
}

func (c *cluster) restart(id ReplicaID) {
	r := c.replicas[id]
	config := Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 1, MaxAppendBytes: 4, MaxInflight: 3, MaxUncommittedBytes: 64, Seed: 7, TickInterval: time.Millisecond}
	initial := InitialState{HardState: r.hard, Snapshot: r.snapshot.Metadata, Entries: r.entries}
	r.state = strings.Fields(string(r.snapshot.Data))
	r.core, r.err = New(config, initial, func() (Snapshot, bool) { return r.snapshot, r.snapshot.Metadata.Index > 0 })
	if r.err != nil {
		r.core = nil
		c.checker.failf("replica %d failed to start: %v", id, r.err)
	}
}

// run processes a replica's Ready batches until none is left.
func (c *cluster) run(id ReplicaID) {
	r := c.replicas[id]
	for r.core != nil && r.core.HasReady() {
		ready := r.core.Ready()
		if !c.persist(r, ready) {
			r.core = nil
			return
		}
		c.network = append(c.network, ready.Messages...)
		for _, entry := range ready.Committed {
			c.checker.applied(r, entry)
			if entry.Kind == EntryCommand && len(entry.Data) > 0 {
				r.state = append(r.state, string(entry.Data))
			}
		}
		for _, read := range ready.ReadStates {
			fmt.Fprintf(&c.output, "%d confirmed read %d at %d\n", id, read.Context, read.Index)
			c.checker.confirmed(read)
		}
		r.core.Advance(ready)
		c.checker.observe(r)
		if c.crashes(id) {
			r.core = nil
		}
	}
}

// persist writes a Ready in the order that its contract requires. It returns
// false when the replica crashes during the write.
func (c *cluster) persist(r *replica, ready Ready) bool {
	if ready.HardState != nil {
		r.hard = *ready.HardState
	}
	if c.faults.skipEntries {
		r.hard.Commit = 0 // otherwise New detects the lost entries
	}
	if c.faults.skipVote {
		r.hard.Vote = 0
	}
	if c.crashes(r.id) {
		return false
	}
	if ready.Snapshot != nil {
		r.snapshot = *ready.Snapshot
		r.entries = nil
		r.state = strings.Fields(string(r.snapshot.Data))
	}
	if len(ready.Entries) > 0 && !c.faults.skipEntries {
		keep := ready.Entries[0].Index - r.snapshot.Metadata.Index - 1
		r.entries = append(slices.Clone(r.entries[:keep]), ready.Entries...)
		c.checker.persisted(r)
	}
	return !c.crashes(r.id)
}

func (c *cluster) crashes(id ReplicaID) bool {
	return c.crashAt != nil && c.crashAt(id)
}

// compact saves a snapshot at the applied index and drops the log before it.
func (c *cluster) compact(id ReplicaID) error {
	r := c.replicas[id]
	status := r.core.Status()
	term, _ := r.core.log.term(status.Applied)
	drop := status.Applied - r.snapshot.Metadata.Index
	r.entries = slices.Clone(r.entries[min(drop, uint64(len(r.entries))):])
	r.snapshot = Snapshot{
		Metadata: SnapshotMetadata{Index: status.Applied, Term: term, Membership: status.AppliedMembership},
		Data:     []byte(strings.Join(r.state, " ")),
	}
	return r.core.Compact(status.Applied)
}

// receive passes one message to its receiver, unless that is crashed or cut off.
func (c *cluster) receive(message Message) {
	r, found := c.replicas[message.To]
	if !found || r.core == nil || c.cut[[2]ReplicaID{message.From, message.To}] {
		return
	}
	err := r.core.Step(message)
	if c.faults.skipEntries && eris.Is(err, ErrLogLost) {
		return // the checker must detect the loss without the core's help
	}
	if err != nil && !eris.Is(err, ErrReadQueueFull) {
		c.checker.failf("replica %d rejected a message: %v", r.id, err)
	}
	c.checker.observe(r)
	c.run(r.id)
}

// deliver delivers messages in order until none is in flight, 10000 at most.
func (c *cluster) deliver() {
	c.deliverSome(10000)
}

func (c *cluster) deliverSome(count int) {
	for _, id := range c.ids {
		c.run(id)
	}
	for range min(count, 10000) {
		if len(c.network) == 0 {
			return
		}
		message := c.network[0]
		c.network = c.network[1:]
		c.receive(message)
	}
}

// checker records what it observed on all replicas and the first violation.
type checker struct {
	violation string
	leaders   map[uint64]ReplicaID
	// positions maps an index and term to the entry and its predecessor's term.
	positions map[[2]uint64]string
	committed map[uint64]committedEntry
	maxCommit uint64
	// reads maps a read's context to the highest commit index when it was requested.
	reads         map[uint64]uint64
	confirmations int
}

type committedEntry struct {
	content string
	term    uint64
	// appliedInTerm is the term of the first replica that applied the entry, at that time.
	appliedInTerm uint64
}

func newChecker() checker {
	return checker{
		leaders: map[uint64]ReplicaID{}, positions: map[[2]uint64]string{},
		committed: map[uint64]committedEntry{}, reads: map[uint64]uint64{},
	}
}

func (k *checker) failf(format string, arguments ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf(format, arguments...)
	}
}

func content(entry Entry) string {
	return fmt.Sprintf("%d %d %x", entry.Term, entry.Kind, entry.Data)
}

// persisted checks the log matching property: in every log, an index and term
// identify the same entry with the same predecessor.
func (k *checker) persisted(r *replica) {
	previous := r.snapshot.Metadata.Term
	for _, entry := range r.entries {
		key := [2]uint64{entry.Index, entry.Term}
		value := fmt.Sprintf("%d %s", previous, content(entry))
		if known, found := k.positions[key]; found && known != value {
			k.failf("logs differ at index %d term %d", entry.Index, entry.Term)
		}
		k.positions[key] = value
		previous = entry.Term
	}
}

// applied checks state machine safety: no two replicas apply different entries at an index.
func (k *checker) applied(r *replica, entry Entry) {
	known, found := k.committed[entry.Index]
	if found && known.content != content(entry) {
		k.failf("replica %d committed a different entry at index %d", r.id, entry.Index)
	}
	if !found {
		k.committed[entry.Index] = committedEntry{content: content(entry), term: entry.Term, appliedInTerm: r.core.term}
	}
}

// observe checks that a term has at most one leader, and that a leader holds
// every entry that was committed in earlier terms.
func (k *checker) observe(r *replica) {
	k.maxCommit = max(k.maxCommit, r.core.log.committed)
	if r.core.role != RoleLeader {
		return
	}
	leader, found := k.leaders[r.core.term]
	if found && leader != r.id {
		k.failf("term %d has two leaders, %d and %d", r.core.term, leader, r.id)
	}
	if found {
		return
	}
	k.leaders[r.core.term] = r.id
	for index, entry := range k.committed {
		lacks := index > r.core.log.snapshotIndex && !r.core.log.matches(index, entry.term)
		if entry.appliedInTerm < r.core.term && lacks {
			k.failf("leader %d of term %d lacks the committed entry at index %d", r.id, r.core.term, index)
		}
	}
}

func (k *checker) confirmed(read ReadState) {
	k.confirmations++
	if minimum := k.reads[read.Context]; read.Index < minimum {
		k.failf("read %d got index %d, below the commit index %d when it was requested", read.Context, read.Index, minimum)
	}
}

func (k *checker) verify(t *testing.T) {
	t.Helper()
	if k.violation != "" {
		t.Fatal(k.violation)
	}
}
