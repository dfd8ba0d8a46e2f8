package controller

import (
	"context"

	"github.com/thorntiller/thorntiller/internal/driver"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/tablestream"
)

// Propose appends a command to the log and waits until it is applied. The error kinds not_leader and
// queue_full guarantee that the command will not be applied; unavailable leaves this open. Other errors are
// those of the command itself.
func (r *replica) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	stalled := r.watchdog.stallContext()
	if stalled.Err() != nil {
		return state.Result{}, errStalled()
	}
	done := make(chan driver.Outcome, 1)
	request := driver.Proposal{Command: command, Done: func(end driver.Outcome) { done <- end }}
	select {
	case r.proposals <- request:
	case <-ctx.Done():
		return state.Result{}, fault.New(fault.QueueFull, "the controller is busy: ask again")
	case <-stalled.Done():
		return state.Result{}, errStalled()
	}
	select {
	case end := <-done:
		return end.Result, end.Err
	case <-stalled.Done():
		return state.Result{}, fault.New(fault.Unavailable, "this replica is held up, most likely by its disk: ask another one with the same identifier")
	case <-ctx.Done():
		return state.Result{}, fault.New(fault.Unavailable, "no quorum acknowledged the change in time: ask again with the same identifier")
	}
}

// ProposeDecided appends a command that was decided under a leadership and waits for its outcome without a
// timeout: until it is applied, or certain never to be applied, or the leadership ends. A command that did not
// enter the log during that leadership never does. ctx must be the context of the process.
func (r *replica) ProposeDecided(ctx, leadership context.Context, command state.Command) error {
	done := make(chan driver.Outcome, 1)
	request := driver.Proposal{
		Command:    command,
		StillValid: func() bool { return leadership.Err() == nil },
		Done:       func(end driver.Outcome) { done <- end },
	}
	stopping := fault.New(fault.Unavailable, "this replica stops: ask another one")
	select {
	case r.proposals <- request:
	case <-ctx.Done():
		return stopping
	}
	select {
	case end := <-done:
		return end.Err
	case <-ctx.Done():
		return stopping
	}
}

// ReadRevision returns the table revision after a quorum confirmed, in a round that began after the call, that
// no newer revision was acknowledged before the call.
func (r *replica) ReadRevision(ctx context.Context) (state.Revision, error) {
	done := make(chan state.Revision, 1)
	select {
	case r.reads <- func(revision state.Revision) { done <- revision }:
	case <-ctx.Done():
		return 0, fault.New(fault.Unavailable, "the controller is busy: ask again")
	}
	select {
	case revision := <-done:
		return revision, nil
	case <-ctx.Done():
		return 0, fault.New(fault.Unavailable, "no quorum confirmed the read in time: ask again")
	}
}

// tablePosition identifies the current routing table.
func (r *replica) tablePosition() tablestream.Table {
	r.stateLock.RLock()
	defer r.stateLock.RUnlock()
	return r.table()
}

// frozenTable returns the state at one revision and identifies its routing table. The lock is held only while
// the state is frozen.
func (r *replica) frozenTable() (*state.Frozen, tablestream.Table) {
	r.stateLock.RLock()
	defer r.stateLock.RUnlock()
	return r.state.Freeze(), r.table()
}

// table requires the state lock.
func (r *replica) table() tablestream.Table {
	return tablestream.Table{Cluster: r.cluster, Revision: r.state.Revision(), Digest: r.state.Digest(), Sections: r.state.SectionDigests()}
}

// view calls read with the state while it holds the read lock. read must not retain the state.
func (r *replica) view(read func(*state.State)) {
	r.stateLock.RLock()
	defer r.stateLock.RUnlock()
	read(r.state)
}
