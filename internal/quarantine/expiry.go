package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// expire removes entries, crashed instances and answers that are too old.
func (l *Ledger) expire(now time.Duration) {
	for fingerprint, e := range l.entries {
		if !e.suspect.Quarantined && e.lostTrial == nil && now-e.lastCrashAt > l.config.SuspectTime ||
			e.suspect.Quarantined && now-e.seenAt > l.config.Time {
			delete(l.entries, fingerprint)
			l.recordEvent(now, Expired, e)
		}
	}
	for id, crash := range l.crashedInstances {
		if now-crash.at > crashedInstanceRetention {
			delete(l.crashedInstances, id)
		}
	}
	for fingerprint, at := range l.answeredAt {
		if now-at > answerRetention {
			delete(l.answeredAt, fingerprint)
		}
	}
}

// evict limits the number of entries. Those in quarantine have their own limit, so that many requests that
// are only suspected cannot end a quarantine.
func (l *Ledger) evict(now time.Duration) {
	var suspected, quarantined []*entry
	for _, e := range l.entries {
		if e.suspect.Quarantined {
			quarantined = append(quarantined, e)
		} else {
			suspected = append(suspected, e)
		}
	}
	l.evictExcess(now, maxSuspects, suspected)
	l.evictExcess(now, maxQuarantined, quarantined)
}

// evictExcess removes entries beyond a limit: first those with the fewest crashes, among these the ones
// seen longest ago.
func (l *Ledger) evictExcess(now time.Duration, limit int, entries []*entry) {
	if len(entries) <= limit {
		return
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(a.suspect.Crashes), len(b.suspect.Crashes)), cmp.Compare(a.seenAt, b.seenAt),
			cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint))
	})
	for _, e := range entries[:len(entries)-limit] {
		delete(l.entries, e.suspect.Fingerprint)
		l.recordEvent(now, Evicted, e)
	}
}
