package consensus

import "math"

// maxCommittedBytes limits the entry data of Committed in one Ready.
const maxCommittedBytes = 4 << 20

// outstandingReady is what Advance needs to know about the last Ready.
type outstandingReady struct {
	snapshot    *Snapshot
	ownVoteTerm uint64
}

// HasReady reports whether Ready would return work. It is false until Advance is
// called for the previous Ready.
func (c *Core) HasReady() bool {
	if c.outstanding != nil {
		return false
	}
	return c.term != c.persisted.Term || c.vote != c.persisted.Vote ||
		c.log.pendingSnapshot != nil ||
		c.log.stable < c.log.lastIndex() ||
		c.log.applied < c.log.committed ||
		len(c.messages) > 0 ||
		len(c.readStates) > 0
}

// Ready returns the work since the previous Ready. The driver must finish it and
// call Advance before it calls Ready again; until then Ready returns no work.
//
// HardState must be on stable storage before Entries or together with them; one
// in which only Commit changed needs no sync. Entries replace all persisted
// entries from the first one's index on. A Ready with a Snapshot holds
// nothing else but HardState; the driver discards its whole persisted log. A
// snapshot at index 0 without data means the empty state with the group's initial
// membership. The driver must not modify the data of Entries.
func (c *Core) Ready() Ready {
	if c.outstanding != nil {
		return Ready{}
	}
	ready := Ready{HardState: c.takeHardState()}
	c.outstanding = &outstandingReady{snapshot: c.log.pendingSnapshot, ownVoteTerm: c.ownVoteTerm}
	c.ownVoteTerm = 0
	if c.log.pendingSnapshot != nil {
		ready.Snapshot = c.log.pendingSnapshot
		return ready
	}
	ready.Entries = c.log.slice(c.log.stable+1, c.log.lastIndex(), math.MaxInt)
	c.log.persisting = c.log.lastIndex()
	ready.Committed = c.log.slice(c.log.applied+1, c.log.committed, maxCommittedBytes)
	ready.Messages = c.fillSnapshots(c.messages)
	ready.ReadStates = c.readStates
	c.messages = nil
	c.readStates = nil
	return ready
}

// hardState returns what the next Ready persists. Its commit index covers only
// entries that are on stable storage already: after a crash between persisting the
// hard state and the entries, it must not commit entries that those would have
// replaced.
func (c *Core) hardState() HardState {
	state := HardState{Term: c.term, Vote: c.vote, Commit: c.persisted.Commit}
	if c.log.pendingSnapshot == nil {
		state.Commit = min(c.log.committed, c.log.stable)
	}
	return state
}

func (c *Core) takeHardState() *HardState {
	state := c.hardState()
	if state == c.persisted {
		return nil
	}
	c.persisted = state
	return &state
}

// Advance tells the core that the work of the last Ready is done: everything is
// on stable storage, messages are passed to the transport and Committed is
// applied. Only now do this replica's own vote and its copies of entries count.
func (c *Core) Advance(ready Ready) {
	done := c.outstanding
	if done == nil {
		return
	}
	c.outstanding = nil
	if done.snapshot != nil {
		c.advanceSnapshot(done.snapshot)
	} else {
		c.log.stable = max(c.log.stable, c.log.persisting)
	}
	if done.ownVoteTerm != 0 {
		c.confirmOwnVote(done.ownVoteTerm)
	}
	c.advanceApplied(ready.Committed)
	c.advanceOwnMatch()
}

func (c *Core) advanceSnapshot(snapshot *Snapshot) {
	if c.log.pendingSnapshot == snapshot {
		c.log.pendingSnapshot = nil
	}
}

// advanceOwnMatch counts the leader's persisted entries towards the quorum.
func (c *Core) advanceOwnMatch() {
	if c.role != RoleLeader {
		return
	}
	c.progress[c.config.ID].acknowledge(c.log.stable)
	if c.advanceCommit() {
		c.broadcastAppend()
	}
}

// advanceApplied raises the applied index and applies membership changes.
func (c *Core) advanceApplied(entries []Entry) {
	for _, entry := range entries {
		if entry.Index <= c.log.applied {
			continue
		}
		c.log.applied = entry.Index
		if entry.Kind == EntryMembership {
			c.applyMembership(entry)
		}
	}
}
