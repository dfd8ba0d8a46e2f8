package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Config bounds what the leader decides.
type Config struct {
	// Crashes is the number of instances after whose crashes a request is put in quarantine.
	Crashes int
	// SuspectTime is how long after a crash a request stays suspected, and Time how long it stays in
	// quarantine after it came last.
	SuspectTime, Time time.Duration
}

const (
	// grace is how long after the last crash that puts a request in quarantine an answer of it is
	// waited for: a request that many callers' machines send was in flight elsewhere, too.
	grace = 750 * time.Millisecond
	// doubtfulGrace is the same for a request that was in flight at several instances when these crashed
	// together: one that takes down an instance each time does so one by one, and if all have lost
	// power nothing is answered before the first is back.
	doubtfulGrace = 2 * time.Second
	// mostSuspects bounds the suspected requests, mostQuarantined those in quarantine, and mostCrashes
	// the crashes that are remembered of each.
	mostSuspects    = 256
	mostQuarantined = 256
	mostCrashes     = 8
	// mostTrials bounds the trials of a doubtful request, each of which may take down an instance. The
	// first one comes at once, the next after nextTrial, counted from its quarantine.
	mostTrials = 2
	nextTrial  = 30 * time.Second
	// trialTime is how long a process that may try a request has for it.
	trialTime = 20 * time.Second
	// rejectedLately is how long ago a process rejected a request at most that it may try.
	rejectedLately = 10 * time.Second
	// endsRemembered is how long instances that crashed are remembered.
	endsRemembered = 2 * time.Minute
	// aliveAfter is how long after its crash a heartbeat shows that an instance did not crash: one that
	// it sent before may come seconds late.
	aliveAfter = 5 * time.Second
	// answersRemembered is how long answers are remembered, for crashes before them that are told
	// later.
	answersRemembered = time.Minute
)

// Ledger counts the crashes of requests over all gateways, and decides which are put in quarantine.
// It belongs to the leading controller; what it decided is in force once it is in the replicated
// directory.
type Ledger struct {
	config  Config
	entries map[directory.Fingerprint]*entry
	// committed are the suspects of the directory, at a revision.
	committed directory.Suspects
	// ends are the instances that crashed lately, and answers the requests that were answered.
	ends    map[directory.InstanceID]instanceEnd
	answers map[directory.Fingerprint]time.Duration
	events  []Event
}

// entry is what the leader knows of a request.
type entry struct {
	suspect directory.Suspect
	// attempts are those that crashes ended, as far as this leader heard of them.
	attempts []span
	// suspectedAt is when its first crash was heard of, lastCrashAt when its last one was, and
	// enoughAt when there were enough for a quarantine.
	suspectedAt, lastCrashAt, enoughAt time.Duration
	// quarantinedAt is when it was put in quarantine, and seenAt when it came last, at seenBy.
	quarantinedAt, seenAt time.Duration
	seenBy                string
	trialUntil            time.Duration
}

// span is a time during which an attempt was in flight.
type span struct{ began, ended time.Duration }

// overlaps reports whether two attempts were in flight together for half of the shorter one at least.
// Reports take their time, so that attempts that followed each other may seem to have met.
func (s span) overlaps(other span) bool {
	together := min(s.ended, other.ended) - max(s.began, other.began)
	return together > 0 && together >= min(s.ended-s.began, other.ended-other.began)/2
}

type instanceEnd struct {
	service string
	at      time.Duration
}

// NewLedger returns a ledger that knows of no request.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config: config, entries: make(map[directory.Fingerprint]*entry),
		ends: make(map[directory.InstanceID]instanceEnd), answers: make(map[directory.Fingerprint]time.Duration),
	}
}

// Committed takes that the suspects of a decision are in force.
func (l *Ledger) Committed(put directory.PutSuspects) { l.committed.List = put.List }

// Adopt takes the suspects of the directory where others than this ledger changed them: an earlier
// leader, or an operator.
func (l *Ledger) Adopt(now time.Duration, current directory.Suspects) {
	own := make(map[directory.Fingerprint]directory.Suspect, len(l.committed.List))
	for _, suspect := range l.committed.List {
		own[suspect.Fingerprint] = suspect
	}
	for _, suspect := range current.List {
		if committed, found := own[suspect.Fingerprint]; found && committed.Same(suspect) {
			continue
		}
		if known, found := l.entries[suspect.Fingerprint]; found {
			known.adopt(now, suspect)
			continue
		}
		l.entries[suspect.Fingerprint] = adopted(now, suspect)
	}
	l.committed = current
}

// adopted returns an entry for a suspect of an earlier leader. Times count from now on: until when
// they ran is not known.
func adopted(now time.Duration, suspect directory.Suspect) *entry {
	return &entry{suspect: suspect, suspectedAt: now, lastCrashAt: now, enoughAt: now, quarantinedAt: now, seenAt: now}
}

// adopt joins what the directory has of a request with what gateways told this leader.
func (e *entry) adopt(now time.Duration, suspect directory.Suspect) {
	if suspect.Released && !e.suspect.Released {
		// What was told before concerns the quarantine that ended.
		*e = *adopted(now, suspect)
		return
	}
	for _, id := range e.suspect.Crashes {
		if !slices.Contains(suspect.Crashes, id) {
			suspect.Crashes = append(slices.Clone(suspect.Crashes), id)
		}
	}
	suspect.Quarantined = suspect.Quarantined || e.suspect.Quarantined
	e.suspect = suspect
}

// HandleReport takes the report of a gateway or router.
func (l *Ledger) HandleReport(now time.Duration, process string, report Report) {
	for _, answered := range report.Answered {
		l.answered(now, now-milliseconds(answered.AgoMs), answered.Fingerprint)
	}
	for _, crash := range report.Crashes {
		l.crashed(now, crash)
	}
	for _, fingerprint := range report.Rejected {
		if known, found := l.entries[fingerprint]; found {
			known.seenAt, known.seenBy = now, process
		}
	}
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

// answered takes that an instance answered a request: it does not crash all that run it.
func (l *Ledger) answered(now, at time.Duration, fingerprint directory.Fingerprint) {
	l.answers[fingerprint] = max(at, l.answers[fingerprint])
	known, found := l.entries[fingerprint]
	if !found {
		return
	}
	delete(l.entries, fingerprint)
	l.tell(now, Cleared, known)
}

func (l *Ledger) crashed(now time.Duration, crash Crash) {
	ended := now - milliseconds(crash.EndedAgoMs)
	l.ends[crash.Instance] = instanceEnd{service: crash.Service, at: ended}
	if answeredAt, found := l.answers[crash.Fingerprint]; found && ended <= answeredAt {
		return
	}
	known, found := l.entries[crash.Fingerprint]
	if !found {
		known = &entry{
			suspect:     directory.Suspect{Fingerprint: crash.Fingerprint, Path: crash.Path, Service: crash.Service},
			suspectedAt: ended, seenAt: now,
		}
		l.entries[crash.Fingerprint] = known
	}
	if slices.Contains(known.suspect.Crashes, crash.Instance) {
		return
	}
	before := known.enough(l.config.Crashes)
	known.crash(now, crash.Instance, span{ended - milliseconds(crash.TookMs), ended})
	if !before && known.enough(l.config.Crashes) {
		known.enoughAt = now
	}
	l.tell(now, Suspected, known)
}

// crash adds a crash to an entry. One during a trial tells that the request is to blame.
func (e *entry) crash(now time.Duration, id directory.InstanceID, attempt span) {
	e.lastCrashAt, e.seenAt = now, now
	if len(e.suspect.Crashes) < mostCrashes {
		e.suspect.Crashes = append(slices.Clone(e.suspect.Crashes), id)
	}
	for _, earlier := range e.attempts {
		if earlier.overlaps(attempt) {
			e.suspect.Doubtful = true
		}
	}
	if len(e.attempts) < mostCrashes {
		e.attempts = append(e.attempts, attempt)
	}
	if e.suspect.Quarantined && e.suspect.TrialBy != "" {
		e.suspect.Doubtful, e.suspect.TrialBy = false, ""
	}
}

// grace is how long an answer is waited for before the request goes into quarantine.
func (e *entry) grace() time.Duration {
	if e.suspect.Doubtful {
		return doubtfulGrace
	}
	return grace
}

// enough reports whether a request goes into quarantine.
func (e *entry) enough(crashes int) bool {
	if e.suspect.Released {
		return len(e.attempts) > 0
	}
	return len(e.suspect.Crashes) >= crashes
}

// CrashedInstances returns the instances that crashed lately, as gateways told.
func (l *Ledger) CrashedInstances() []directory.InstanceID {
	ids := make([]directory.InstanceID, 0, len(l.ends))
	for id := range l.ends {
		ids = append(ids, id)
	}
	return ids
}

// HandleHeartbeat takes when a heartbeat of an instance came last. One that is alive did not crash: a gateway
// may have been refused connections by what stands between the two.
func (l *Ledger) HandleHeartbeat(now time.Duration, id directory.InstanceID, at time.Duration) {
	end, found := l.ends[id]
	if !found || at-end.at <= aliveAfter {
		return
	}
	delete(l.ends, id)
	for fingerprint, known := range l.entries {
		position := slices.Index(known.suspect.Crashes, id)
		if position < 0 {
			continue
		}
		known.suspect.Crashes = slices.Delete(slices.Clone(known.suspect.Crashes), position, position+1)
		if len(known.suspect.Crashes) == 0 {
			delete(l.entries, fingerprint)
			l.tell(now, Cleared, known)
			continue
		}
		if known.suspect.Quarantined && !known.enough(l.config.Crashes) {
			known.suspect.Quarantined, known.suspect.TrialBy = false, ""
			l.tell(now, Cleared, known)
		}
	}
}

// Decide returns the suspects as they are to be, and whether the directory has others.
func (l *Ledger) Decide(now time.Duration) (directory.PutSuspects, bool) {
	l.expire(now)
	for _, known := range l.entries {
		l.decide(now, known)
	}
	l.evict(now)
	list := make([]directory.Suspect, 0, len(l.entries))
	for _, known := range l.entries {
		list = append(list, known.suspect)
	}
	slices.SortFunc(list, func(a, b directory.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return directory.PutSuspects{List: list, Follows: l.committed.Revision}, !directory.SameSuspects(list, l.committed.List)
}

func (l *Ledger) decide(now time.Duration, known *entry) {
	suspect := &known.suspect
	switch {
	case !suspect.Quarantined && known.enough(l.config.Crashes) && now-known.enoughAt >= known.grace():
		suspect.Quarantined, suspect.Released = true, false
		suspect.Doubtful = suspect.Doubtful || l.othersCrashed(known)
		known.quarantinedAt, known.seenAt = now, now
		l.tell(now, Quarantined, known)
	case suspect.TrialBy != "" && now >= known.trialUntil:
		suspect.TrialBy = ""
	case known.mayBeTried(now):
		suspect.Trials++
		suspect.TrialBy = known.seenBy
		known.trialUntil = now + trialTime
		l.tell(now, Tried, known)
	default:
	}
}

// mayBeTried reports whether a process is to send a request in quarantine once.
func (e *entry) mayBeTried(now time.Duration) bool {
	suspect := e.suspect
	if !suspect.Quarantined || !suspect.Doubtful || suspect.TrialBy != "" || suspect.Trials >= mostTrials {
		return false
	}
	due := suspect.Trials == 0 || now-e.quarantinedAt >= nextTrial
	return due && e.seenBy != "" && now-e.seenAt <= rejectedLately
}

// othersCrashed reports whether as many instances of the service crashed without the request in
// flight as with it, since it is suspected.
func (l *Ledger) othersCrashed(known *entry) bool {
	others := 0
	for id, end := range l.ends {
		if end.service == known.suspect.Service && end.at >= known.suspectedAt-grace && !slices.Contains(known.suspect.Crashes, id) {
			others++
		}
	}
	return others >= len(known.suspect.Crashes)
}

// expire forgets what is old.
func (l *Ledger) expire(now time.Duration) {
	for fingerprint, known := range l.entries {
		if !known.suspect.Quarantined && now-known.lastCrashAt > l.config.SuspectTime || known.suspect.Quarantined && now-known.seenAt > l.config.Time {
			delete(l.entries, fingerprint)
			l.tell(now, Expired, known)
		}
	}
	for id, end := range l.ends {
		if now-end.at > endsRemembered {
			delete(l.ends, id)
		}
	}
	for fingerprint, at := range l.answers {
		if now-at > answersRemembered {
			delete(l.answers, fingerprint)
		}
	}
}

// evict bounds the entries, those in quarantine apart from the others: many requests that are only
// suspected must not end a quarantine.
func (l *Ledger) evict(now time.Duration) {
	var suspected, quarantined []*entry
	for _, known := range l.entries {
		if known.suspect.Quarantined {
			quarantined = append(quarantined, known)
		} else {
			suspected = append(suspected, known)
		}
	}
	l.evictBeyond(now, mostSuspects, suspected)
	l.evictBeyond(now, mostQuarantined, quarantined)
}

// evictBeyond forgets the entries beyond a bound: first those that had the fewest crashes, then those
// that came the longest time ago.
func (l *Ledger) evictBeyond(now time.Duration, bound int, entries []*entry) {
	if len(entries) <= bound {
		return
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.suspect.Crashes), len(b.suspect.Crashes)), cmp.Compare(a.seenAt, b.seenAt),
			cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint))
	})
	for _, known := range entries[:len(entries)-bound] {
		delete(l.entries, known.suspect.Fingerprint)
		l.tell(now, Evicted, known)
	}
}
