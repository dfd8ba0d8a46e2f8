package controller

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Limits of the batches in which heartbeats are decided.
const (
	// minBatchDelay is the shortest time for which a batch collects further decisions after its first one.
	minBatchDelay = 3 * time.Millisecond
	// batchDelayFactor times the duration of the last decision is the delay before the next batch, up to
	// maxBatchDelay. Each batch scans all instances and key ranges, so with thousands of them the leader would
	// otherwise do nothing else.
	batchDelayFactor = 4
	maxBatchDelay    = 200 * time.Millisecond
	// maxBatchDecisions bounds the number of decisions in one batch.
	maxBatchDecisions = 512
	// maxBatchDefects bounds the number of panicking decisions in one batch before the whole batch is
	// abandoned.
	maxBatchDefects = 8
	// maxPendingDecisions bounds the queue of decisions that wait for a batch.
	maxPendingDecisions = 8192
)

// decision is one entry of a batch.
type decision struct {
	// ctx ends when the caller no longer waits for the outcome.
	ctx        context.Context
	leadership context.Context
	// sender is the instance that asked for the decision, or noSender.
	sender directory.InstanceID
	decide func(*heartbeat.Batch) error
	// done receives the outcome once the commands of the batch are applied.
	done chan error
}

// nextBatchDelay returns how long a batch collects decisions when deciding the previous one took decideTime.
func nextBatchDelay(decideTime time.Duration) time.Duration {
	return min(max(minBatchDelay, batchDelayFactor*decideTime), maxBatchDelay)
}

// collect returns the queued decisions, starting with the first one. Abandoned decisions are dropped: after a
// period without a leader, or with a stalled one, seconds worth of decisions are queued, and each abandoned
// one that is processed makes the next ones late as well.
func (m *heartbeatManager) collect(first decision) []decision {
	collected := appendAwaited(nil, first)
	for len(collected) < maxBatchDecisions {
		select {
		case next := <-m.pending:
			collected = appendAwaited(collected, next)
		default:
			return collected
		}
	}
	return collected
}

// appendAwaited appends a decision unless its caller has abandoned it.
func appendAwaited(collected []decision, next decision) []decision {
	if next.ctx.Err() != nil {
		return collected
	}
	return append(collected, next)
}

func errBusy() error { return fault.New(fault.Unavailable, "the controller is busy: ask again") }

// decideInBatch queues a decision for a sender and waits until the commands of its batch are applied.
func (m *heartbeatManager) decideInBatch(ctx, leadership context.Context, sender directory.InstanceID, decide func(*heartbeat.Batch) error) error {
	if err := m.checkBackoff(sender); err != nil {
		return err
	}
	queued := decision{ctx: ctx, leadership: leadership, sender: sender, decide: decide, done: make(chan error, 1)}
	select {
	case m.pending <- queued:
	case <-ctx.Done():
		return errBusy()
	}
	select {
	case err := <-queued.done:
		return err
	case <-ctx.Done():
		return errBusy()
	}
}

// runBatch decides a batch and commits its commands as one. The next batch starts only once the outcome is
// known: a proposal that was merely abandoned could commit later and take away keys that the next batch,
// unaware of it, has granted again. Callers stop waiting by their own timeouts. It returns how long the
// decisions took.
func (m *heartbeatManager) runBatch(ctx context.Context, decisions []decision) time.Duration {
	startedAt := m.replica.clock.Now()
	batch := m.decideBatch(decisions)
	decideTime := m.replica.clock.Now() - startedAt
	var failure error
	defer func() { m.replica.load.batch(len(decisions), decideTime, m.replica.clock.Now()-startedAt) }()
	if len(batch.commands) > 0 {
		joined := directory.JoinCommands(batch.commands)
		failure = m.propose(ctx, batch.leadership, state.Command{Directory: &joined})
	}
	for index, queued := range decisions {
		outcome := batch.outcomes[index]
		if outcome == nil {
			outcome = failure
		}
		queued.done <- outcome
	}
	return decideTime
}

// decidedBatch is a batch whose commands are not committed yet.
type decidedBatch struct {
	// leadership is the term of leadership in which the batch was decided.
	leadership context.Context
	commands   []directory.Command
	// outcomes holds the error of each decision, or nil.
	outcomes []error
}

// decideBatch decides a batch against the applied state. If a decision panics, the batch is decided again
// without it, since the panic may have left the batch inconsistent.
func (m *heartbeatManager) decideBatch(decisions []decision) decidedBatch {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	defects := make(map[int]error)
	for len(defects) <= maxBatchDefects {
		decided, defective, err := m.tryDecideBatch(decisions, defects)
		if err == nil {
			return decided
		}
		if defective == len(decisions) {
			break
		}
		defects[defective] = err
	}
	return abandonedBatch(decisions, defects)
}

// abandonedBatch returns the outcomes of a batch in which too many decisions panicked.
func abandonedBatch(decisions []decision, defects map[int]error) decidedBatch {
	decided := decidedBatch{outcomes: make([]error, len(decisions))}
	for index := range decisions {
		decided.outcomes[index] = defects[index]
		if decided.outcomes[index] == nil {
			decided.outcomes[index] = errBusy()
		}
	}
	return decided
}

// tryDecideBatch decides a batch, skipping the decisions that panicked before. If another decision panics, it
// returns its index and the error; the index is the number of decisions if building the commands panicked.
func (m *heartbeatManager) tryDecideBatch(decisions []decision, defects map[int]error) (decided decidedBatch, defective int, err error) {
	decided = decidedBatch{outcomes: make([]error, len(decisions))}
	sender := noSender
	err = m.guarded(&sender, func() {
		m.replica.view(func(view *state.State) {
			var batch *heartbeat.Batch
			for index, queued := range decisions {
				defective, sender = index, queued.sender
				if defects[index] != nil {
					decided.outcomes[index] = defects[index]
					continue
				}
				if queued.leadership.Err() != nil {
					decided.outcomes[index] = errLeadershipLost()
					continue
				}
				if batch == nil {
					m.startTermIfNew(queued.leadership)
					decided.leadership = queued.leadership
					batch = m.core.Batch(m.replica.clock.Now(), view.Directory())
				}
				decided.outcomes[index] = queued.decide(batch)
			}
			defective, sender = len(decisions), wholeBatch
			if batch != nil {
				decided.commands = batch.Commands()
			}
		})
	})
	return decided, defective, err
}

func errLeadershipLost() error {
	return fault.New(fault.NotLeader, "leadership lost: ask the leader")
}

// startTermIfNew resets the core when the leadership term has changed. The mutex must be held.
func (m *heartbeatManager) startTermIfNew(leadership context.Context) {
	if m.leadership == leadership {
		return
	}
	m.leadership = leadership
	m.core.Lead(m.replica.clock.Now())
}
