package quarantine

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Committed records that a decision is in force.
func (l *Ledger) Committed(put directory.PutSuspects) { l.committed.List = put.List }

// Adopt merges the suspects of the directory that were changed by others than this ledger: an earlier
// leader or an operator.
func (l *Ledger) Adopt(now time.Duration, current directory.Suspects) {
	previous := make(map[directory.Fingerprint]directory.Suspect, len(l.committed.List))
	for _, suspect := range l.committed.List {
		previous[suspect.Fingerprint] = suspect
	}
	for _, suspect := range current.List {
		if committed, found := previous[suspect.Fingerprint]; found && committed.Same(suspect) {
			continue
		}
		if e, found := l.entries[suspect.Fingerprint]; found {
			if !slices.ContainsFunc(e.proposed, suspect.Same) {
				e.adopt(now, suspect)
			}
			continue
		}
		l.entries[suspect.Fingerprint] = newAdoptedEntry(now, suspect)
	}
	l.committed = current
}

// newAdoptedEntry returns an entry for a suspect from the directory. All its times start now, because the
// directory does not hold the earlier ones.
func newAdoptedEntry(now time.Duration, suspect directory.Suspect) *entry {
	e := &entry{
		suspect: suspect, suspectedAt: now, lastCrashAt: now, thresholdAt: now, quarantinedAt: now, seenAt: now,
		trialUntil: now + milliseconds(suspect.TrialMs), trialsBefore: suspect.Trials,
	}
	e.adoptLostTrial(now)
	return e
}

// adopt merges the directory's state of a request with what was reported to this leader.
func (e *entry) adopt(now time.Duration, suspect directory.Suspect) {
	if suspect.Released && !e.suspect.Released {
		// Earlier reports and doubts concern the quarantine that has ended.
		suspect.Doubtful, suspect.Callers = false, nil
		*e = *newAdoptedEntry(now, suspect)
		return
	}
	suspect.Crashes, suspect.Callers = slices.Clone(suspect.Crashes), slices.Clone(suspect.Callers)
	for position, id := range e.suspect.Crashes {
		if slices.Contains(suspect.Crashes, id) {
			continue
		}
		if position < len(e.suspect.Callers) {
			caller := e.suspect.Callers[position]
			if slices.Contains(suspect.Callers, caller) {
				continue
			}
			suspect.Callers = append(suspect.Callers, caller)
		}
		suspect.Crashes = append(suspect.Crashes, id)
	}
	if suspect.TrialBy != e.suspect.TrialBy || suspect.TrialAsk != e.suspect.TrialAsk {
		e.trialUntil = now + milliseconds(suspect.TrialMs)
	}
	suspect.Quarantined = suspect.Quarantined || e.suspect.Quarantined
	e.suspect = suspect
	e.adoptLostTrial(now)
	e.findTrialCrash(now)
}
