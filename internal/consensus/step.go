package consensus

import "github.com/rotisserie/eris"

// Step takes one message from another replica. An error of ErrInvalidMessage
// means that the message was dropped; ErrLogLost means that this replica's
// storage lost data and it must stop. Other errors concern a forwarded
// proposal or read. A message that is merely out of date is dropped silently.
func (c *Core) Step(message Message) error {
	if err := c.validateMessage(message); err != nil {
		return err
	}
	if message.Term < c.term {
		c.answerLowerTerm(message)
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
		return eris.Wrap(ErrInvalidMessage, "Snapshot is empty: a snapshot message carries one")
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

// answerLowerTerm tells the sender of an out-of-date message of the present
// term where that is needed for progress: a leader that lost its term steps
// down, and a pre-candidate catches up with the term.
func (c *Core) answerLowerTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendAnswer, To: message.From, Reject: true})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteAnswer, To: message.From, Reject: true})
	default:
	}
}

// acceptHigherTerm moves to the message's term if the message proves that the
// term has begun. It returns false when the message must be ignored.
//
// A leader ignores every higher term of a replica outside its membership, for
// example a removed one. Should such a replica truly lead a newer term, then
// the quorum follows it and check-quorum ends this leadership in time.
func (c *Core) acceptHigherTerm(message Message) bool {
	if c.role == RoleLeader && !c.isMember(message.From) {
		return false
	}
	switch message.Kind {
	case MessagePreVote:
		return message.Transfer || !c.hearsLeader()
	case MessageVote:
		if !message.Transfer && c.hearsLeader() {
			return false
		}
		c.becomeFollower(message.Term, 0)
	case MessagePreVoteAnswer:
		// A granted pre-vote carries the term that the campaign would start.
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

// hearsLeader reports whether this replica leads or heard from a leader within
// the election timeout. It then ignores campaigns.
func (c *Core) hearsLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.config.ElectionTicks
}

// dispatch handles a message of the present term or a pre-vote.
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

// dispatchToLeader handles the kinds that only a leader takes.
func (c *Core) dispatchToLeader(message Message) error {
	if c.role != RoleLeader {
		if message.Kind == MessageForward {
			return ErrNotLeader
		}
		return nil
	}
	view, found := c.progress[message.From]
	if !found {
		return nil
	}
	view.recentActive = true
	view.silentTicks = 0
	switch message.Kind {
	case MessageAppendAnswer:
		c.handleAppendAnswer(message, view)
	case MessageHeartbeatAnswer:
		c.handleHeartbeatAnswer(message, view)
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
