package consensus

import "github.com/rotisserie/eris"

// Step handles one message from another replica. ErrInvalidMessage means that the
// message was dropped; ErrLogLost means that this replica's storage lost data and
// it must stop. Other errors concern a forwarded proposal or read. A message that
// is merely outdated is dropped without an error.
func (c *Core) Step(message Message) error {
	if err := c.validateMessage(message); err != nil {
		return err
	}
	if message.Term < c.term {
		c.rejectLowerTerm(message)
		return nil
	}
	if message.Term > c.term && !c.acceptHigherTerm(message) {
		return nil
	}
	return c.dispatch(message)
}

func (c *Core) validateMessage(message Message) error {
	if message.To != c.config.ID {
		return eris.Wrapf(ErrInvalidMessage, "To is %d: this replica is %d", message.To, c.config.ID)
	}
	if message.From == 0 || message.From == c.config.ID {
		return eris.Wrapf(ErrInvalidMessage, "From is %d: give another replica's identifier", message.From)
	}
	if message.Kind < MessagePreVote || message.Kind > MessageReadIndexAnswer {
		return eris.Wrapf(ErrInvalidMessage, "Kind is %d: the kind is unknown", message.Kind)
	}
	if message.Kind == MessageSnapshot && (message.Snapshot == nil || message.Snapshot.Metadata.Index == 0) {
		return eris.Wrap(ErrInvalidMessage, "Snapshot is missing or at index 0: a snapshot message must carry one at an index above 0")
	}
	if message.Kind != MessageAppend {
		return nil
	}
	return validateEntries(message)
}

func validateEntries(message Message) error {
	index, term := message.Index, message.LogTerm
	for _, entry := range message.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > message.Term {
			return eris.Wrapf(ErrInvalidMessage, "Entries has index %d term %d after index %d term %d",
				entry.Index, entry.Term, index, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

// rejectLowerTerm tells the sender of an outdated message the current term where
// progress depends on it: a deposed leader steps down, and a pre-candidate catches
// up with the term.
func (c *Core) rejectLowerTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendAnswer, To: message.From, Reject: true})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteAnswer, To: message.From, Reject: true})
	default:
	}
}

// acceptHigherTerm adopts the message's term if the message proves that the term
// has begun. It returns false if the message must be ignored.
//
// A leader ignores higher terms from a replica outside its membership, for example
// a removed one. If such a replica does lead a newer term, the quorum follows it
// and check-quorum makes this leader step down.
func (c *Core) acceptHigherTerm(message Message) bool {
	if c.role == RoleLeader && !c.isMember(message.From) {
		return false
	}
	switch message.Kind {
	case MessagePreVote:
		return message.Transfer || !c.hasActiveLeader()
	case MessageVote:
		if !message.Transfer && c.hasActiveLeader() {
			return false
		}
		c.becomeFollower(message.Term, 0)
	case MessagePreVoteAnswer:
		// A granted pre-vote carries the term that the election would start.
		if message.Reject {
			c.becomeFollower(message.Term, 0)
		}
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.becomeFollower(message.Term, message.From)
	default:
		c.becomeFollower(message.Term, 0)
	}
	return true
}

// hasActiveLeader reports whether this replica leads or heard from a leader within
// the minimum election timeout. It then ignores vote requests of higher terms,
// except those for a leadership transfer.
func (c *Core) hasActiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.config.ElectionTicks
}

// dispatch handles a message of the current term, or a pre-vote message.
func (c *Core) dispatch(message Message) error {
	switch message.Kind {
	case MessagePreVote, MessageVote:
		c.handleVoteRequest(message)
	case MessagePreVoteAnswer, MessageVoteAnswer:
		c.handleVoteAnswer(message)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return c.handleFromLeader(message)
	case MessageTimeoutNow:
		c.handleTimeoutNow()
	case MessageReadIndexAnswer:
		c.readStates = append(c.readStates, ReadState{Context: message.Context, Index: message.Index})
	default:
		return c.dispatchToLeader(message)
	}
	return nil
}

// dispatchToLeader handles the kinds that only a leader accepts.
func (c *Core) dispatchToLeader(message Message) error {
	if c.role != RoleLeader {
		if message.Kind == MessageForward {
			return ErrNotLeader
		}
		return nil
	}
	memberProgress, found := c.progress[message.From]
	if !found {
		return nil
	}
	memberProgress.recentActive = true
	memberProgress.silentTicks = 0
	switch message.Kind {
	case MessageAppendAnswer:
		c.handleAppendAnswer(message, memberProgress)
	case MessageHeartbeatAnswer:
		c.handleHeartbeatAnswer(message, memberProgress)
	case MessageReadIndex:
		return c.enqueueRead(readRequest{from: message.From, context: message.Context})
	case MessageForward:
		return c.proposeForwarded(message.Entries)
	default:
	}
	return nil
}

// proposeForwarded appends the commands that a follower's driver forwarded.
func (c *Core) proposeForwarded(entries []Entry) error {
	for _, entry := range entries {
		if err := c.propose(EntryCommand, entry.Data); err != nil {
			return err
		}
	}
	return nil
}
