package quarantine

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// trialReportMargin is how long after the deadline of the waiting request the outcome of its trial may be
	// reported: a crash may be proved late, and the report may have to be repeated.
	trialReportMargin = confirmTimeout + 2*reportRetryInterval
	// maxAsksPerRequest limits the asks that are kept of each request; a further one replaces the one that waits
	// shortest.
	maxAsksPerRequest = 16
	// maxAmbiguousTrials limits the trials of a request whose crash may be due to another request: two requests that
	// crash instances and have the same key always meet.
	maxAmbiguousTrials = 1
	// maxCrashedTrials limits the trials with a crash that are remembered of each request.
	maxCrashedTrials = 4
)

// pendingAsk is an ask for a trial that was not granted yet.
type pendingAsk struct {
	number AskNumber
	// waitUntil is until when the request waits for the grant, and until its deadline.
	waitUntil, until time.Duration
}

// crashedTrial is a trial during which an instance crashed.
type crashedTrial struct {
	process  string
	ask      AskNumber
	instance directory.InstanceID
}

// decideProbation puts a request on probation: the processes send it only during trials, of which there is one at a
// time.
func (l *Ledger) decideProbation(now time.Duration, e *entry) {
	suspect := &e.suspect
	if !suspect.Probation && l.probationDue(e) {
		suspect.Probation = true
		l.recordEvent(now, OnProbation, e)
	}
	if !suspect.Probation || suspect.TrialBy != "" {
		return
	}
	if process, ask, found := e.takeAsk(now); found {
		l.grantTrial(now, e, process, ask.number, ask.until+trialReportMargin)
	}
}

// probationDue reports whether a request is to be put on probation: it was released, or crashed enough instances, or
// was in flight at crashes in one attempt less, at one instance or several. The latter does not count if as many
// instances crashed without it, as in a loss of power: hundreds of harmless requests are in flight then.
func (l *Ledger) probationDue(e *entry) bool {
	threshold := l.config.Crashes
	if e.suspect.Released || len(e.suspect.Crashes) >= threshold {
		return true
	}
	almost := len(e.suspect.Crashes) >= threshold-1 || len(e.lostAttempts) >= threshold-1
	reportedHere := len(e.lostAttempts) > 0
	return almost && reportedHere && !l.othersCrashedAsOften(e)
}

// grantTrial allows a process to send a request once.
func (l *Ledger) grantTrial(now time.Duration, e *entry, process string, ask AskNumber, until time.Duration) {
	e.suspect.Trials++
	e.suspect.TrialBy, e.suspect.TrialAsk, e.suspect.TrialMs = process, ask, uint32((until - now).Milliseconds())
	e.trialUntil = until
	l.recordEvent(now, Tried, e)
}

// handleAsk records an ask for a trial.
func (l *Ledger) handleAsk(now time.Duration, process string, ask Ask) {
	e, found := l.entries[ask.Fingerprint]
	if !found || e.suspect.Quarantined {
		return
	}
	if e.suspect.TrialBy == process {
		if e.suspect.TrialAsk == ask.Number {
			return
		}
		if e.trialCrashAt == 0 && e.lostTrial == nil && e.suspect.TrialAsk < ask.Number {
			// A process asks again only if it does not use its trial: it has restarted.
			l.recordTrialEnd(now, ProcessRestarted, e)
			e.endTrial()
		}
	}
	if e.asks[process].number > ask.Number {
		return
	}
	if e.asks == nil {
		e.asks = make(map[string]pendingAsk)
	}
	e.asks[process] = pendingAsk{
		number: ask.Number, waitUntil: now + milliseconds(ask.WaitMs), until: now + milliseconds(ask.RemainingMs),
	}
	e.dropShortestAsk()
}

// dropShortestAsk removes the ask that waits shortest if there are too many.
func (e *entry) dropShortestAsk() {
	if len(e.asks) <= maxAsksPerRequest {
		return
	}
	shortest := ""
	for process, pending := range e.asks {
		if shortest == "" || pending.waitUntil < e.asks[shortest].waitUntil {
			shortest = process
		}
	}
	delete(e.asks, shortest)
}

// endTrial frees the request for the next trial.
func (e *entry) endTrial() {
	e.suspect.TrialBy, e.suspect.TrialAsk, e.suspect.TrialMs, e.suspect.TrialLostAt = "", noAsk, 0, ""
	e.trialCrash, e.trialCrashAt, e.lostTrial = "", 0, nil
}

// takeAsk removes and returns the ask whose request waits longest from now on, and removes those whose request
// no longer waits.
func (e *entry) takeAsk(now time.Duration) (process string, ask pendingAsk, found bool) {
	for name, pending := range e.asks {
		if pending.waitUntil <= now {
			delete(e.asks, name)
			continue
		}
		if !found || pending.waitUntil > ask.waitUntil || pending.waitUntil == ask.waitUntil && name < process {
			process, ask, found = name, pending, true
		}
	}
	delete(e.asks, process)
	return process, ask, found
}

// handleTrialEnd frees a request for the next trial.
func (l *Ledger) handleTrialEnd(now time.Duration, process string, end TrialEnd) {
	e, found := l.entries[end.Fingerprint]
	if found && e.trialCrashAt == 0 && e.lostTrial == nil && e.suspect.IsTrial(process, end.Number) {
		l.recordTrialEnd(now, ReportedWithoutCrash, e)
		e.endTrial()
	}
}

// recordTrialCrash records a crash during a trial, of the current one or of one that an earlier leader granted.
func (e *entry) recordTrialCrash(now time.Duration, process string, crash Crash) {
	if e.suspect.Quarantined {
		if e.suspect.IsTrial(process, crash.TrialAsk) {
			e.suspect.Doubtful = false
			e.endTrial()
		}
		return
	}
	if crash.TrialAsk == noAsk {
		return
	}
	if len(e.crashedTrials) == maxCrashedTrials {
		e.crashedTrials = slices.Delete(e.crashedTrials, 0, 1)
	}
	e.crashedTrials = append(e.crashedTrials, crashedTrial{process: process, ask: crash.TrialAsk, instance: crash.Instance})
	e.findTrialCrash(now)
}

// findTrialCrash notes whether an instance crashed during the current trial. Until the leader has decided on it the
// trial stays in the directory, so that a next leader recognises the crash when it is reported again.
func (e *entry) findTrialCrash(now time.Duration) {
	if e.trialCrashAt > 0 {
		return
	}
	for _, crashed := range e.crashedTrials {
		if e.suspect.IsTrial(crashed.process, crashed.ask) {
			e.trialCrash, e.trialCrashAt = crashed.instance, now
			e.suspect.TrialLostAt = crashed.instance
		}
	}
}

// decideTrialCrash decides on a crash during a trial, once other processes have reported what else crashed and what
// else was in flight. The crash proves that the request causes the crashes, unless it may have another cause.
func (l *Ledger) decideTrialCrash(now time.Duration, e *entry) {
	if now-e.trialCrashAt < gracePeriod {
		return
	}
	enough := e.suspect.Released || e.reachedThreshold(l.config.Crashes)
	ambiguous := l.othersCrashedWith(e, e.trialCrash) ||
		e.ambiguousTrials < maxAmbiguousTrials && l.otherSuspectAt(e, e.trialCrash)
	caller, ofOneCaller := l.callerProved(e)
	switch {
	case ambiguous:
		e.ambiguousTrials++
		l.recordTrialEnd(now, AmbiguousCrash, e)
	case ofOneCaller:
		l.quarantineProved(now, caller, e.trialCrash)
	case enough:
		l.quarantineProved(now, e, e.trialCrash)
	default:
	}
	e.crashedTrials = nil
	e.endTrial()
}

// quarantineProved puts a request in quarantine that crashed an instance during a trial.
func (l *Ledger) quarantineProved(now time.Duration, e *entry, id directory.InstanceID) {
	e.suspect.Doubtful, e.provedBy = false, id
	l.quarantine(now, e)
}

// callerProved returns the suspect of the caller whose request was in flight at the crash during a trial of equal
// requests of any caller, if that caller met enough crashes by itself: others need not be kept from servers.
func (l *Ledger) callerProved(e *entry) (*entry, bool) {
	position := slices.Index(e.suspect.Crashes, e.trialCrash)
	if position < 0 || position >= len(e.suspect.Callers) {
		return nil, false
	}
	caller, found := l.entries[e.suspect.Callers[position]]
	if !found || caller == e || caller.suspect.Quarantined || len(caller.suspect.Crashes) < l.config.Crashes {
		return nil, false
	}
	return caller, true
}

// otherSuspectAt reports whether another request was in flight when an instance crashed that is on probation or in
// quarantine, and was in flight at another crash as well.
func (l *Ledger) otherSuspectAt(e *entry, id directory.InstanceID) bool {
	for _, other := range l.entries {
		suspect := other.suspect
		if !e.sameRequest(other) && suspect.NeedsTrial() && len(suspect.Crashes) > 1 && slices.Contains(suspect.Crashes, id) {
			return true
		}
	}
	return false
}

// sameRequest reports whether one of two suspects stands for the request of a caller, and the other one for equal
// requests of any caller.
func (e *entry) sameRequest(other *entry) bool {
	return e == other || slices.Contains(e.suspect.Callers, other.suspect.Fingerprint) ||
		slices.Contains(other.suspect.Callers, e.suspect.Fingerprint)
}

// othersCrashedWith reports whether, at about the time at which an instance crashed, several other instances of the
// service crashed without the request, as in a loss of power.
func (l *Ledger) othersCrashedWith(e *entry, id directory.InstanceID) bool {
	const several = 2
	crash := l.crashedInstances[id]
	others := 0
	for other, with := range l.crashedInstances {
		together := max(with.at-crash.at, crash.at-with.at) <= gracePeriod
		if other != id && together && with.service == crash.service && !e.wasAt(other) {
			others++
		}
	}
	return others >= several
}

// wasAt reports whether the request was in flight when an instance crashed.
func (e *entry) wasAt(id directory.InstanceID) bool {
	_, found := e.presentAt[id]
	return found || slices.Contains(e.suspect.Crashes, id)
}
