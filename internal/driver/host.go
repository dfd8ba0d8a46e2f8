package driver

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Host is what the process or the simulator lends a replica. The driver calls
// it on its own goroutine.
type Host interface {
	Transport
	StateMachine
	SnapshotWriter
	Observer
	// Now reads the machine's monotonic clock.
	Now() time.Duration
}

// Transport sends without waiting; what it cannot send is lost.
type Transport interface {
	// Send sends messages to other replicas. It must not change them.
	Send(messages []consensus.Message)
	// SendLease sends a message to a server.
	SendLease(message coordinator.Send)
}

// StateMachine holds the replicated state, which others may read meanwhile.
type StateMachine interface {
	// State returns the state, which the driver only reads.
	State() *state.State
	// Apply applies the command of the log entry at an index.
	Apply(index uint64, command state.Command) state.Result
	// Restored replaces the state by that of the leader's snapshot at an index.
	Restored(index uint64, restored *state.State)
}

// SavedSnapshot is the end of one snapshot that was written.
type SavedSnapshot struct {
	Snapshot consensus.Snapshot
	Err      error
}

// SnapshotWriter writes one snapshot at a time, as a rule beside the loop, since
// that takes longer than a lease with many shards.
type SnapshotWriter interface {
	// WriteSnapshot calls write, on any goroutine, and gives what it returns to
	// Driver.AdoptSnapshot on the driver's own, once and not before it returns.
	WriteSnapshot(write func() SavedSnapshot)
	// AwaitSnapshot waits for the snapshot that is being written and returns it
	// in place of giving it to AdoptSnapshot.
	AwaitSnapshot() SavedSnapshot
}

// Observer is told what happened.
type Observer interface {
	// Applied follows each applied entry. The command and the result of an entry
	// that carries no command are zero.
	Applied(entry consensus.Entry, command state.Command, result state.Result)
	// StartedLeading: the replica leads, and its state holds every acknowledged
	// entry.
	StartedLeading(status consensus.Status)
	// StoppedLeading comes before the waiting proposals end.
	StoppedLeading()
	// MembershipProposed: the leader asks for a change of members.
	MembershipProposed(change consensus.MembershipChange)
	// Refused: the core turned something down that is tried again later.
	Refused(what string, err error)
}
