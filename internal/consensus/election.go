package consensus

// becomeFollower makes the replica a follower of leader, or of no known leader
// if that is 0, in the given term, which may be the current one. All state of a
// leader or candidate is dropped.
func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == RoleLeader {
		c.quietTicks = 0
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.uncommittedBytes = 0
	c.pendingMembership = 0
	c.transferee = 0
	c.reads = readRounds{}
	c.resetElectionTimer()
}

// resetElectionTimer draws the next timeout from [ElectionTicks, 2*ElectionTicks).
func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.config.ElectionTicks + c.random.IntN(c.config.ElectionTicks)
}

// mayCampaign reports whether this replica may ask for votes. A replica that holds
// a committed membership change must apply it first, since it may remove the
// replica itself.
func (c *Core) mayCampaign() bool {
	return c.mayLead() && c.log.pendingSnapshot == nil && !c.log.hasCommittedMembershipChange()
}

// startPreVote asks the voters whether they would grant a vote, without raising the term.
func (c *Core) startPreVote() {
	if !c.mayCampaign() {
		return
	}
	c.role = RolePreCandidate
	c.leader = 0
	c.votes = map[ReplicaID]bool{c.config.ID: true}
	if c.countVotes() {
		return
	}
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.term + 1})
}

// startElection raises the term and asks for votes. The candidate's vote for
// itself counts only once it is persisted, in Advance.
func (c *Core) startElection(transfer bool) {
	if !c.mayCampaign() {
		return
	}
	c.becomeFollower(c.term+1, 0)
	c.role = RoleCandidate
	c.campaignQuiet = c.quietTime()
	c.vote = c.config.ID
	c.ownVoteTerm = c.term
	c.votes = map[ReplicaID]bool{}
	c.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
}

func (c *Core) requestVotes(request Message) {
	request.Index = c.log.lastIndex()
	request.LogTerm = c.log.lastTerm()
	for _, id := range c.voters {
		if id == c.config.ID {
			continue
		}
		request.To = id
		c.send(request)
	}
}

// handleVoteRequest answers a vote or pre-vote request. A replica that is a
// learner by its own log answers too: a candidate asks only voters, so the
// candidate's membership is newer and includes a promotion that this replica's
// log lacks.
func (c *Core) handleVoteRequest(request Message) {
	answer := Message{Kind: MessageVoteAnswer, To: request.From}
	preVote := request.Kind == MessagePreVote
	if preVote {
		answer.Kind = MessagePreVoteAnswer
	}
	mayGrant := c.vote == request.From || (c.vote == 0 && c.leader == 0)
	if preVote {
		mayGrant = request.Term > c.term
	}
	if !mayGrant || !c.log.isUpToDate(request.Index, request.LogTerm) {
		answer.Reject = true
		c.send(answer)
		return
	}
	if preVote {
		answer.Term = request.Term
	} else {
		c.vote = request.From
		answer.Quiet = c.quietTime()
		c.resetElectionTimer()
	}
	c.send(answer)
}

func (c *Core) handleVoteAnswer(answer Message) {
	if !c.awaitsVoteAnswer(answer) {
		return
	}
	if _, answered := c.votes[answer.From]; !answered {
		c.recordVote(answer)
	}
	c.countVotes()
}

// recordVote records a voter's first answer; later ones are duplicates.
func (c *Core) recordVote(answer Message) {
	c.votes[answer.From] = !answer.Reject
	if !answer.Reject && c.role == RoleCandidate {
		c.campaignQuiet = min(c.campaignQuiet, answer.Quiet)
	}
}

func (c *Core) awaitsVoteAnswer(answer Message) bool {
	if answer.Kind == MessageVoteAnswer {
		return c.role == RoleCandidate && answer.Term == c.term
	}
	if answer.Reject {
		return c.role == RolePreCandidate
	}
	return c.role == RolePreCandidate && answer.Term == c.term+1
}

// countVotes ends the campaign, or its pre-vote phase, once it is won or lost.
// It reports whether it did.
func (c *Core) countVotes() bool {
	granted, refused := 0, 0
	for _, id := range c.voters {
		vote, answered := c.votes[id]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	switch {
	case granted >= c.quorum() && c.role == RolePreCandidate:
		c.startElection(false)
	case granted >= c.quorum():
		c.becomeLeader()
	case refused > len(c.voters)-c.quorum():
		c.becomeFollower(c.term, 0)
	default:
		return false
	}
	return true
}

// becomeLeader makes the replica the leader of the current term. It appends an
// empty entry, since committing that also commits all entries of earlier terms.
func (c *Core) becomeLeader() {
	c.becomeFollower(c.term, c.config.ID)
	c.role = RoleLeader
	c.electionQuiet = c.campaignQuiet
	c.heartbeatElapsed = 0
	c.uncommittedBytes = c.log.dataBytes(c.log.committed+1, c.log.lastIndex())
	c.progress = make(map[ReplicaID]*progress, len(c.receivers))
	for _, id := range c.receivers {
		c.progress[id] = newProgress(c.log.lastIndex() + 1)
	}
	c.progress[c.config.ID].match = c.log.stable
	c.appendOwn(EntryCommand, nil)
	c.pendingMembership = c.log.lastIndex()
	c.broadcastAppend()
}

// confirmOwnVote counts the candidate's vote for itself, which is now persisted.
func (c *Core) confirmOwnVote(term uint64) {
	if c.role != RoleCandidate || c.term != term {
		return
	}
	c.votes[c.config.ID] = true
	c.countVotes()
}
