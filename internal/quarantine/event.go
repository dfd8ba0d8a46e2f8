package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Decision is a decision of the leader about a request.
type Decision string

// Decisions about a request.
const (
	// Suspected means that the request was in flight at another crash.
	Suspected Decision = "suspected"
	// Quarantined means that the request is no longer sent to any instance.
	Quarantined Decision = "quarantined"
	// Cleared means that an instance answered the request, or that the instance turned out not to have crashed.
	Cleared Decision = "cleared"
	// OnProbation means that the request is sent one attempt at a time from now on.
	OnProbation Decision = "on_probation"
	// Tried means that one gateway or router may send the request once.
	Tried Decision = "tried"
	// TrialLost means that a trial ended without an answer. No further one is granted until it is known whether its
	// instance crashed.
	TrialLost Decision = "trial_lost"
	// TrialEnded means that a trial is over and the next one may be granted; Event.Reason tells why.
	TrialEnded Decision = "trial_ended"
	// Expired means that the request was not seen for the configured time.
	Expired Decision = "expired"
	// Evicted means that the request was dropped to keep the number of suspects within its limit.
	Evicted Decision = "evicted"
)

// TrialEndReason tells why a trial of a request that stays on probation is over.
type TrialEndReason string

// Reasons for the end of a trial.
const (
	// ReportedWithoutCrash means that the process reported the end: the trial was not used, was answered without
	// clearing the request, or was lost at an instance that is leaving.
	ReportedWithoutCrash TrialEndReason = "reported_without_crash"
	// ProcessRestarted means that the process asked again, which it does only after a restart.
	ProcessRestarted TrialEndReason = "process_restarted"
	// ProcessSilent means that the process did not report the end in time.
	ProcessSilent TrialEndReason = "process_silent"
	// InstanceAlive means that the trial was lost, and its instance sent heartbeats afterwards.
	InstanceAlive TrialEndReason = "instance_alive"
	// InstanceLeft means that the trial was lost at an instance that left as announced.
	InstanceLeft TrialEndReason = "instance_left"
	// AmbiguousCrash means that an instance crashed, possibly for another cause.
	AmbiguousCrash TrialEndReason = "ambiguous_crash"
)

// Event is a decision and the suspect that it concerns.
type Event struct {
	Decision Decision
	Suspect  directory.Suspect
	// Reason is set for TrialEnded.
	Reason TrialEndReason
	// Age is the time since the last crash of the suspect was reported.
	Age time.Duration
}

// maxPendingEvents limits the events kept between two calls of Events; further ones are dropped.
const maxPendingEvents = 1024

func (l *Ledger) recordEvent(now time.Duration, decision Decision, e *entry) {
	l.addEvent(Event{Decision: decision, Suspect: e.suspect, Age: now - e.lastCrashAt})
}

// recordTrialEnd records the end of the current trial, which the suspect still names.
func (l *Ledger) recordTrialEnd(now time.Duration, reason TrialEndReason, e *entry) {
	l.addEvent(Event{Decision: TrialEnded, Reason: reason, Suspect: e.suspect, Age: now - e.lastCrashAt})
}

func (l *Ledger) addEvent(event Event) {
	if len(l.events) < maxPendingEvents {
		l.events = append(l.events, event)
	}
}

// Events returns the decisions made since the last call.
func (l *Ledger) Events() []Event {
	events := l.events
	l.events = nil
	return events
}
