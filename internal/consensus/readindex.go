package consensus

// maxWaitingReads limits the reads that wait for the next quorum round.
const maxWaitingReads = 4096

// readRequest is one read and the replica that asked for it.
type readRequest struct {
	from    ReplicaID
	context uint64
}

// readRounds confirms reads by quorum rounds, one at a time. Every heartbeat
// carries the number of the newest round, so an answer with that number proves
// that the member still followed this leader after the round began.
type readRounds struct {
	number       uint64
	inFlight     bool
	index        uint64
	confirming   []readRequest
	acknowledged map[ReplicaID]bool
	// waiting holds the reads that arrived after the round in flight began, or
	// before the leader committed an entry of its term.
	waiting []readRequest
}

// ReadIndex requests a commit index that is confirmed by a quorum round which
// begins after this call. The result arrives as a ReadState with the context. It
// never arrives if leadership or a message is lost, so the driver needs a timeout.
// A context must not be used twice, not even across restarts. The error is
// ErrNoLeader on a follower, or ErrReadQueueFull.
func (c *Core) ReadIndex(context uint64) error {
	if c.role == RoleLeader {
		return c.enqueueRead(readRequest{from: c.config.ID, context: context})
	}
	if c.leader == 0 {
		return ErrNoLeader
	}
	c.send(Message{Kind: MessageReadIndex, To: c.leader, Context: context})
	return nil
}

func (c *Core) enqueueRead(request readRequest) error {
	if len(c.reads.waiting) >= maxWaitingReads {
		return ErrReadQueueFull
	}
	c.reads.waiting = append(c.reads.waiting, request)
	c.startReadRound()
	return nil
}

// startReadRound begins a round for the waiting reads, unless one is in flight
// or the leader has not committed an entry of its term: before that, its commit
// index may be below entries that an earlier leader acknowledged.
func (c *Core) startReadRound() {
	if c.reads.inFlight || len(c.reads.waiting) == 0 || !c.termCommitted() {
		return
	}
	c.reads.number++
	c.reads.inFlight = true
	c.reads.index = c.log.committed
	c.reads.confirming = c.reads.waiting
	c.reads.waiting = nil
	c.reads.acknowledged = map[ReplicaID]bool{c.config.ID: true}
	c.broadcastHeartbeat()
	c.finishReadRound()
}

// acknowledgeRead counts a heartbeat answer if it belongs to the round in flight.
func (c *Core) acknowledgeRead(from ReplicaID, number uint64) {
	if !c.reads.inFlight || number != c.reads.number {
		return
	}
	c.reads.acknowledged[from] = true
	c.finishReadRound()
}

// finishReadRound confirms the round's reads if a quorum has acknowledged it.
func (c *Core) finishReadRound() {
	if !c.reads.inFlight {
		return
	}
	count := 0
	for _, id := range c.voters {
		if c.reads.acknowledged[id] {
			count++
		}
	}
	if count < c.quorum() {
		return
	}
	c.reads.inFlight = false
	for _, request := range c.reads.confirming {
		c.confirmRead(request)
	}
	c.reads.confirming = nil
	c.startReadRound()
}

func (c *Core) confirmRead(request readRequest) {
	if request.from == c.config.ID {
		c.readStates = append(c.readStates, ReadState{Context: request.context, Index: c.reads.index})
		return
	}
	c.send(Message{
		Kind: MessageReadIndexAnswer, To: request.from,
		Context: request.context, Index: c.reads.index,
	})
}
