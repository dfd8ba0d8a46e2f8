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
	// suspectTick is the interval at which decisions about suspected requests are checked.
	suspectTick = 100 * time.Millisecond
	// suspectGatherDelay is how long a decision waits for further reports: the gateways that lost requests in
	// the same crash report it within a few milliseconds.
	suspectGatherDelay = 5 * time.Millisecond
	// maxUndelayedSuspects is the number of suspects up to which changes are not delayed, and
	// manySuspectsDelay the time between two changes of a longer list: each change sends the whole list to all
	// gateways, and the loss of a zone makes hundreds of suspects at once.
	maxUndelayedSuspects = 32
	manySuspectsDelay    = 250 * time.Millisecond
)

// suspectManager quarantines requests under which instances crash, while this replica leads. The decisions are
// made by quarantine.Ledger. It is safe for concurrent use.
type suspectManager struct {
	replica  *replica
	settings config.Quarantine
	// reported is signalled when there are reports to decide on.
	reported  chan struct{}
	decisions *prometheus.CounterVec
	mutex     sync.Mutex
	ledger    *quarantine.Ledger
	// leadership is the term of leadership for which ledger holds state.
	leadership context.Context
}

func newSuspectManager(settings config.Quarantine, r *replica) *suspectManager {
	return &suspectManager{
		replica: r, settings: settings, reported: make(chan struct{}, 1),
		decisions: r.metrics.registry.Counters("quarantine_decisions_total", "Decisions about requests under which instances crashed, by what was decided.", "decision"),
	}
}

// handleReport passes the report of a gateway to the ledger.
func (m *suspectManager) handleReport(leadership context.Context, gateway string, report quarantine.Report) {
	m.guarded(func() {
		m.startTermIfNew(leadership)
		m.ledger.HandleReport(m.replica.clock.Now(), gateway, report)
	})
	select {
	case m.reported <- struct{}{}:
	default:
	}
}

// guarded runs a part of a decision and reports false if it panicked. After a panic the ledger starts over
// like that of a new leader.
func (m *suspectManager) guarded(decide func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.replica.guard("suspected requests", decide) {
		return true
	}
	m.ledger = nil
	return false
}

// startTermIfNew replaces the ledger when the leadership term has changed or the ledger was dropped. The mutex
// must be held.
func (m *suspectManager) startTermIfNew(leadership context.Context) {
	if m.ledger == nil || m.leadership != leadership {
		m.leadership = leadership
		m.ledger = quarantine.NewLedger(quarantine.Config{
			Crashes: m.settings.Crashes, SuspectTime: m.settings.SuspectTime, Time: m.settings.Time,
		})
		// Reports are understood only beside the trials that an earlier leader granted.
		m.adopt(m.replica.clock.Now())
	}
}

// run decides on suspects until the context ends.
func (m *suspectManager) run(ctx context.Context) {
	ticker := time.NewTicker(suspectTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.reported:
			clock.Sleep(ctx, suspectGatherDelay)
		}
		leadership, leads := m.replica.leadershipContext()
		if leads && m.decide(ctx, leadership) > maxUndelayedSuspects {
			clock.Sleep(ctx, manySuspectsDelay)
		}
	}
}

// decide commits what the ledger decides and returns the length of the list that it wrote.
func (m *suspectManager) decide(ctx, leadership context.Context) int {
	var put directory.PutSuspects
	var changed bool
	var events []quarantine.Event
	answers := m.awaitedAnswers(ctx)
	if !m.guarded(func() { put, changed, events = m.decideLocked(leadership, answers) }) {
		clock.Sleep(ctx, minBackoff)
		return 0
	}
	for _, event := range events {
		m.log(event)
	}
	if !changed {
		return 0
	}
	command := state.Command{Directory: &directory.Command{Suspects: &put}}
	if err := m.replica.ProposeDecided(ctx, leadership, command); err != nil {
		// The next tick decides again from the state of that time.
		m.replica.log.WithError(err).Debug("change of suspected requests not applied")
		return len(put.List)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leadership == leadership && m.ledger != nil {
		m.ledger.Committed(put)
	}
	return len(put.List)
}

// decideLocked returns the suspects to write and whether they differ from the directory. Answers are those of
// awaitedAnswers. The mutex must be held.
func (m *suspectManager) decideLocked(leadership context.Context, answers serverAnswers) (directory.PutSuspects, bool, []quarantine.Event) {
	m.startTermIfNew(leadership)
	now := m.replica.clock.Now()
	m.adopt(now)
	for _, id := range m.ledger.CrashedInstances() {
		if heartbeatAt, heard := m.replica.heartbeats.lastHeartbeat(leadership, id); heard {
			m.ledger.HandleHeartbeat(now, id, heartbeatAt)
		}
	}
	for _, id := range m.ledger.AwaitedInstances() {
		m.ledger.HandleInstance(now, id, m.instanceState(leadership, id, answers))
	}
	put, changed := m.ledger.Decide(now)
	return put, changed, m.ledger.Events()
}

// adopt merges the suspects of the directory into the ledger. The mutex must be held.
func (m *suspectManager) adopt(now time.Duration) {
	m.replica.view(func(view *state.State) { m.ledger.Adopt(now, view.Directory().Suspects()) })
}

func (m *suspectManager) log(event quarantine.Event) {
	m.decisions.WithLabelValues(string(event.Decision)).Inc()
	suspect := event.Suspect
	entry := telemetry.With(m.replica.log, telemetry.EventQuarantine).WithField("decision", event.Decision).
		WithField(telemetry.FieldFingerprint, suspect.Fingerprint.String()).WithField(telemetry.FieldService, suspect.Service).
		WithField("crashed", suspect.Crashes).WithField("age_ms", event.Age.Milliseconds())
	level, text := logrus.InfoLevel, "request suspected of crashing its servers"
	switch event.Decision {
	case quarantine.Quarantined:
		level, text = logrus.WarnLevel, "request quarantined: it is no longer sent to any server"
		entry = entry.WithField("doubtful", suspect.Doubtful)
	case quarantine.Cleared:
		text = "request cleared: a server answered it or did not crash"
	case quarantine.OnProbation:
		text = "request on probation: it is sent one attempt at a time"
	case quarantine.Tried:
		text = "suspected request may be sent once as a trial"
		entry = entry.WithField("gateway", suspect.TrialBy).WithField("trial", suspect.Trials)
	case quarantine.TrialLost:
		text = "trial of a suspected request was lost: its server may have crashed"
		entry = entry.WithField("gateway", suspect.TrialBy).WithField("trial", suspect.Trials).
			WithField(telemetry.FieldServer, suspect.TrialLostAt)
	case quarantine.TrialEnded:
		text = "trial of a suspected request is over; the request stays on probation"
		entry = entry.WithField("gateway", suspect.TrialBy).WithField("trial", suspect.Trials).WithField("reason", event.Reason)
	case quarantine.Expired:
		text = "request no longer suspected: it was not seen again"
	case quarantine.Evicted:
		text = "request no longer suspected: evicted by too many other suspects"
	default:
	}
	entry.Log(level, text)
}
