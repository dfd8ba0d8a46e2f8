package controller

import (
	"context"
	"sync"
	"time"

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

	// changing is held from a decision until its commands are applied, so that no
	// two decisions rest on the same state.
	changing chan struct{}

	mutex sync.Mutex
	core  *heartbeat.Core
	// term is the leadership that the core works for.
	term context.Context
}

func newHeartbeatKeeper(settings config.Heartbeat, r *replica) *heartbeatKeeper {
	return &heartbeatKeeper{
		replica: r, settings: settings, changing: make(chan struct{}, 1),
		core: heartbeat.New(heartbeat.Config{
			Lease: settings.EffectiveLease(), MaxLease: settings.LongestLease(), ClockRateBound: settings.ClockRateBound,
			Margin: settings.Margin, Gather: settings.Gather, AddressReuse: settings.AddressReuse, MaxMoves: settings.MaxMoves, Stripes: settings.Stripes,
		}),
	}
}

// run looks after the leases until the context ends.
func (k *heartbeatKeeper) run(ctx context.Context) {
	clock.Every(ctx, heartbeatTick, func() {
		leadership, leads := k.replica.leadershipContext()
		if !leads {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, k.replica.settings.Consensus.ProposalTimeout)
		defer cancel()
		err := k.change(bounded, leadership, func(now time.Duration, view *directory.Directory) ([]directory.Command, error) {
			return k.core.Tick(now, view), nil
		})
		if err != nil {
			k.replica.log.WithError(err).Debug("directory command not applied")
		}
	})
}

// decision returns the commands that the directory calls for.
type decision func(now time.Duration, view *directory.Directory) ([]directory.Command, error)

// change decides and waits until the commands are applied.
func (k *heartbeatKeeper) change(ctx, leadership context.Context, decide decision) error {
	select {
	case k.changing <- struct{}{}:
		defer func() { <-k.changing }()
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "the controller is busy: ask again")
	}
	commands, err := k.decide(leadership, decide)
	if err != nil {
		return err
	}
	for _, command := range commands {
		if _, err := k.replica.Propose(ctx, state.Command{Directory: &command}); err != nil {
			return err
		}
	}
	return nil
}

func (k *heartbeatKeeper) decide(leadership context.Context, decide decision) ([]directory.Command, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil {
		return nil, errLeadershipLost()
	}
	k.follow(leadership)
	var commands []directory.Command
	var err error
	k.replica.view(func(view *state.State) {
		commands, err = decide(k.replica.clock.Now(), view.Directory())
	})
	return commands, err
}

func errLeadershipLost() error {
	return fault.New(fault.NotLeader, "this replica leads no longer: ask the leader")
}

// follow begins anew in each term of leadership.
func (k *heartbeatKeeper) follow(leadership context.Context) {
	if k.term == leadership {
		return
	}
	k.term = leadership
	k.core.Lead(k.replica.clock.Now())
}

// beat takes one heartbeat and returns its answer.
func (k *heartbeatKeeper) beat(ctx context.Context, beat heartbeat.Beat) (heartbeat.Grant, error) {
	leadership, leads := k.replica.leadershipContext()
	if !leads {
		return heartbeat.Grant{}, fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	receivedAt := k.replica.clock.Now()
	if err := k.replica.readHere(ctx); err != nil {
		return heartbeat.Grant{}, err
	}
	err := k.change(ctx, leadership, func(now time.Duration, view *directory.Directory) ([]directory.Command, error) {
		return k.core.Receive(now, beat, view)
	})
	if err != nil {
		return heartbeat.Grant{}, err
	}
	return k.answer(leadership, receivedAt, beat)
}

func (k *heartbeatKeeper) answer(leadership context.Context, receivedAt time.Duration, beat heartbeat.Beat) (heartbeat.Grant, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil || k.term != leadership {
		return heartbeat.Grant{}, errLeadershipLost()
	}
	if k.replica.clock.Now()-receivedAt > k.settings.AnswerTimeout {
		return heartbeat.Grant{}, fault.New(fault.Unavailable, "the heartbeat took too long: send the next one")
	}
	var grant heartbeat.Grant
	k.replica.view(func(view *state.State) {
		grant = k.core.Answer(receivedAt, beat.Instance, view.Directory())
	})
	return grant, nil
}

// count takes a gateway's counts of requests.
func (k *heartbeatKeeper) count(leadership context.Context, report message.DemandReport) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if leadership.Err() != nil {
		return
	}
	k.follow(leadership)
	for _, service := range report.Services {
		k.core.Count(k.replica.clock.Now(), service)
	}
}

// leave takes an instance's word that it leaves for good.
func (k *heartbeatKeeper) leave(ctx context.Context, id directory.InstanceID) error {
	leadership, leads := k.replica.leadershipContext()
	if !leads {
		return fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	if err := k.replica.readHere(ctx); err != nil {
		return err
	}
	return k.change(ctx, leadership, func(_ time.Duration, view *directory.Directory) ([]directory.Command, error) {
		return k.core.Leave(id, view), nil
	})
}

// directoryApplied tells the streams and the log of an applied command.
func (h *host) directoryApplied(index uint64, command directory.Command, result state.Result) {
	line := telemetry.With(h.log, telemetry.EventDirectoryChanged).WithField(telemetry.FieldIndex, index)
	if result.Err != nil {
		line.WithField(telemetry.FieldError, result.Err.Error()).Info("directory command refused")
		return
	}
	h.directoryChanged.Raise()
	switch {
	case command.Patch != nil:
		line.WithField(telemetry.FieldCount, len(command.Patch.Items)).WithField("items", itemNames(command.Patch.Items)).Info("items taken")
	case command.Layout != nil:
		changed := command.Layout.Changed
		line.WithField(telemetry.FieldService, command.Layout.Service).WithField(telemetry.FieldCount, len(changed)).
			WithField("holdings", holdingLines(changed)).Info("holders of keys changed")
	default:
		for _, instance := range command.Instances {
			line.WithField(telemetry.FieldServer, instance.ID).WithField(telemetry.FieldService, instance.Service).
				WithField(telemetry.FieldAddress, instance.Address).WithField("state", instance.State).Info("instance changed")
		}
	}
}

// namedItems bounds the items that a log line names.
const namedItems = 8

func itemNames(items []directory.Item) []string {
	var names []string
	for _, item := range items[:min(len(items), namedItems)] {
		names = append(names, item.Key.Name)
	}
	return names
}

// holdingLine is a holding in a log line.
type holdingLine struct {
	First   directory.Key        `json:"first"`
	Last    directory.Key        `json:"last"`
	Fence   directory.Fence      `json:"fence"`
	Owner   directory.InstanceID `json:"owner"`
	Revoked bool                 `json:"revoked,omitempty"`
	Granted bool                 `json:"granted,omitempty"`
}

// namedHoldings bounds the holdings that a log line tells.
const namedHoldings = 32

func holdingLines(changed []directory.Holding) []holdingLine {
	var lines []holdingLine
	for _, holding := range changed[:min(len(changed), namedHoldings)] {
		lines = append(lines, holdingLine{holding.First, holding.Last, holding.Fence, holding.Owner, holding.Revoked, holding.Granted})
	}
	return lines
}
