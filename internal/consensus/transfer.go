package consensus

import "github.com/rotisserie/eris"

// TransferLeadership asks a voter to take over leadership. The leader first brings
// that voter's log up to date and accepts no proposals meanwhile; it gives up after
// ElectionTicks. The error is ErrNotLeader or ErrUnknownMember. The outcome is
// visible in Status.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	if to == c.config.ID || !c.isVoter(to) {
		return eris.Wrapf(ErrUnknownMember, "to is %d: give another voter of the group", to)
	}
	c.transferee = to
	c.transferElapsed = 0
	c.sendAppend(to, true)
	c.continueTransfer(to)
	return nil
}

// continueTransfer tells the member to campaign once its log is up to date.
func (c *Core) continueTransfer(id ReplicaID) {
	if c.transferee != id || c.progress[id].match != c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: MessageTimeoutNow, To: id})
}

func (c *Core) tickTransfer() {
	if c.transferee == 0 {
		return
	}
	c.transferElapsed++
	if c.transferElapsed >= c.config.ElectionTicks {
		c.transferee = 0
	}
}

// handleTimeoutNow starts an election at once, without a pre-vote.
func (c *Core) handleTimeoutNow() {
	if c.role == RoleFollower {
		c.startElection(true)
	}
}
