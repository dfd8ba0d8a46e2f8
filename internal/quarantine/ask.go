package quarantine

import (
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// ask is an ask of this process for a trial of one waiting request.
type ask struct {
	number AskNumber
	// waitUntil is until when the request waits for the grant, and until its deadline.
	waitUntil, until time.Duration
	// reported is true if the ask was sent to the present leader, at reportedAt.
	reported   bool
	reportedAt time.Duration
	// used is true while the request is sent under the trial, or after it was.
	used bool
	// lost is true once the trial ended without an answer. The ask stays open until the directory shows that the
	// leader has ended the trial.
	lost bool
}

// StartAsksAfter sets the number after which asks are counted. It must be higher than those of the process's earlier
// runs.
func (g *Guard) StartAsksAfter(number AskNumber) { g.lastAsk = number }

// Ask opens an ask for a trial of a request that waits for it until waitUntil. It returns false if the process already
// has an open ask for an equal request, or met a crash during its last trial of which no leader knows yet: the leader
// takes a new ask as a sign that the process does not use its trial.
func (g *Guard) Ask(fingerprint directory.Fingerprint, waitUntil, deadline time.Duration) (AskNumber, bool) {
	if _, found := g.asks[fingerprint]; found || g.hasUnreportedCrash(fingerprint) {
		return noAsk, false
	}
	g.lastAsk++
	g.asks[fingerprint] = &ask{number: g.lastAsk, waitUntil: waitUntil, until: deadline}
	return g.lastAsk, true
}

// hasUnreportedCrash reports whether the leader has yet to acknowledge a crash during a trial.
func (g *Guard) hasUnreportedCrash(fingerprint directory.Fingerprint) bool {
	return slices.ContainsFunc(g.observations, func(o *observation) bool {
		return !o.acknowledged && o.crash != nil && o.crash.concerns(fingerprint) && o.crash.TrialAsk != noAsk
	})
}

// TrialLost records that the trial granted for an ask ended without an answer, so that its instance may have crashed.
func (g *Guard) TrialLost(fingerprint directory.Fingerprint, number AskNumber, loss Loss) {
	open, found := g.asks[fingerprint]
	if !found || open.number != number || !open.used {
		return
	}
	open.lost = true
	lost := loss.crash(number)
	g.addObservation(&observation{at: loss.Ended, inFlightFor: loss.Ended - loss.Began, lostTrial: &lost})
}

// EndAsk ends the ask of a request that has ended, and reports the end of its trial if one was granted. The leader
// decides on the end of a trial that was lost.
func (g *Guard) EndAsk(now time.Duration, fingerprint directory.Fingerprint, number AskNumber) {
	open, found := g.asks[fingerprint]
	if !found || open.number != number || open.lost {
		return
	}
	delete(g.asks, fingerprint)
	if g.granted(g.suspects[fingerprint], open.number) {
		g.addObservation(&observation{at: now, trialEnd: &TrialEnd{Fingerprint: fingerprint, Number: open.number}})
	}
}

// granted reports whether a suspect's current trial was granted for an ask of this process.
func (g *Guard) granted(suspect directory.Suspect, number AskNumber) bool {
	return suspect.TrialBy == g.process && suspect.TrialAsk == number
}

// mayTry reports whether a suspect may be sent under a trial by the request with this ask.
func (g *Guard) mayTry(now time.Duration, suspect directory.Suspect, number AskNumber) bool {
	if !suspect.NeedsTrial() || !g.granted(suspect, number) {
		return false
	}
	if number == noAsk {
		return g.usedTrials[suspect.Fingerprint] < suspect.Trials
	}
	return g.waits(now, suspect.Fingerprint, number)
}

// waits reports whether the request with this ask waits for a trial and its deadline has not passed.
func (g *Guard) waits(now time.Duration, fingerprint directory.Fingerprint, number AskNumber) bool {
	open, found := g.asks[fingerprint]
	return found && open.number == number && !open.used && now < open.until
}

// forgetEndedTrials removes lost trials that the leader has ended, and the ends of trials that it has acknowledged
// and that are in the list of suspects.
func (g *Guard) forgetEndedTrials() {
	for fingerprint, open := range g.asks {
		if open.lost && !g.granted(g.suspects[fingerprint], open.number) {
			delete(g.asks, fingerprint)
		}
	}
	g.observations = slices.DeleteFunc(g.observations, func(o *observation) bool {
		switch {
		case o.trialEnd != nil:
			return o.acknowledged && !g.granted(g.suspects[o.trialEnd.Fingerprint], o.trialEnd.Number)
		case o.lostTrial != nil:
			return !g.awaitsLostTrial(o.lostTrial)
		default:
			return false
		}
	})
}

// awaitsLostTrial reports whether the leader has yet to end a trial that was lost.
func (g *Guard) awaitsLostTrial(lost *Crash) bool {
	for _, fingerprint := range []directory.Fingerprint{lost.Fingerprint, lost.OfAnyCaller} {
		if open, found := g.asks[fingerprint]; found && open.lost && open.number == lost.TrialAsk {
			return true
		}
	}
	return false
}

// trialPending reports whether a suspect's last trial was lost, so that nothing is sent until the leader has ended it.
func (g *Guard) trialPending(suspect directory.Suspect) bool {
	open, found := g.asks[suspect.Fingerprint]
	return suspect.TrialLostAt != "" || found && open.lost
}

// declineTrials reports the end of trials that were granted for requests which no longer wait.
func (g *Guard) declineTrials(now time.Duration) {
	for fingerprint, suspect := range g.suspects {
		if suspect.TrialBy != g.process || suspect.TrialAsk == noAsk || g.endReported(fingerprint, suspect.TrialAsk) {
			continue
		}
		if open, found := g.asks[fingerprint]; found && open.number == suspect.TrialAsk {
			continue
		}
		g.addObservation(&observation{at: now, trialEnd: &TrialEnd{Fingerprint: fingerprint, Number: suspect.TrialAsk}})
	}
}

// endReported reports whether the end of a trial, its loss or a crash during it is among the observations.
func (g *Guard) endReported(fingerprint directory.Fingerprint, number AskNumber) bool {
	for _, o := range g.observations {
		if o.trialEnd != nil && o.trialEnd.Fingerprint == fingerprint && o.trialEnd.Number == number ||
			o.crash != nil && o.crash.concerns(fingerprint) && o.crash.TrialAsk == number ||
			o.lostTrial != nil && o.lostTrial.concerns(fingerprint) && o.lostTrial.TrialAsk == number {
			return true
		}
	}
	return false
}

// endAskByCrash removes the ask under whose trial an instance crashed; the report of the crash ends the trial.
func (g *Guard) endAskByCrash(loss Loss) {
	for _, fingerprint := range []directory.Fingerprint{loss.Fingerprint, loss.OfAnyCaller} {
		open, found := g.asks[fingerprint]
		if found && loss.TrialAsk != noAsk && open.number == loss.TrialAsk {
			delete(g.asks, fingerprint)
		}
	}
}

// dueAsks returns the asks to be sent with a report.
func (g *Guard) dueAsks(now time.Duration) []Ask {
	var due []Ask
	for fingerprint, open := range g.asks {
		if open.used || open.waitUntil <= now || open.reported && now-open.reportedAt < reportRetryInterval {
			continue
		}
		open.reported, open.reportedAt = true, now
		due = append(due, Ask{
			Fingerprint: fingerprint, Number: open.number,
			WaitMs: uint32((open.waitUntil - now).Milliseconds()), RemainingMs: uint32((open.until - now).Milliseconds()),
		})
	}
	return due
}
