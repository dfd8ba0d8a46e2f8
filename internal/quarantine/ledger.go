package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Config holds the limits for the leader's decisions.
type Config struct {
	// Crashes is the number of instances after whose crashes a request is put in quarantine.
	Crashes int
	// SuspectTime is how long a request stays suspected after its last crash was reported, and Time how long
	// it stays in quarantine after it was last seen.
	SuspectTime, Time time.Duration
}

const (
	// gracePeriod is how long the leader waits after the crash that decides: a request that many clients send was
	// in flight at other instances, too, and an answer there clears it, and other processes report what else was in
	// flight at the crash.
	gracePeriod = 750 * time.Millisecond
	// doubtfulGracePeriod replaces gracePeriod for a request that was in flight at several instances which
	// crashed together. A request that crashes every instance does so one after the other; instances that
	// crash together have more likely lost power, and nothing is answered before the first of them is back.
	doubtfulGracePeriod = 2 * time.Second
	// maxSuspects limits the suspected requests, maxQuarantined those in quarantine, and maxCrashesPerRequest
	// the crashes that are kept of each.
	maxSuspects          = 256
	maxQuarantined       = 256
	maxCrashesPerRequest = 8
	// maxShortAttempt is the longest attempt that counts beside others at the same crash: many long polls for the
	// same thing are in flight at any time.
	maxShortAttempt = 5 * time.Second
	// maxPresentAt limits the instances that are kept of each request to tell which crashed without it.
	maxPresentAt = 64
	// maxTrials limits the trials of a doubtful request, since each may crash an instance. The first trial is
	// allowed at once, the next one nextTrialDelay after the request was put in quarantine.
	maxTrials      = 2
	nextTrialDelay = 30 * time.Second
	// trialTimeout is how long a process may use a trial for which it did not ask.
	trialTimeout = 20 * time.Second
	// maxRejectionAge is how recently a process must have rejected a request to be given a trial of it.
	maxRejectionAge = 10 * time.Second
	// crashedInstanceRetention is how long crashed instances are remembered.
	crashedInstanceRetention = 2 * time.Minute
	// lateHeartbeatMargin is how long after the reported crash a heartbeat must arrive to prove that the
	// instance did not crash: one sent before the crash may arrive seconds late.
	lateHeartbeatMargin = 5 * time.Second
	// answerRetention is how long answers are remembered, so that crashes before them that are reported later
	// do not count.
	answerRetention = time.Minute
)

// Ledger counts the crashes of requests over all gateways and routers, and decides which requests are put
// in quarantine. It runs in the leading controller; its decisions take effect once they are in the
// replicated directory.
type Ledger struct {
	config  Config
	entries map[directory.Fingerprint]*entry
	// committed are the suspects of the directory as far as known here, with the revision at which they were
	// last adopted.
	committed directory.Suspects
	// crashedInstances are the instances that crashed recently, and answeredAt has the time of the last answer
	// of each request that was answered recently.
	crashedInstances map[directory.InstanceID]instanceCrash
	answeredAt       map[directory.Fingerprint]time.Duration
	events           []Event
}

// entry is the leader's state of one request.
type entry struct {
	suspect directory.Suspect
	// attempts are the attempts ended by crashes, one for each instance, as far as they were reported to this
	// leader. lostAttempts has all attempts that were in flight at crashes, also several at the same instance.
	attempts     []interval
	lostAttempts map[lostAttempt]struct{}
	// presentAt has the instances at whose crashes it was in flight, also those that were not counted.
	presentAt map[directory.InstanceID]struct{}
	// suspectedAt is the time of its first crash, lastCrashAt when its last crash was reported, and
	// thresholdAt when its crashes reached the threshold for a quarantine.
	suspectedAt, lastCrashAt, thresholdAt time.Duration
	// quarantinedAt is when it was put in quarantine, and seenAt when it was last seen, with seenBy the process
	// that last rejected it.
	quarantinedAt, seenAt time.Duration
	seenBy                string
	// trialUntil is when the current trial is over, whether or not its end was reported.
	trialUntil time.Duration
	// asks are the asks for a trial, by process.
	asks map[string]pendingAsk
	// crashedTrials are the trials during which an instance crashed, as far as they were reported to this leader.
	crashedTrials []crashedTrial
	// trialCrash is the instance that crashed during the current trial, and trialCrashAt when that was reported; zero
	// for none. ambiguousTrials counts the trials whose crash may have another cause.
	trialCrash      directory.InstanceID
	trialCrashAt    time.Duration
	ambiguousTrials int
	// lostTrial is the current trial if it ended without an answer and it is not known whether its instance
	// crashed; nil otherwise.
	lostTrial *lostTrial
	// provedBy is the instance whose crash during a trial put the request in quarantine; empty if that is not known.
	provedBy directory.InstanceID
	// trialsBefore is the number of trials before the request was put in quarantine.
	trialsBefore int
	// proposed are the records that this ledger decided to write last.
	proposed []directory.Suspect
	// reportedByEarlierVersion is true if a process of an earlier version, which needs no trials to send, reported a crash.
	reportedByEarlierVersion bool
}

// lostAttempt identifies an attempt that was in flight at a crash: by its process and number, or by its caller if the
// entry stands for requests of any caller.
type lostAttempt struct {
	process string
	number  uint64
	caller  directory.Fingerprint
}

// interval is the time during which an attempt was in flight.
type interval struct{ began, ended time.Duration }

// overlaps reports whether two attempts were in flight together for at least half of the shorter one. Any
// overlap is not enough: reports are delayed, so that consecutive attempts may appear to overlap.
func (i interval) overlaps(other interval) bool {
	together := min(i.ended, other.ended) - max(i.began, other.began)
	return together > 0 && together >= min(i.ended-i.began, other.ended-other.began)/2
}

type instanceCrash struct {
	service string
	at      time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config: config, entries: make(map[directory.Fingerprint]*entry),
		crashedInstances: make(map[directory.InstanceID]instanceCrash),
		answeredAt:       make(map[directory.Fingerprint]time.Duration),
	}
}

// HandleReport handles the report of a gateway or router.
func (l *Ledger) HandleReport(now time.Duration, process string, report Report) {
	for _, answered := range report.Answered {
		l.handleAnswer(now, now-milliseconds(answered.AgoMs), answered.Fingerprint)
	}
	for _, crash := range report.Crashes {
		l.handleCrash(now, process, crash)
	}
	for _, lost := range report.LostTrials {
		l.handleLostTrial(now, process, lost)
	}
	for _, end := range report.TrialEnds {
		l.handleTrialEnd(now, process, end)
	}
	for _, fingerprint := range report.Rejected {
		if e, found := l.entries[fingerprint]; found {
			e.seenAt, e.seenBy = now, process
		}
	}
	for _, ask := range report.Asks {
		l.handleAsk(now, process, ask)
	}
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// handleAnswer clears a request that an instance answered: it does not crash every instance.
func (l *Ledger) handleAnswer(now, at time.Duration, fingerprint directory.Fingerprint) {
	l.answeredAt[fingerprint] = max(at, l.answeredAt[fingerprint])
	e, found := l.entries[fingerprint]
	if !found || at < e.suspectedAt {
		// An answer before the crashes may be reported again to the next leader.
		return
	}
	delete(l.entries, fingerprint)
	l.recordEvent(now, Cleared, e)
}

// handleCrash counts a crash for the caller's request and for equal requests of any caller.
func (l *Ledger) handleCrash(now time.Duration, process string, crash Crash) {
	l.crashedInstances[crash.Instance] = instanceCrash{service: crash.Service, at: now - milliseconds(crash.EndedAgoMs)}
	l.countCrash(now, process, crash, crash.Fingerprint)
	if crash.OfAnyCaller != 0 {
		l.countCrash(now, process, crash, crash.OfAnyCaller)
	}
}

// countCrash counts a crash for one of the request's fingerprints. For requests of any caller each caller counts
// once, except during trials: what crashes instances may be something else that only this caller sends.
func (l *Ledger) countCrash(now time.Duration, process string, crash Crash, fingerprint directory.Fingerprint) {
	ended := now - milliseconds(crash.EndedAgoMs)
	if answeredAt, found := l.answeredAt[fingerprint]; found && ended <= answeredAt {
		return
	}
	e, found := l.entries[fingerprint]
	if !found {
		e = &entry{
			suspect:     directory.Suspect{Fingerprint: fingerprint, Path: crash.Path, Service: crash.Service},
			suspectedAt: ended, seenAt: now,
		}
		l.entries[fingerprint] = e
	}
	defer e.recordTrialCrash(now, process, crash)
	e.addPresentAt(crash.Instance)
	e.reportedByEarlierVersion = e.reportedByEarlierVersion || crash.Number == 0
	if milliseconds(crash.TookMs) <= maxShortAttempt {
		e.addLostAttempt(lostAttemptOf(process, crash, fingerprint))
	}
	if slices.Contains(e.suspect.Crashes, crash.Instance) {
		return
	}
	if slices.Contains(e.suspect.Callers, crash.Fingerprint) && !e.suspect.IsTrial(process, crash.TrialAsk) {
		return
	}
	if fingerprint != crash.Fingerprint && len(e.suspect.Crashes) < maxCrashesPerRequest {
		e.addCaller(crash.Fingerprint)
	}
	before := e.reachedThreshold(l.config.Crashes)
	e.addCrash(now, crash.Instance, interval{ended - milliseconds(crash.TookMs), ended})
	if !before && e.reachedThreshold(l.config.Crashes) {
		e.thresholdAt = now
	}
	l.recordEvent(now, Suspected, e)
}

func (e *entry) addPresentAt(id directory.InstanceID) {
	if e.presentAt == nil {
		e.presentAt = make(map[directory.InstanceID]struct{})
	}
	if len(e.presentAt) < maxPresentAt {
		e.presentAt[id] = struct{}{}
	}
}

// addCaller records the caller of the crash that is counted next. Crashes under anonymous requests have none.
func (e *entry) addCaller(caller directory.Fingerprint) {
	callers := slices.Clone(e.suspect.Callers)
	for len(callers) < len(e.suspect.Crashes) {
		callers = append(callers, 0)
	}
	e.suspect.Callers = append(callers, caller)
}

// lostAttemptOf identifies the attempt of a crash for one of the request's fingerprints.
func lostAttemptOf(process string, crash Crash, fingerprint directory.Fingerprint) lostAttempt {
	if fingerprint == crash.Fingerprint {
		return lostAttempt{process: process, number: crash.Number}
	}
	return lostAttempt{caller: crash.Fingerprint}
}

func (e *entry) addLostAttempt(attempt lostAttempt) {
	if e.lostAttempts == nil {
		e.lostAttempts = make(map[lostAttempt]struct{})
	}
	if len(e.lostAttempts) < maxCrashesPerRequest {
		e.lostAttempts[attempt] = struct{}{}
	}
}

// addCrash adds a crash to an entry.
func (e *entry) addCrash(now time.Duration, id directory.InstanceID, attempt interval) {
	e.lastCrashAt, e.seenAt = now, now
	if len(e.suspect.Crashes) < maxCrashesPerRequest {
		e.suspect.Crashes = append(slices.Clone(e.suspect.Crashes), id)
	}
	for _, earlier := range e.attempts {
		if earlier.overlaps(attempt) {
			e.suspect.Doubtful = true
		}
	}
	if len(e.attempts) < maxCrashesPerRequest {
		e.attempts = append(e.attempts, attempt)
	}
}

// gracePeriod is how long to wait for an answer before the request is put in quarantine.
func (e *entry) gracePeriod() time.Duration {
	if e.suspect.Doubtful {
		return doubtfulGracePeriod
	}
	return gracePeriod
}

// reachedThreshold reports whether there are enough crashes for a quarantine. One reported crash is
// enough after an operator released the request.
func (e *entry) reachedThreshold(threshold int) bool {
	if e.suspect.Released {
		return len(e.attempts) > 0
	}
	return len(e.suspect.Crashes) >= threshold
}

// CrashedInstances returns the instances that crashed recently according to the reports.
func (l *Ledger) CrashedInstances() []directory.InstanceID {
	ids := make([]directory.InstanceID, 0, len(l.crashedInstances))
	for id := range l.crashedInstances {
		ids = append(ids, id)
	}
	return ids
}

// HandleHeartbeat takes the time of an instance's last heartbeat. An instance that is alive did not crash;
// a gateway's connections may have been refused by a proxy or another device between the two.
func (l *Ledger) HandleHeartbeat(now time.Duration, id directory.InstanceID, at time.Duration) {
	crash, found := l.crashedInstances[id]
	if !found || at-crash.at <= lateHeartbeatMargin {
		return
	}
	delete(l.crashedInstances, id)
	for fingerprint, e := range l.entries {
		position := slices.Index(e.suspect.Crashes, id)
		if position < 0 {
			continue
		}
		e.suspect.Crashes = slices.Delete(slices.Clone(e.suspect.Crashes), position, position+1)
		if position < len(e.suspect.Callers) {
			e.suspect.Callers = slices.Delete(slices.Clone(e.suspect.Callers), position, position+1)
		}
		e.suspect.Probation = e.suspect.Released || len(e.suspect.Crashes) >= l.config.Crashes-1
		clear(e.lostAttempts)
		if len(e.suspect.Crashes) == 0 {
			delete(l.entries, fingerprint)
			l.recordEvent(now, Cleared, e)
			continue
		}
		disproved := e.provedBy == id || !e.reachedThreshold(l.config.Crashes)
		if e.suspect.Quarantined && disproved {
			e.suspect.Quarantined = false
			e.endTrial()
			l.recordEvent(now, Cleared, e)
		}
	}
}

// Decide returns the list of suspects to be written, and whether it differs from the directory's.
func (l *Ledger) Decide(now time.Duration) (directory.PutSuspects, bool) {
	l.expire(now)
	// In a fixed order, since a decision on one request looks at the others.
	for _, fingerprint := range slices.Sorted(maps.Keys(l.entries)) {
		l.decide(now, l.entries[fingerprint])
	}
	l.evict(now)
	list := make([]directory.Suspect, 0, len(l.entries))
	for _, e := range l.entries {
		e.propose()
		list = append(list, e.suspect)
	}
	slices.SortFunc(list, func(a, b directory.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return directory.PutSuspects{List: list, Follows: l.committed.Revision}, !directory.SameSuspects(list, l.committed.List)
}

// propose records the entry's suspect as one to be written. A list that is applied after its proposal was given up
// must not be taken for a change by an operator.
func (e *entry) propose() {
	if slices.ContainsFunc(e.proposed, e.suspect.Same) {
		return
	}
	const kept = 4
	if len(e.proposed) == kept {
		e.proposed = e.proposed[1:]
	}
	e.proposed = append(slices.Clone(e.proposed), e.suspect)
}

func (l *Ledger) decide(now time.Duration, e *entry) {
	suspect := &e.suspect
	switch {
	case e.trialCrashAt > 0:
		l.decideTrialCrash(now, e)
	case e.lostTrial != nil:
		// HandleInstance ends the trial.
	case suspect.TrialBy != "" && now >= e.trialUntil:
		l.recordTrialEnd(now, ProcessSilent, e)
		e.endTrial()
	case l.quarantineDueWithoutTrial(now, e):
		suspect.Doubtful = suspect.Doubtful || l.othersCrashedAsOften(e)
		l.quarantine(now, e)
	case e.trialDue(now):
		l.grantTrial(now, e, e.seenBy, noAsk, now+trialTimeout)
	case !suspect.Quarantined:
		l.decideProbation(now, e)
	default:
	}
}

// quarantine puts a request in quarantine.
func (l *Ledger) quarantine(now time.Duration, e *entry) {
	suspect := &e.suspect
	suspect.Quarantined, suspect.Released, suspect.Probation = true, false, false
	e.endTrial()
	e.quarantinedAt, e.seenAt, e.trialsBefore = now, now, suspect.Trials
	l.recordEvent(now, Quarantined, e)
}

// quarantineDueWithoutTrial reports whether a request that processes of an earlier version send freely is to be put
// in quarantine: it has enough crashes, and an answer would have arrived by now.
func (l *Ledger) quarantineDueWithoutTrial(now time.Duration, e *entry) bool {
	return !e.suspect.Quarantined && e.reportedByEarlierVersion && e.suspect.TrialBy == "" &&
		e.reachedThreshold(l.config.Crashes) && now-e.thresholdAt >= e.gracePeriod()
}

// trialDue reports whether a process is to be given a trial of a request in quarantine.
func (e *entry) trialDue(now time.Duration) bool {
	suspect := e.suspect
	if !suspect.Quarantined || !suspect.Doubtful || suspect.TrialBy != "" {
		return false
	}
	trials := suspect.Trials - e.trialsBefore
	if trials >= maxTrials {
		return false
	}
	due := trials == 0 || now-e.quarantinedAt >= nextTrialDelay
	return due && e.seenBy != "" && now-e.seenAt <= maxRejectionAge
}

// othersCrashedAsOften reports whether, since the request became suspected, at least as many instances of
// the service crashed without the request in flight as with it.
func (l *Ledger) othersCrashedAsOften(e *entry) bool {
	others := 0
	for id, crash := range l.crashedInstances {
		if crash.service == e.suspect.Service && crash.at >= e.suspectedAt-gracePeriod && !e.wasAt(id) {
			others++
		}
	}
	return others >= len(e.suspect.Crashes)
}
