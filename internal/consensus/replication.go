package consensus

import "slices"

// snapshotRetryElectionTimeouts is the number of election timeouts that the leader
// waits for the answer to a snapshot before it probes the member again.
const snapshotRetryElectionTimeouts = 4

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
	memberProgress := c.progress[id]
	if memberProgress.paused {
		return false
	}
	previous := memberProgress.next - 1
	previousTerm, found := c.log.term(previous)
	if !found {
		return c.sendSnapshot(id, memberProgress)
	}
	var entries []Entry
	if !memberProgress.full(c.config.MaxInflight) {
		entries = c.log.slice(memberProgress.next, c.log.lastIndex(), c.config.MaxAppendBytes)
	}
	if len(entries) == 0 && !allowEmpty {
		return false
	}
	message := Message{
		Kind: MessageAppend, To: id, Index: previous, LogTerm: previousTerm,
		Commit: c.log.committed, Entries: entries,
	}
	if previous == 0 {
		message.Snapshot = &Snapshot{Metadata: SnapshotMetadata{Membership: c.initialMembership}}
	}
	c.send(message)
	memberProgress.sent(len(entries), c.config.MaxInflight)
	return true
}

// sendSnapshot queues a snapshot message, to which Ready adds the snapshot. A
// member that was not heard from recently gets none.
func (c *Core) sendSnapshot(id ReplicaID, memberProgress *progress) bool {
	if !memberProgress.recentActive {
		return false
	}
	memberProgress.becomeSnapshot()
	c.send(Message{Kind: MessageSnapshot, To: id})
	return true
}

// fillSnapshots adds the newest snapshot to queued snapshot messages. It drops
// them if the source has none, or only one from which the log no longer continues.
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
	memberProgress, found := c.progress[id]
	if found && memberProgress.state == progressSnapshot {
		memberProgress.becomeProbe()
		memberProgress.paused = true
	}
}

func (c *Core) tickSnapshots() {
	for _, id := range c.receivers {
		memberProgress := c.progress[id]
		if memberProgress.state != progressSnapshot {
			continue
		}
		memberProgress.snapshotTicks++
		if memberProgress.snapshotTicks >= snapshotRetryElectionTimeouts*c.config.ElectionTicks {
			memberProgress.becomeProbe()
		}
	}
}

// broadcastHeartbeat sends all members a heartbeat with the number of the newest read round.
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

func (c *Core) handleAppendAnswer(answer Message, memberProgress *progress) {
	if answer.Reject {
		hint := answer.Hint
		if answer.HintTerm > 0 {
			hint, _ = c.log.conflictByTerm(answer.Hint, answer.HintTerm)
		}
		if memberProgress.reject(answer.Index, hint) {
			c.sendAppend(answer.From, true)
		}
		return
	}
	if answer.Index > c.log.lastIndex() {
		return
	}
	wasPaused := memberProgress.paused
	probed := memberProgress.state == progressProbe && answer.Index == memberProgress.match
	if memberProgress.acknowledge(answer.Index) || probed {
		c.leaveProbe(memberProgress)
		if c.advanceCommit() {
			c.broadcastAppend()
		} else if wasPaused {
			c.sendAppend(answer.From, true)
		}
	}
	c.sendRemaining(answer.From)
	c.continueTransfer(answer.From)
}

// leaveProbe resumes replication to a member that acknowledged its match index.
func (c *Core) leaveProbe(memberProgress *progress) {
	switch memberProgress.state {
	case progressProbe:
		memberProgress.becomeReplicate()
	case progressSnapshot:
		memberProgress.paused = true
		if memberProgress.match >= c.log.snapshotIndex {
			memberProgress.becomeReplicate()
		}
	case progressReplicate:
		memberProgress.paused = memberProgress.full(c.config.MaxInflight)
	}
}

// sendRemaining sends entries until the member has been sent the whole log or its
// inflight window is full.
func (c *Core) sendRemaining(id ReplicaID) {
	for c.progress[id].state == progressReplicate && c.sendAppend(id, false) {
		continue
	}
}

// handleHeartbeatAnswer sends entries that the member lacks, as the last MessageAppend
// may have been lost. A probe is repeated at most once per heartbeat interval: when a
// network partition heals, the answers to all delayed heartbeats arrive at once.
func (c *Core) handleHeartbeatAnswer(answer Message, memberProgress *progress) {
	probedRecently := memberProgress.state == progressProbe && memberProgress.paused && memberProgress.probeTicks < c.config.HeartbeatTicks
	if memberProgress.state != progressSnapshot && !probedRecently {
		memberProgress.paused = false
		if memberProgress.match < c.log.lastIndex() {
			c.sendAppend(answer.From, true)
		}
	}
	c.acknowledgeRead(answer.From, answer.Context)
}

// advanceCommit commits the highest index of this term that a quorum of voters
// has persisted, and reports whether the commit index rose. Entries of earlier
// terms are committed only by an entry of the current one (section 5.4.2 of the
// Raft paper).
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
