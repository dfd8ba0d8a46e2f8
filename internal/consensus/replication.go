package consensus

import "slices"

// snapshotRetryElections is how many election timeouts the leader waits for the
// answer to a snapshot before it sends one again.
const snapshotRetryElections = 4

func (c *Core) broadcastAppend() {
	for _, id := range c.receivers {
		if id != c.config.ID {
			c.sendAppend(id, true)
		}
	}
}

// sendAppend sends the next entries to a member, or a snapshot if the log no
// longer holds them. It returns false when nothing was sent.
func (c *Core) sendAppend(id ReplicaID, allowEmpty bool) bool {
	view := c.progress[id]
	if view.paused {
		return false
	}
	previous := view.next - 1
	previousTerm, found := c.log.term(previous)
	if !found {
		return c.sendSnapshot(id, view)
	}
	var entries []Entry
	if !view.full(c.config.MaxInflight) {
		entries = c.log.slice(view.next, c.log.lastIndex(), c.config.MaxAppendBytes)
	}
	if len(entries) == 0 && !allowEmpty {
		return false
	}
	message := Message{
		Kind: MessageAppend, To: id, Index: previous, LogTerm: previousTerm,
		Commit: c.log.committed, Entries: entries,
	}
	if previous == 0 {
		message.Snapshot = &Snapshot{Metadata: SnapshotMetadata{Membership: c.firstMembership}}
	}
	c.send(message)
	view.sent(len(entries), c.config.MaxInflight)
	return true
}

// sendSnapshot queues a snapshot message, which Ready fills. A member that was
// not heard from gets none.
func (c *Core) sendSnapshot(id ReplicaID, view *progress) bool {
	if !view.recentActive {
		return false
	}
	view.becomeSnapshot()
	c.send(Message{Kind: MessageSnapshot, To: id})
	return true
}

// fillSnapshots gives queued snapshot messages the newest snapshot and drops
// them when the source has none that the log continues.
func (c *Core) fillSnapshots(messages []Message) []Message {
	filled := messages[:0]
	for _, message := range messages {
		if message.Kind == MessageSnapshot {
			snapshot, found := c.snapshot()
			if !found || snapshot.Metadata.Index < c.log.snapshotIndex {
				c.abandonSnapshot(message.To)
				continue
			}
			message.Snapshot = &snapshot
		}
		filled = append(filled, message)
	}
	return filled
}

// abandonSnapshot returns a member to probing after its next heartbeat answer.
func (c *Core) abandonSnapshot(id ReplicaID) {
	view, found := c.progress[id]
	if found && view.state == progressSnapshot {
		view.becomeProbe()
		view.paused = true
	}
}

func (c *Core) tickSnapshots() {
	for _, id := range c.receivers {
		view := c.progress[id]
		if view.state != progressSnapshot {
			continue
		}
		view.snapshotTicks++
		if view.snapshotTicks >= snapshotRetryElections*c.config.ElectionTicks {
			view.becomeProbe()
		}
	}
}

// broadcastHeartbeat sends a heartbeat of the present read round to all.
func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, id := range c.receivers {
		if id != c.config.ID {
			c.sendHeartbeat(id)
		}
	}
}

func (c *Core) sendHeartbeat(id ReplicaID) {
	c.send(Message{
		Kind: MessageHeartbeat, To: id, Context: c.reads.number,
		Commit: min(c.progress[id].match, c.log.committed),
	})
}

func (c *Core) handleAppendAnswer(answer Message, view *progress) {
	if answer.Reject {
		hint := answer.Hint
		if answer.HintTerm > 0 {
			hint, _ = c.log.conflictByTerm(answer.Hint, answer.HintTerm)
		}
		if view.reject(answer.Index, hint) {
			c.sendAppend(answer.From, true)
		}
		return
	}
	if answer.Index > c.log.lastIndex() {
		return
	}
	wasPaused := view.paused
	probed := view.state == progressProbe && answer.Index == view.match
	if view.acknowledge(answer.Index) || probed {
		c.leaveProbe(view)
		if c.advanceCommit() {
			c.broadcastAppend()
		} else if wasPaused {
			c.sendAppend(answer.From, true)
		}
	}
	c.sendRemaining(answer.From)
	c.continueTransfer(answer.From)
}

// leaveProbe starts replication to a member whose last match is known.
func (c *Core) leaveProbe(view *progress) {
	switch view.state {
	case progressProbe:
		view.becomeReplicate()
	case progressSnapshot:
		view.paused = true
		if view.match >= c.log.snapshotIndex {
			view.becomeReplicate()
		}
	case progressReplicate:
		view.paused = view.full(c.config.MaxInflight)
	}
}

// sendRemaining sends entries until the member is up to date or its window is
// full.
func (c *Core) sendRemaining(id ReplicaID) {
	for c.progress[id].state == progressReplicate && c.sendAppend(id, false) {
		continue
	}
}

// handleHeartbeatAnswer sends what the member lacks, as the last MessageAppend may be
// lost. A probe is repeated once a heartbeat interval at most: when a cut heals, the
// answers to all heartbeats that were held up come at once.
func (c *Core) handleHeartbeatAnswer(answer Message, view *progress) {
	probedNow := view.state == progressProbe && view.paused && view.probeTicks < c.config.HeartbeatTicks
	if view.state != progressSnapshot && !probedNow {
		view.paused = false
		if view.match < c.log.lastIndex() {
			c.sendAppend(answer.From, true)
		}
	}
	c.acknowledgeRead(answer.From, answer.Context)
}

// advanceCommit commits the highest index of this term that a quorum of voters
// has persisted. Entries of earlier terms are committed only by an entry of the
// present one (section 5.4.2 of the Raft paper).
func (c *Core) advanceCommit() bool {
	if len(c.voters) == 0 {
		return false
	}
	matches := make([]uint64, 0, len(c.voters))
	for _, id := range c.voters {
		matches = append(matches, c.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return false
	}
	c.uncommittedBytes -= c.log.dataBytes(c.log.committed+1, index)
	c.log.committed = index
	c.startReadRound()
	return true
}
