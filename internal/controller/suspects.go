package controller

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const (
	// suspectTick is the time between two looks whether a decision about a request is due.
	suspectTick = 100 * time.Millisecond
	// gatherSuspects is how long a decision waits for further reports: the gateways that lost requests
	// at one crash tell of it within a few milliseconds.
	gatherSuspects = 5 * time.Millisecond
	// fewSuspects is the number of suspects up to which changes are not held up, and manySuspectsPause
	// the time between two changes of more: each change is sent as a whole list to all gateways, and
	// the loss of a zone makes hundreds of suspects at once.
	fewSuspects       = 32
	manySuspectsPause = 250 * time.Millisecond
)

// suspectKeeper puts requests in quarantine under which instances crash, while this replica leads. The
// decisions are those of quarantine.Ledger. It is safe for concurrent use.
type suspectKeeper struct {
	replica  *replica
	settings config.Quarantine
	// heard gets an entry when there are reports to decide on.
	heard     chan struct{}
	decisions *prometheus.CounterVec
	mutex     sync.Mutex
	ledger    *quarantine.Ledger
	// term is the leadership that the ledger works for.
	term context.Context
}

func newSuspectKeeper(settings config.Quarantine, r *replica) *suspectKeeper {
	return &suspectKeeper{
		replica: r, settings: settings, heard: make(chan struct{}, 1),
		decisions: r.metrics.registry.Counters("quarantine_decisions_total", "Decisions about requests under which instances crashed, by what was decided.", "decision"),
	}
}

// hear takes the report of a gateway.
func (k *suspectKeeper) hear(leadership context.Context, gateway string, report quarantine.Report) {
	k.guarded(func() {
		k.follow(leadership)
		k.ledger.HandleReport(k.replica.clock.Now(), gateway, report)
	})
	select {
	case k.heard <- struct{}{}:
	default:
	}
}

// guarded runs a part of a decision. After a panic the ledger begins anew, as that of a new leader does. It
// reports false then.
func (k *suspectKeeper) guarded(decide func()) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.replica.guard("suspected requests", decide) {
		return true
	}
	k.ledger = nil
	return false
}

// follow begins anew in each term of leadership. The mutex must be held.
func (k *suspectKeeper) follow(leadership context.Context) {
	if k.ledger == nil || k.term != leadership {
		k.term = leadership
		k.ledger = quarantine.NewLedger(quarantine.Config{
			Crashes: k.settings.Crashes, SuspectTime: k.settings.SuspectTime, Time: k.settings.Time,
		})
	}
}

// run decides until the context ends.
func (k *suspectKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(suspectTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.heard:
			clock.Sleep(ctx, gatherSuspects)
		}
		leadership, leads := k.replica.leadershipContext()
		if leads && k.decide(ctx, leadership) > fewSuspects {
			clock.Sleep(ctx, manySuspectsPause)
		}
	}
}

// decide puts in force what the ledger decides, and returns the length of the list that it wrote.
func (k *suspectKeeper) decide(ctx, leadership context.Context) int {
	var put directory.PutSuspects
	var changed bool
	var events []quarantine.Event
	if !k.guarded(func() { put, changed, events = k.next(leadership) }) {
		clock.Sleep(ctx, shortestHoldOff)
		return 0
	}
	for _, event := range events {
		k.log(event)
	}
	if !changed {
		return 0
	}
	command := state.Command{Directory: &directory.Command{Suspects: &put}}
	if err := k.replica.ProposeDecided(ctx, leadership, command); err != nil {
		// The next look decides again on what is in force then.
		k.replica.log.WithError(err).Debug("suspected requests not written")
		return len(put.List)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.term == leadership && k.ledger != nil {
		k.ledger.Committed(put)
	}
	return len(put.List)
}

// next returns the suspects as they are to be, and whether the directory has others. The mutex must be
// held.
func (k *suspectKeeper) next(leadership context.Context) (directory.PutSuspects, bool, []quarantine.Event) {
	k.follow(leadership)
	now := k.replica.clock.Now()
	k.replica.view(func(view *state.State) { k.ledger.Adopt(now, view.Directory().Suspects()) })
	for _, id := range k.ledger.CrashedInstances() {
		if at, heard := k.replica.heartbeats.lastHeartbeat(leadership, id); heard {
			k.ledger.HandleHeartbeat(now, id, at)
		}
	}
	put, changed := k.ledger.Decide(now)
	return put, changed, k.ledger.Events()
}

func (k *suspectKeeper) log(event quarantine.Event) {
	k.decisions.WithLabelValues(string(event.Decision)).Inc()
	suspect := event.Suspect
	line := telemetry.With(k.replica.log, telemetry.EventQuarantine).WithField("decision", event.Decision).
		WithField(telemetry.FieldFingerprint, suspect.Fingerprint.String()).WithField(telemetry.FieldService, suspect.Service).
		WithField("crashed", suspect.Crashes).WithField("age_ms", event.Age.Milliseconds())
	level, text := logrus.InfoLevel, "request suspected of crashing its servers"
	switch event.Decision {
	case quarantine.Quarantined:
		level, text = logrus.WarnLevel, "request in quarantine: it is sent to no server"
		line = line.WithField("doubtful", suspect.Doubtful)
	case quarantine.Cleared:
		text = "request no longer suspected: a server answered it, or did not crash"
	case quarantine.Tried:
		text = "request in quarantine may be sent once"
		line = line.WithField("gateway", suspect.TrialBy).WithField("trial", suspect.Trials)
	case quarantine.Expired:
		text = "request no longer suspected: it did not come again"
	case quarantine.Evicted:
		text = "request no longer suspected: there are too many others"
	default:
	}
	line.Log(level, text)
}
