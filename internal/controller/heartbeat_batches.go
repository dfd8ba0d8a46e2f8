package controller

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Bounds of the batches in which heartbeats are decided.
const (
	// gatherDecisions is how long a batch waits for further decisions after its first, at least.
	gatherDecisions = 3 * time.Millisecond
	// decisionRest is how many times the time that the last batch took to decide the next one
	// waits, and longestGatherDecisions the longest wait: a batch looks at all instances and
	// ranges of keys, so that with thousands of them the leader would do nothing else.
	decisionRest           = 4
	longestGatherDecisions = 200 * time.Millisecond
	// maxBatch bounds the decisions of one batch.
	maxBatch = 512
	// mostDefects bounds the decisions of one batch that may meet a defect before it is given up.
	mostDefects = 8
	// decisionsWaiting bounds the decisions that wait for their batch.
	decisionsWaiting = 8192
)

// decision is a part of a batch.
type decision struct {
	// ctx ends when nobody waits for the outcome any more.
	ctx        context.Context
	leadership context.Context
	// sender is the instance that asks for the decision, or noSender.
	sender directory.InstanceID
	decide func(*heartbeat.Batch) error
	// done gets the outcome once the commands of the batch are applied.
	done chan error
}

// decisionGather returns how long a batch gathers decisions after one that took a time to decide.
func decisionGather(took time.Duration) time.Duration {
	return min(max(gatherDecisions, decisionRest*took), longestGatherDecisions)
}

// gather returns the decisions that wait, the first one included. Those that nobody waits for
// any more are left out: after a time without a leader, or one that was held up, as many wait as
// come in seconds, and each decision on one that was given up makes the next one late, too.
func (k *heartbeatKeeper) gather(first decision) []decision {
	gathered := appendAwaited(nil, first)
	for len(gathered) < maxBatch {
		select {
		case next := <-k.waiting:
			gathered = appendAwaited(gathered, next)
		default:
			return gathered
		}
	}
	return gathered
}

// appendAwaited adds a decision unless its caller has given it up.
func appendAwaited(gathered []decision, next decision) []decision {
	if next.ctx.Err() != nil {
		return gathered
	}
	return append(gathered, next)
}

func errBusy() error { return fault.New(fault.Unavailable, "the controller is busy: ask again") }

// change decides for a sender in the next batch and waits until its commands are applied.
func (k *heartbeatKeeper) change(ctx, leadership context.Context, sender directory.InstanceID, decide func(*heartbeat.Batch) error) error {
	if err := k.mayDecide(sender); err != nil {
		return err
	}
	made := decision{ctx: ctx, leadership: leadership, sender: sender, decide: decide, done: make(chan error, 1)}
	select {
	case k.waiting <- made:
	case <-ctx.Done():
		return errBusy()
	}
	select {
	case err := <-made.done:
		return err
	case <-ctx.Done():
		return errBusy()
	}
}

// decideTogether puts decisions in force by one command. The next batch begins once
// its end is known: one that was given up may commit later, and would take keys away
// that the next batch, which knows nothing of it, has granted anew. Callers stop waiting
// by their own timeouts meanwhile. It returns how long the decisions took.
func (k *heartbeatKeeper) decideTogether(ctx context.Context, decisions []decision) time.Duration {
	began := k.replica.clock.Now()
	batch := k.decide(decisions)
	took := k.replica.clock.Now() - began
	var failure error
	defer func() { k.replica.load.batch(len(decisions), took, k.replica.clock.Now()-began) }()
	if len(batch.commands) > 0 {
		joined := directory.JoinCommands(batch.commands)
		failure = k.propose(ctx, batch.leadership, state.Command{Directory: &joined})
	}
	for index, made := range decisions {
		outcome := batch.outcomes[index]
		if outcome == nil {
			outcome = failure
		}
		made.done <- outcome
	}
	return took
}

// decidedBatch is a batch whose commands are not in force yet.
type decidedBatch struct {
	// leadership is that during which it was decided.
	leadership context.Context
	commands   []directory.Command
	// outcomes tell what is wrong with each decision.
	outcomes []error
}

// decide decides a batch on the state that is applied. If a decision meets a defect the others are
// decided anew without it, since a part of the batch may be wrong.
func (k *heartbeatKeeper) decide(decisions []decision) decidedBatch {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	defects := make(map[int]error)
	for len(defects) <= mostDefects {
		decided, defective, err := k.decideAll(decisions, defects)
		if err == nil {
			return decided
		}
		if defective == len(decisions) {
			break
		}
		defects[defective] = err
	}
	return givenUp(decisions, defects)
}

// givenUp is the end of a batch in which too many decisions met a defect.
func givenUp(decisions []decision, defects map[int]error) decidedBatch {
	decided := decidedBatch{outcomes: make([]error, len(decisions))}
	for index := range decisions {
		decided.outcomes[index] = defects[index]
		if decided.outcomes[index] == nil {
			decided.outcomes[index] = errBusy()
		}
	}
	return decided
}

// decideAll decides a batch but for those that met a defect before. If another one does, it returns
// which and the failure for it; the number of decisions if the commands could not be made.
func (k *heartbeatKeeper) decideAll(decisions []decision, defects map[int]error) (decided decidedBatch, defective int, err error) {
	decided = decidedBatch{outcomes: make([]error, len(decisions))}
	sender := noSender
	err = k.guarded(&sender, func() {
		k.replica.view(func(view *state.State) {
			var batch *heartbeat.Batch
			for index, made := range decisions {
				defective, sender = index, made.sender
				if defects[index] != nil {
					decided.outcomes[index] = defects[index]
					continue
				}
				if made.leadership.Err() != nil {
					decided.outcomes[index] = errLeadershipLost()
					continue
				}
				if batch == nil {
					k.follow(made.leadership)
					decided.leadership = made.leadership
					batch = k.core.Batch(k.replica.clock.Now(), view.Directory())
				}
				decided.outcomes[index] = made.decide(batch)
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

// follow begins anew in each term of leadership.
func (k *heartbeatKeeper) follow(leadership context.Context) {
	if k.term == leadership {
		return
	}
	k.term = leadership
	k.core.Lead(k.replica.clock.Now())
}
