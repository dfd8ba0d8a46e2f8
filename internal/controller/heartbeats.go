package controller

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// heartbeatTick is the time between two looks at leases that may have ended.
const heartbeatTick = 100 * time.Millisecond

// heartbeatKeeper takes the heartbeats of instances while this replica leads. The
// decisions are those of heartbeat.Core. It is safe for concurrent use.
type heartbeatKeeper struct {
	replica  *replica
	settings config.Heartbeat
	// propose puts a command in force that was decided during a leadership, and returns
	// once its end is known.
	propose func(ctx, leadership context.Context, command state.Command) error
	// waiting are the decisions for the next batches.
	waiting chan decision
	// heldAnswers counts the answers that are held back.
	heldAnswers atomic.Int64

	mutex sync.Mutex
	core  *heartbeat.Core
	// heldOff has the senders whose heartbeats met a defect.
	heldOff holdOffs
	// term is the leadership that the core works for.
	term context.Context
}

func newHeartbeatKeeper(settings config.Heartbeat, r *replica) *heartbeatKeeper {
	return &heartbeatKeeper{
		replica: r, settings: settings, propose: r.ProposeDecided, waiting: make(chan decision, decisionsWaiting),
		heldOff: make(holdOffs),
		core: heartbeat.New(heartbeat.Config{
			Lease: settings.EffectiveLease(), MaxLease: settings.LongestLease(), ClockRateBound: settings.ClockRateBound,
			Margin: settings.Margin, Gather: settings.Gather, AddressReuse: settings.AddressReuse, MaxMoves: settings.MaxMoves, Stripes: settings.Stripes,
			HoldBack: settings.HoldBack, Interval: settings.Interval,
		}),
	}
}

// Answers that are held back are to come within the second after which a server gives up, also
// from a leader that is busy: the more wait, the shorter they are held, and none beyond mostHeld.
// Up to fullyHeld each waits for its whole time. Of the requests of a day with 9,999 servers 0.705
// were served in time with this and 0.667 before; most of the servers' calls still failed on it.
const (
	fullyHeld = 400
	mostHeld  = 800
)

// holdBackTime returns how long an answer is held back that is one of a number of them.
func holdBackTime(longest time.Duration, held int) time.Duration {
	if held <= fullyHeld {
		return longest
	}
	return max(0, longest*time.Duration(mostHeld-held)/(mostHeld-fullyHeld))
}

// run decides, and looks after the leases, until the context ends.
func (k *heartbeatKeeper) run(ctx context.Context) {
	var ticking conc.WaitGroup
	defer ticking.Wait()
	ticking.Go(func() {
		clock.Every(ctx, heartbeatTick, func() { k.tick(ctx) })
	})
	gather := gatherDecisions
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.waiting:
			clock.Sleep(ctx, gather)
			took := k.decideTogether(ctx, k.gather(first))
			gather = decisionGather(took)
		}
	}
}

func (k *heartbeatKeeper) tick(ctx context.Context) {
	leadership, leads := k.replica.leadershipContext()
	if !leads {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, k.replica.settings.Consensus.ProposalTimeout)
	defer cancel()
	err := k.change(bounded, leadership, noSender, func(batch *heartbeat.Batch) error {
		batch.Tick()
		return nil
	})
	if err != nil {
		k.replica.log.WithError(err).Debug("directory command not applied")
	}
}

// lastHeartbeat returns when an instance was heard last during a leadership; false if it was not.
func (k *heartbeatKeeper) lastHeartbeat(leadership context.Context, id directory.InstanceID) (time.Duration, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.term != leadership {
		return 0, false
	}
	return k.core.LastHeartbeat(id)
}

// beat takes one heartbeat and returns its answer.
func (k *heartbeatKeeper) beat(ctx context.Context, beat heartbeat.Beat) (grant heartbeat.Grant, err error) {
	err = k.whileLeading(ctx, func(ctx, leadership context.Context) error {
		grant, err = k.beatWhileLeading(ctx, leadership, beat)
		return err
	})
	return grant, err
}

// whileLeading does what only a leader may do. It ends with the leadership: the sender then has time
// left to ask the next leader.
func (k *heartbeatKeeper) whileLeading(ctx context.Context, do func(ctx, leadership context.Context) error) error {
	leadership, leads := k.replica.leadershipContext()
	if !leads {
		return fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatching := context.AfterFunc(leadership, cancel)
	defer stopWatching()
	err := do(ctx, leadership)
	if err != nil && leadership.Err() != nil {
		return errLeadershipLost()
	}
	return err
}

func (k *heartbeatKeeper) beatWhileLeading(ctx, leadership context.Context, beat heartbeat.Beat) (heartbeat.Grant, error) {
	receivedAt := k.replica.clock.Now()
	if err := k.replica.readHere(ctx); err != nil {
		return heartbeat.Grant{}, err
	}
	if !k.renew(leadership, beat) {
		err := k.change(ctx, leadership, beat.Instance, func(batch *heartbeat.Batch) error { return batch.Receive(beat) })
		if errors.Is(err, heartbeat.ErrProvisional) && !beat.Draining {
			telemetry.With(k.replica.log, telemetry.EventDirectoryChanged).WithField(telemetry.FieldServer, beat.Instance).
				WithField(telemetry.FieldAddress, beat.Address).Info("unknown instance waits for its next heartbeat: another one was heard at its address")
			return heartbeat.Grant{}, nil
		}
		if err != nil {
			return heartbeat.Grant{}, err
		}
	}
	k.holdBack(ctx, leadership, receivedAt, beat)
	return k.answer(leadership, receivedAt, beat)
}

// renew takes a heartbeat that changes nothing, without a batch.
func (k *heartbeatKeeper) renew(leadership context.Context, beat heartbeat.Beat) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil || k.term != leadership {
		return false
	}
	renewed := false
	err := k.guarded(&beat.Instance, func() {
		k.replica.view(func(view *state.State) {
			renewed = k.core.Renew(k.replica.clock.Now(), beat, view.Directory())
		})
	})
	return renewed && err == nil
}

// holdBack waits with the answer to a heartbeat until there is news for the instance,
// for a bounded time.
func (k *heartbeatKeeper) holdBack(ctx, leadership context.Context, receivedAt time.Duration, beat heartbeat.Beat) {
	held := k.heldAnswers.Add(1)
	defer k.heldAnswers.Add(-1)
	timeout := time.NewTimer(receivedAt + holdBackTime(k.settings.HoldBack, int(held)) - k.replica.clock.Now())
	defer timeout.Stop()
	for {
		changed := k.replica.instanceNews.Next(beat.Instance)
		if !k.mayHoldBack(leadership, receivedAt, beat) {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-leadership.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (k *heartbeatKeeper) mayHoldBack(leadership context.Context, receivedAt time.Duration, beat heartbeat.Beat) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil || k.term != leadership {
		return false
	}
	held := false
	err := k.guarded(&beat.Instance, func() {
		k.replica.view(func(view *state.State) {
			held = k.core.HoldBack(k.replica.clock.Now(), receivedAt, beat, view.Directory())
		})
	})
	return held && err == nil
}

func (k *heartbeatKeeper) answer(leadership context.Context, receivedAt time.Duration, beat heartbeat.Beat) (heartbeat.Grant, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil || k.term != leadership {
		return heartbeat.Grant{}, errLeadershipLost()
	}
	if !k.core.IsNewest(beat) {
		return heartbeat.Grant{}, fault.Newf(fault.Conflict, "sequence %d is not the newest: a later heartbeat came while this one was held back", beat.Sequence)
	}
	if k.replica.clock.Now()-receivedAt > k.settings.AnswerTimeout {
		return heartbeat.Grant{}, fault.New(fault.Unavailable, "the heartbeat took too long: send the next one")
	}
	var grant heartbeat.Grant
	err := k.guarded(&beat.Instance, func() {
		k.replica.view(func(view *state.State) {
			grant = k.core.Answer(beat.Instance, view.Directory())
		})
	})
	if err != nil {
		return heartbeat.Grant{}, err
	}
	return grant, nil
}

// count takes the counts of requests of a gateway, by its name.
func (k *heartbeatKeeper) count(leadership context.Context, gateway string, report message.DemandReport) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil {
		return
	}
	k.follow(leadership)
	sender := directory.InstanceID("gateway " + gateway)
	if k.heldOff.holds(k.replica.clock.Now(), sender) {
		return
	}
	// A report that meets a defect is lost; the line in the log says so.
	_ = k.guarded(&sender, func() {
		k.core.RecordGateway(k.replica.clock.Now(), gateway, report.Gateway)
		for _, service := range report.Services {
			k.core.AddReport(k.replica.clock.Now(), service)
		}
	})
}

// leave takes a server's word that it leaves for good.
func (k *heartbeatKeeper) leave(ctx context.Context, leaving directory.Incarnation) error {
	return k.whileLeading(ctx, func(ctx, leadership context.Context) error {
		if err := k.replica.readHere(ctx); err != nil {
			return err
		}
		return k.change(ctx, leadership, leaving.ID(), func(batch *heartbeat.Batch) error {
			batch.Leave(leaving)
			return nil
		})
	})
}
