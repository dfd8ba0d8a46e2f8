package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// lostTrial is a trial that ended without an answer.
type lostTrial struct {
	process string
	// loss is the attempt as a crash, in case that its instance turns out to have crashed.
	loss Crash
	// at is when the attempt ended.
	at time.Duration
}

// crash returns the report of the trial's crash.
func (t *lostTrial) crash(now time.Duration) Crash {
	crash := t.loss
	crash.EndedAgoMs = uint32((now - t.at).Milliseconds())
	// The process that lost the trial numbers only the crashes that it reports itself.
	crash.Number = crash.TrialAsk
	return crash
}

// InstanceState is what the leader knows of an instance.
type InstanceState struct {
	// Ended is true if the process is known to have ended: another one has replaced it.
	Ended bool
	// Leaving is true if the instance has announced that it leaves, or has left.
	Leaving bool
	// LeaseExpired is true if the lease has certainly expired and was not renewed since.
	LeaseExpired bool
	// HeardAt is when the last heartbeat was received; zero if this leader has received none.
	HeardAt time.Duration
}

// handleLostTrial records that the current trial of a request ended without an answer.
func (l *Ledger) handleLostTrial(now time.Duration, process string, loss Crash) {
	for _, fingerprint := range []directory.Fingerprint{loss.Fingerprint, loss.OfAnyCaller} {
		e, found := l.entries[fingerprint]
		if !found || loss.TrialAsk == noAsk || e.trialCrashAt > 0 || !e.suspect.IsTrial(process, loss.TrialAsk) {
			continue
		}
		known := e.lostTrial != nil
		e.lostTrial = &lostTrial{process: process, loss: loss, at: now - milliseconds(loss.EndedAgoMs)}
		e.suspect.TrialLostAt = loss.Instance
		if !known {
			l.recordEvent(now, TrialLost, e)
		}
	}
}

// adoptLostTrial restores what the directory tells of a lost trial. The process that lost it may have ended.
func (e *entry) adoptLostTrial(now time.Duration) {
	suspect := &e.suspect
	if e.lostTrial != nil && suspect.IsTrial(e.lostTrial.process, e.lostTrial.loss.TrialAsk) {
		suspect.TrialLostAt = e.lostTrial.loss.Instance
		return
	}
	e.lostTrial = nil
	if suspect.TrialBy == "" || suspect.TrialLostAt == "" {
		return
	}
	e.lostTrial = &lostTrial{process: suspect.TrialBy, at: now, loss: Crash{
		Fingerprint: suspect.Fingerprint, Path: suspect.Path, Service: suspect.Service,
		Instance: suspect.TrialLostAt, TrialAsk: suspect.TrialAsk,
	}}
}

// AwaitedInstances returns the instances at which trials were lost, as long as it is not known whether they crashed.
func (l *Ledger) AwaitedInstances() []directory.InstanceID {
	var awaited []directory.InstanceID
	for _, e := range l.entries {
		if e.lostTrial != nil && e.trialCrashAt == 0 {
			awaited = append(awaited, e.lostTrial.loss.Instance)
		}
	}
	return awaited
}

// HandleInstance ends the trials that were lost at an instance, once its state tells whether it crashed.
func (l *Ledger) HandleInstance(now time.Duration, id directory.InstanceID, state InstanceState) {
	for _, fingerprint := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[fingerprint]
		if e.lostTrial != nil && e.trialCrashAt == 0 && e.lostTrial.loss.Instance == id {
			l.resolveLostTrial(now, e, state)
		}
	}
}

// resolveLostTrial decides by what the leader heard of the instance after the trial was lost. A heartbeat that was
// sent before may arrive late, so that heartbeats and the lack of them count only after lateHeartbeatMargin.
func (l *Ledger) resolveLostTrial(now time.Duration, e *entry, state InstanceState) {
	lost := e.lostTrial
	switch {
	case state.Ended:
		l.confirmTrialCrash(now, e)
	case state.HeardAt-lost.at > lateHeartbeatMargin:
		l.recordTrialEnd(now, InstanceAlive, e)
		e.endTrial()
	case now-lost.at <= lateHeartbeatMargin:
	case state.Leaving:
		l.recordTrialEnd(now, InstanceLeft, e)
		e.endTrial()
	case state.LeaseExpired:
		l.confirmTrialCrash(now, e)
	default:
	}
}

// confirmTrialCrash counts the lost trial as one under which its instance crashed.
func (l *Ledger) confirmTrialCrash(now time.Duration, e *entry) {
	l.handleCrash(now, e.lostTrial.process, e.lostTrial.crash(now))
	if e.trialCrashAt == 0 {
		// The request was answered since.
		l.recordTrialEnd(now, AmbiguousCrash, e)
		e.endTrial()
	}
}
