package consensus

import "math"

// maxCommittedBytes bounds the entry data of Committed in one Ready.
const maxCommittedBytes = 4 << 20

// outstandingReady is what Advance must know of the Ready that was handed out.
type outstandingReady struct {
	snapshot    *Snapshot
	ownVoteTerm uint64
}

// HasReady reports whether Ready holds work. It is false while an earlier Ready
// waits for Advance.
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

// Ready hands out the work since the last one; the driver must finish it and
// call Advance before the next. While one is outstanding, Ready is empty.
//
// HardState must be on stable storage before Entries or together with them; one
// in which only Commit changed needs no sync. Entries replace all persisted
// entries from the first one's index on. A Ready
// with a Snapshot holds nothing else but HardState; the driver discards its
// whole persisted log. A snapshot at index 0 without data means the empty state
// with the group's first membership. The driver must not change Entries' data.
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

// hardState is what the next Ready persists. Its commit index covers only what
// is on stable storage already: a crash after the hard state and before the
// entries must not commit entries that those would have replaced.
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
// on stable storage, messages are handed over and Committed is applied. Only
// now do the own vote and the own copies of entries count.
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

// advanceOwnMatch counts the leader's own persisted entries.
func (c *Core) advanceOwnMatch() {
	if c.role != RoleLeader {
		return
	}
	c.progress[c.config.ID].acknowledge(c.log.stable)
	if c.advanceCommit() {
		c.broadcastAppend()
	}
}

// advanceApplied moves the applied index and puts membership changes in force.
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
