package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Verdict says whether a request may be sent.
type Verdict int

// Verdicts on a request.
const (
	// Send means that the request is not in quarantine.
	Send Verdict = iota
	// Try means that the request may be sent once, to find out whether it causes the crashes.
	Try
	// Reject means that the request is in quarantine and must not be sent.
	Reject
	// Wait means that the request is on probation and may be sent only once the leader grants a trial; see Ask.
	Wait
	// Hold means that the request is on probation and its last trial was lost: nothing is sent until the leader
	// knows whether the instance crashed, which takes longer than requests wait.
	Hold
)

const (
	// reportRetryInterval is how long to wait for the leader's acknowledgement before an observation is
	// reported again.
	reportRetryInterval = time.Second
	// observationRetention is how long an observation is kept so that it can be reported again to a new
	// leader. A crash is kept longer while it keeps a request suspected locally.
	observationRetention = time.Minute
	// rejectionReportInterval is the time between two reports that a quarantined request was received again.
	rejectionReportInterval = 5 * time.Second
	// maxObservations limits the crashes that are kept, and the other observations; further ones are dropped.
	maxObservations = 512
	// localSuspectTime is how long a request stays suspected, or in quarantine, by this process alone after it
	// was last seen.
	localSuspectTime = time.Minute
	// maxLocalSuspects limits the requests that this process suspects without the leader.
	maxLocalSuspects = 256
	// handoverTime is how long after its last crash answers to a request are reported while the directory does not
	// list it: the leader may have cleared it before it was listed.
	handoverTime = 3 * time.Second
)

// Guard decides in one gateway or router which requests may be sent, and keeps the observations that are
// to be reported to the leader.
type Guard struct {
	// process is the name of the gateway or router.
	process string
	// crashThreshold is the number of instances whose crashes put a request in quarantine locally, as long as
	// no leader has acknowledged these crashes.
	crashThreshold int
	// suspects are those of the directory.
	suspects map[directory.Fingerprint]directory.Suspect
	// localSuspects are requests that were in flight at crashes which no leader has acknowledged yet. They let
	// the process protect its servers without a leader.
	localSuspects map[directory.Fingerprint]*localSuspect
	// handedOver are requests whose crashes the leader has acknowledged, and which the directory does not list
	// yet.
	handedOver map[directory.Fingerprint]handedOver
	// suspectedPaths has the path hashes of suspects, localSuspects and handedOver.
	suspectedPaths map[directory.PathHash]bool
	// usedTrials has, for each suspect, the number of the last trial that this process used.
	usedTrials map[directory.Fingerprint]int
	// asks are the asks for trials whose outcome is open; at most one for each request.
	asks    map[directory.Fingerprint]*ask
	lastAsk AskNumber
	// lastReport is the number of the last report, lastCrash that of the last crash.
	lastReport, lastCrash uint64
	// observations are reported to the leader until it acknowledges them, and kept for a possible new leader;
	// rejections are the quarantined requests that were received again.
	observations []*observation
	rejections   map[directory.Fingerprint]*rejection
}

// localSuspect is a request that this process suspects without the leader.
type localSuspect struct {
	path      directory.PathHash
	instances map[directory.InstanceID]bool
	// lastSeenAt is when its last crash was detected or it was last rejected; thresholdAt is when the crashes
	// reached the threshold.
	lastSeenAt, thresholdAt time.Duration
}

// handedOver is a request that the leader suspects from now on.
type handedOver struct {
	path directory.PathHash
	// crashedAt is the time of the last crash.
	crashedAt time.Duration
}

// observation is a crash or an answer that is to be reported to the leader.
type observation struct {
	at          time.Duration
	crash       *Crash
	inFlightFor time.Duration
	trialEnd    *TrialEnd
	lostTrial   *Crash
	answered    directory.Fingerprint
	// reportNumber is the number of the report that contained it last, sent at reportedAt; zero if there was
	// none. acknowledged is true once the leader has confirmed that number.
	reportNumber uint64
	reportedAt   time.Duration
	acknowledged bool
}

// rejection tracks the reports about a quarantined request that was received again.
type rejection struct {
	reportDue  bool
	reportedAt time.Duration
}

// NewGuard returns the guard of a process. crashThreshold is the number of instances whose crashes put a
// request in quarantine locally, as long as no leader has acknowledged these crashes.
func NewGuard(process string, crashThreshold int) *Guard {
	return &Guard{
		process: process, crashThreshold: crashThreshold,
		suspects:       make(map[directory.Fingerprint]directory.Suspect),
		localSuspects:  make(map[directory.Fingerprint]*localSuspect),
		handedOver:     make(map[directory.Fingerprint]handedOver),
		suspectedPaths: make(map[directory.PathHash]bool), usedTrials: make(map[directory.Fingerprint]int),
		rejections: make(map[directory.Fingerprint]*rejection), asks: make(map[directory.Fingerprint]*ask),
	}
}

// SetSuspects replaces the suspects by those of the directory.
func (g *Guard) SetSuspects(now time.Duration, suspects []directory.Suspect) {
	clear(g.suspects)
	for _, suspect := range suspects {
		g.suspects[suspect.Fingerprint] = suspect
		delete(g.handedOver, suspect.Fingerprint)
	}
	for fingerprint := range g.usedTrials {
		if _, found := g.suspects[fingerprint]; !found {
			delete(g.usedTrials, fingerprint)
		}
	}
	for fingerprint := range g.rejections {
		if _, found := g.suspects[fingerprint]; !found {
			delete(g.rejections, fingerprint)
		}
	}
	g.forgetEndedTrials()
	g.declineTrials(now)
	g.rebuildPaths(now)
}

// rebuildPaths removes expired local suspects and rebuilds the set of suspected paths.
func (g *Guard) rebuildPaths(now time.Duration) {
	clear(g.suspectedPaths)
	for _, suspect := range g.suspects {
		g.suspectedPaths[suspect.Path] = true
	}
	for fingerprint, local := range g.localSuspects {
		if now-local.lastSeenAt > localSuspectTime {
			delete(g.localSuspects, fingerprint)
			continue
		}
		g.suspectedPaths[local.path] = true
	}
	for fingerprint, handed := range g.handedOver {
		if now-handed.crashedAt > handoverTime {
			delete(g.handedOver, fingerprint)
			continue
		}
		g.suspectedPaths[handed.path] = true
	}
}

// Idle reports whether no request is suspected.
func (g *Guard) Idle() bool { return len(g.suspectedPaths) == 0 }

// Watches reports whether a request with this path hash may be suspected.
func (g *Guard) Watches(path directory.PathHash) bool { return g.suspectedPaths[path] }

// Suspects returns the number of suspected requests, including those in quarantine, and the number of
// requests in quarantine.
func (g *Guard) Suspects() (suspected, quarantined int) {
	for _, suspect := range g.suspects {
		if suspect.Quarantined {
			quarantined++
		}
	}
	return len(g.suspects) + len(g.localSuspects), quarantined
}

// Suspected reports whether a request was in flight at a crash since it was last answered.
func (g *Guard) Suspected(fingerprint directory.Fingerprint) bool {
	_, inDirectory := g.suspects[fingerprint]
	_, local := g.localSuspects[fingerprint]
	return inDirectory || local
}

// Decisive returns the fingerprint whose suspect decides whether a request may be sent: that of equal requests of
// any caller if these are on probation or in quarantine, unless the caller's own request is in quarantine.
func (g *Guard) Decisive(identity Identity) directory.Fingerprint {
	if g.suspects[identity.OfAnyCaller].NeedsTrial() && !g.suspects[identity.OfCaller].Quarantined {
		return identity.OfAnyCaller
	}
	return identity.OfCaller
}

// Check returns whether a request may be sent. Number is that of the request's ask, zero for none. It does not
// use up a trial; TakeTrial does.
func (g *Guard) Check(now time.Duration, fingerprint directory.Fingerprint, number AskNumber) Verdict {
	suspect := g.suspects[fingerprint]
	switch {
	case g.mayTry(now, suspect, number):
		return Try
	case suspect.Quarantined:
		return Reject
	case suspect.NeedsTrial() && g.trialPending(suspect):
		return Hold
	case suspect.NeedsTrial():
		return Wait
	default:
	}
	local, found := g.localSuspects[fingerprint]
	if !found || len(local.instances) < g.crashThreshold ||
		now-local.thresholdAt < gracePeriod || now-local.lastSeenAt > localSuspectTime {
		return Send
	}
	return Reject
}

// TakeTrial uses up the trial of a request. It returns false if there is no trial left.
func (g *Guard) TakeTrial(now time.Duration, fingerprint directory.Fingerprint, number AskNumber) bool {
	if g.Check(now, fingerprint, number) != Try {
		return false
	}
	g.usedTrials[fingerprint] = g.suspects[fingerprint].Trials
	if open, found := g.asks[fingerprint]; found {
		open.used = true
	}
	return true
}

// ReturnTrial makes the trial available again after an attempt that reached no instance.
func (g *Guard) ReturnTrial(fingerprint directory.Fingerprint) {
	if g.usedTrials[fingerprint] > 0 {
		g.usedTrials[fingerprint]--
	}
	if open, found := g.asks[fingerprint]; found {
		open.used = false
	}
}

// Rejected records that a quarantined request was received again, and returns whether the leader should get
// a report of it now.
func (g *Guard) Rejected(now time.Duration, fingerprint directory.Fingerprint) bool {
	if local, found := g.localSuspects[fingerprint]; found {
		local.lastSeenAt = now
	}
	r, found := g.rejections[fingerprint]
	if !found {
		g.rejections[fingerprint] = &rejection{reportDue: true}
		return true
	}
	r.reportDue = r.reportDue || now-r.reportedAt >= rejectionReportInterval
	return r.reportDue
}

// Crashed records requests that were in flight at a crash.
func (g *Guard) Crashed(now time.Duration, losses []Loss) {
	for _, loss := range losses {
		g.lastCrash++
		crash := loss.crash(loss.TrialAsk)
		crash.Number = g.lastCrash
		g.addObservation(&observation{at: loss.Ended, inFlightFor: loss.Ended - loss.Began, crash: &crash})
		g.addLocalCrash(now, loss)
		g.endAskByCrash(loss)
	}
	g.rebuildPaths(now)
}

func (g *Guard) addLocalCrash(now time.Duration, loss Loss) {
	local, found := g.localSuspects[loss.Fingerprint]
	if !found {
		if len(g.localSuspects) >= maxLocalSuspects {
			return
		}
		local = &localSuspect{path: loss.Path, instances: make(map[directory.InstanceID]bool)}
		g.localSuspects[loss.Fingerprint] = local
	}
	before := len(local.instances)
	local.instances[loss.Instance] = true
	local.lastSeenAt = now
	if before < g.crashThreshold && len(local.instances) >= g.crashThreshold {
		local.thresholdAt = now
	}
}

// Answered records that an instance answered a request, and returns whether the leader should get a report
// of it now.
func (g *Guard) Answered(now time.Duration, fingerprint directory.Fingerprint) bool {
	handed, found := g.handedOver[fingerprint]
	if !g.Suspected(fingerprint) && (!found || now-handed.crashedAt > handoverTime) {
		return false
	}
	delete(g.localSuspects, fingerprint)
	delete(g.handedOver, fingerprint)
	g.rebuildPaths(now)
	if g.answerPending(now, fingerprint) {
		return false
	}
	g.addObservation(&observation{at: now, answered: fingerprint})
	return true
}

// answerPending reports whether an answer of the request is under way to the leader, and no crash was observed
// after it.
func (g *Guard) answerPending(now time.Duration, fingerprint directory.Fingerprint) bool {
	pending := false
	for _, o := range g.observations {
		switch {
		case o.crash != nil && (o.crash.Fingerprint == fingerprint || o.crash.OfAnyCaller == fingerprint):
			pending = false
		case o.isAnswer() && o.answered == fingerprint && !o.acknowledged && now-o.at < reportRetryInterval:
			pending = true
		}
	}
	return pending
}

// isAnswer reports whether the observation is an answer.
func (o *observation) isAnswer() bool {
	return o.crash == nil && o.trialEnd == nil && o.lostTrial == nil
}

func (g *Guard) addObservation(o *observation) {
	count := 0
	for _, kept := range g.observations {
		if (kept.crash != nil) == (o.crash != nil) {
			count++
		}
	}
	if count < maxObservations {
		g.observations = append(g.observations, o)
	}
}

// Report returns the next report to the leader, or false if there is nothing to report.
func (g *Guard) Report(now time.Duration) (Report, bool) {
	if len(g.localSuspects)+len(g.handedOver) > 0 {
		g.rebuildPaths(now)
	}
	report := Report{Number: g.lastReport + 1}
	kept := g.observations[:0]
	for _, o := range g.observations {
		if now-o.at > observationRetention && !g.stillNeeded(o) {
			continue
		}
		kept = append(kept, o)
		if o.acknowledged || o.reportNumber > 0 && now-o.reportedAt < reportRetryInterval {
			continue
		}
		o.reportNumber, o.reportedAt = report.Number, now
		o.addTo(&report, now)
	}
	clear(g.observations[len(kept):])
	g.observations = kept
	for fingerprint, r := range g.rejections {
		if r.reportDue {
			r.reportDue, r.reportedAt = false, now
			report.Rejected = append(report.Rejected, fingerprint)
		}
	}
	report.Asks = g.dueAsks(now)
	if report.empty() {
		return Report{}, false
	}
	g.lastReport = report.Number
	return report, true
}

// stillNeeded reports whether an observation is kept beyond its retention: it is a trial that the leader has yet to
// end, or a crash that keeps a request suspected locally.
func (g *Guard) stillNeeded(o *observation) bool {
	if o.lostTrial != nil {
		return g.awaitsLostTrial(o.lostTrial)
	}
	if o.crash == nil {
		return false
	}
	local, found := g.localSuspects[o.crash.Fingerprint]
	return found && local.instances[o.crash.Instance]
}

func (o *observation) addTo(report *Report, now time.Duration) {
	if o.trialEnd != nil {
		report.TrialEnds = append(report.TrialEnds, *o.trialEnd)
		return
	}
	agoMs := uint32((now - o.at).Milliseconds())
	tookMs := uint32(o.inFlightFor.Milliseconds())
	switch {
	case o.lostTrial != nil:
		lost := *o.lostTrial
		lost.EndedAgoMs, lost.TookMs = agoMs, tookMs
		report.LostTrials = append(report.LostTrials, lost)
	case o.crash != nil:
		crash := *o.crash
		crash.EndedAgoMs, crash.TookMs = agoMs, tookMs
		report.Crashes = append(report.Crashes, crash)
	default:
		report.Answered = append(report.Answered, Answered{Fingerprint: o.answered, AgoMs: agoMs})
	}
}

// Acknowledge handles the leader's confirmation of the report with this number and of all earlier ones.
func (g *Guard) Acknowledge(number uint64) {
	for _, o := range g.observations {
		if o.acknowledged || o.reportNumber == 0 || o.reportNumber > number {
			continue
		}
		o.acknowledged = true
		if o.crash != nil {
			g.dropLocalCrash(o.at, *o.crash)
		}
	}
}

// dropLocalCrash removes a crash from the local suspects, because the leader counts it from now on.
func (g *Guard) dropLocalCrash(at time.Duration, crash Crash) {
	local, found := g.localSuspects[crash.Fingerprint]
	if !found {
		return
	}
	delete(local.instances, crash.Instance)
	if len(local.instances) == 0 {
		delete(g.localSuspects, crash.Fingerprint)
		if _, listed := g.suspects[crash.Fingerprint]; !listed && len(g.handedOver) < maxLocalSuspects {
			g.handedOver[crash.Fingerprint] = handedOver{path: local.path, crashedAt: at}
		}
	}
}

// Connected handles a connection to a possibly new leader, which may not know what was reported to an
// earlier one: all observations are reported again.
func (g *Guard) Connected() {
	for _, o := range g.observations {
		o.acknowledged, o.reportNumber = false, 0
	}
	for _, open := range g.asks {
		open.reported = false
	}
}
