package driver

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Host is the environment that the controller process or the simulator provides to
// a replica. The driver calls it on the driver's goroutine.
type Host interface {
	Transport
	StateMachine
	SnapshotWriter
	Observer
	// Now reads the machine's monotonic clock.
	Now() time.Duration
}

// Transport sends without blocking; messages that it cannot send are dropped.
type Transport interface {
	// Send sends messages to other replicas. It must not modify them.
	Send(messages []consensus.Message)
	// SendLease sends a message to a server.
	SendLease(message coordinator.Send)
}

// StateMachine holds the replicated state, which other goroutines may read concurrently.
type StateMachine interface {
	// State returns the state, which the driver only reads.
	State() *state.State
	// Apply applies the command of the log entry at index.
	Apply(index uint64, command state.Command) state.Result
	// Restore replaces the state with that of the leader's snapshot at index.
	Restore(index uint64, restored *state.State)
}

// SavedSnapshot is the result of writing a snapshot.
type SavedSnapshot struct {
	Snapshot consensus.Snapshot
	Err      error
	// Abandoned is true if nothing is known of the snapshot; a later one takes its place.
	Abandoned bool
}

// SnapshotWriter writes one snapshot at a time, normally outside the driver's
// goroutine, since with many shards writing one takes longer than a lease.
type SnapshotWriter interface {
	// WriteSnapshot calls write, on any goroutine, and passes its result to
	// Driver.AdoptSnapshot on the driver's goroutine, once and not before
	// WriteSnapshot returns.
	WriteSnapshot(write func() SavedSnapshot)
	// AwaitSnapshot waits for the snapshot that is being written and returns it
	// instead of passing it to AdoptSnapshot.
	AwaitSnapshot() SavedSnapshot
}

// Observer is notified of events.
type Observer interface {
	// Applied is called after each applied entry. For an entry without a command,
	// command and result are zero.
	Applied(entry consensus.Entry, command state.Command, result state.Result)
	// StartedLeading is called when the replica leads and its state holds every
	// acknowledged entry.
	StartedLeading(status consensus.Status)
	// StoppedLeading is called when leadership ends, before the pending proposals
	// are ended.
	StoppedLeading()
	// MembershipProposed is called when the leader has proposed a membership change.
	MembershipProposed(change consensus.MembershipChange)
	// Refused is called when the core rejected an operation that is retried later.
	// what is a log message that names the operation.
	Refused(what string, err error)
}
