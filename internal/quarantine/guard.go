package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Verdict is whether a request may be sent.
type Verdict int

// Verdicts on a request.
const (
	// Send: nothing is known that speaks against it.
	Send Verdict = iota
	// Try: it is in quarantine, and may be sent once to find out whether it is to blame.
	Try
	// Reject: it is in quarantine.
	Reject
)

const (
	// retellPause is how long the leader has to repeat the number of a report.
	retellPause = time.Second
	// toldTime is how long what happened is told again to a leader that is met anew. Crashes are for as
	// long as they keep a request in quarantine here.
	toldTime = time.Minute
	// rejectedPause is the time between two reports that a request in quarantine came again.
	rejectedPause = 5 * time.Second
	// mostTold bounds what waits to be told, of each kind.
	mostTold = 512
	// ownTime is how long after it came last a process keeps a request in quarantine by itself.
	ownTime = time.Minute
	// mostOwn bounds the requests that a process suspects by itself.
	mostOwn = 256
)

// Guard decides at one gateway or router which requests are sent, and keeps what the leader is to be
// told.
type Guard struct {
	// process is the name of the gateway or router.
	process string
	// crashes are enough to put a request in quarantine here while no leader hears of them.
	crashes int
	// suspects are those of the directory.
	suspects map[directory.Fingerprint]directory.Suspect
	// own are the requests that were in flight at crashes that no leader has heard of yet: without a
	// leader a process goes by what it knows.
	own map[directory.Fingerprint]*ownSuspect
	// paths has the paths of the requests in both.
	paths map[directory.PathHash]bool
	// tried is the number of the last trial of each request in quarantine that was used here.
	tried map[directory.Fingerprint]int
	// number is that of the last report.
	number uint64
	// told is what the leader was told, or is to be, and rejected are the requests in quarantine that
	// came again.
	told     []*observation
	rejected map[directory.Fingerprint]*rejection
}

// ownSuspect is a request that this process suspects by itself.
type ownSuspect struct {
	path      directory.PathHash
	instances map[directory.InstanceID]bool
	// lastAt is when the last crash was seen or the request came last, and enoughAt when there were
	// enough crashes for a quarantine.
	lastAt, enoughAt time.Duration
}

// observation is something that the leader is to be told.
type observation struct {
	at       time.Duration
	crash    *Crash
	took     time.Duration
	answered directory.Fingerprint
	// report is the number of the report that told it last, at reportedAt; zero before. Heard is
	// true once the leader repeated that number.
	report     uint64
	reportedAt time.Duration
	heard      bool
}

// rejection is a request in quarantine that came again.
type rejection struct {
	due    bool
	toldAt time.Duration
}

// NewGuard returns the guard of a process, which puts a request in quarantine by itself after a number
// of crashes that no leader heard of.
func NewGuard(process string, crashes int) *Guard {
	return &Guard{
		process: process, crashes: crashes,
		suspects: make(map[directory.Fingerprint]directory.Suspect), own: make(map[directory.Fingerprint]*ownSuspect),
		paths: make(map[directory.PathHash]bool), tried: make(map[directory.Fingerprint]int),
		rejected: make(map[directory.Fingerprint]*rejection),
	}
}

// SetSuspects replaces the suspects by those of the directory.
func (g *Guard) SetSuspects(now time.Duration, suspects []directory.Suspect) {
	clear(g.suspects)
	for _, suspect := range suspects {
		g.suspects[suspect.Fingerprint] = suspect
	}
	for fingerprint := range g.tried {
		if _, found := g.suspects[fingerprint]; !found {
			delete(g.tried, fingerprint)
		}
	}
	for fingerprint := range g.rejected {
		if _, found := g.suspects[fingerprint]; !found {
			delete(g.rejected, fingerprint)
		}
	}
	g.index(now)
}

// index expires own suspects and finds the paths of all.
func (g *Guard) index(now time.Duration) {
	clear(g.paths)
	for _, suspect := range g.suspects {
		g.paths[suspect.Path] = true
	}
	for fingerprint, own := range g.own {
		if now-own.lastAt > ownTime {
			delete(g.own, fingerprint)
			continue
		}
		g.paths[own.path] = true
	}
}

// Idle reports whether no request is suspected.
func (g *Guard) Idle() bool { return len(g.paths) == 0 }

// Watches reports whether a request for a path may be suspected.
func (g *Guard) Watches(path directory.PathHash) bool { return g.paths[path] }

// Suspects returns how many requests are suspected, those in quarantine included, and how many are
// in quarantine.
func (g *Guard) Suspects() (suspected, quarantined int) {
	for _, suspect := range g.suspects {
		if suspect.Quarantined {
			quarantined++
		}
	}
	return len(g.suspects) + len(g.own), quarantined
}

// Suspected reports whether a request was in flight at a crash since it was answered last.
func (g *Guard) Suspected(fingerprint directory.Fingerprint) bool {
	_, known := g.suspects[fingerprint]
	_, own := g.own[fingerprint]
	return known || own
}

// Check returns whether a request may be sent. A trial is used up by TakeTrial.
func (g *Guard) Check(now time.Duration, fingerprint directory.Fingerprint) Verdict {
	suspect := g.suspects[fingerprint]
	switch {
	case suspect.Quarantined && suspect.TrialBy == g.process && g.tried[fingerprint] < suspect.Trials:
		return Try
	case suspect.Quarantined:
		return Reject
	default:
	}
	own, found := g.own[fingerprint]
	if !found || len(own.instances) < g.crashes || now-own.enoughAt < grace || now-own.lastAt > ownTime {
		return Send
	}
	return Reject
}

// TakeTrial uses up the trial of a request. It reports false if another request used it.
func (g *Guard) TakeTrial(now time.Duration, fingerprint directory.Fingerprint) bool {
	if g.Check(now, fingerprint) != Try {
		return false
	}
	g.tried[fingerprint] = g.suspects[fingerprint].Trials
	return true
}

// ReturnTrial gives back the trial of a request that reached no instance.
func (g *Guard) ReturnTrial(fingerprint directory.Fingerprint) {
	if g.tried[fingerprint] > 0 {
		g.tried[fingerprint]--
	}
}

// Rejected takes that a request in quarantine came again, and reports whether the leader is to be
// told.
func (g *Guard) Rejected(now time.Duration, fingerprint directory.Fingerprint) bool {
	if own, found := g.own[fingerprint]; found {
		own.lastAt = now
	}
	known, found := g.rejected[fingerprint]
	if !found {
		g.rejected[fingerprint] = &rejection{due: true}
		return true
	}
	known.due = known.due || now-known.toldAt >= rejectedPause
	return known.due
}

// Crashed takes requests that were in flight at a crash.
func (g *Guard) Crashed(now time.Duration, losses []Loss) {
	for _, loss := range losses {
		g.add(&observation{at: loss.Ended, took: loss.Ended - loss.Began, crash: &Crash{
			Fingerprint: loss.Fingerprint, Path: loss.Path, Service: loss.Service, Instance: loss.Instance,
		}})
		g.suspect(now, loss)
	}
	g.index(now)
}

func (g *Guard) suspect(now time.Duration, loss Loss) {
	own, found := g.own[loss.Fingerprint]
	if !found {
		if len(g.own) >= mostOwn {
			return
		}
		own = &ownSuspect{path: loss.Path, instances: make(map[directory.InstanceID]bool)}
		g.own[loss.Fingerprint] = own
	}
	before := len(own.instances)
	own.instances[loss.Instance] = true
	own.lastAt = now
	if before < g.crashes && len(own.instances) >= g.crashes {
		own.enoughAt = now
	}
}

// Answered takes that an instance answered a request, and reports whether the leader is to be told.
func (g *Guard) Answered(now time.Duration, fingerprint directory.Fingerprint) bool {
	if !g.Suspected(fingerprint) {
		return false
	}
	delete(g.own, fingerprint)
	g.index(now)
	for _, each := range g.told {
		if each.crash == nil && each.answered == fingerprint && !each.heard && now-each.at < retellPause {
			return false
		}
	}
	g.add(&observation{at: now, answered: fingerprint})
	return true
}

func (g *Guard) add(each *observation) {
	if len(g.told) < mostTold {
		g.told = append(g.told, each)
	}
}

// Report returns what the leader is to be told now; false for nothing.
func (g *Guard) Report(now time.Duration) (Report, bool) {
	if len(g.own) > 0 {
		g.index(now)
	}
	report := Report{Number: g.number + 1}
	kept := g.told[:0]
	for _, each := range g.told {
		if now-each.at > toldTime && !g.needs(each) {
			continue
		}
		kept = append(kept, each)
		if each.heard || each.report > 0 && now-each.reportedAt < retellPause {
			continue
		}
		each.report, each.reportedAt = report.Number, now
		each.addTo(&report, now)
	}
	clear(g.told[len(kept):])
	g.told = kept
	for fingerprint, known := range g.rejected {
		if known.due {
			known.due, known.toldAt = false, now
			report.Rejected = append(report.Rejected, fingerprint)
		}
	}
	if report.empty() {
		return Report{}, false
	}
	g.number = report.Number
	return report, true
}

// needs reports whether a crash keeps a request in quarantine here.
func (g *Guard) needs(each *observation) bool {
	if each.crash == nil {
		return false
	}
	own, found := g.own[each.crash.Fingerprint]
	return found && own.instances[each.crash.Instance]
}

func (o *observation) addTo(report *Report, now time.Duration) {
	ago := uint32((now - o.at).Milliseconds())
	if o.crash == nil {
		report.Answered = append(report.Answered, Answered{Fingerprint: o.answered, AgoMs: ago})
		return
	}
	crash := *o.crash
	crash.EndedAgoMs, crash.TookMs = ago, uint32(o.took.Milliseconds())
	report.Crashes = append(report.Crashes, crash)
}

// Acknowledge takes the number of a report that the leader heard.
func (g *Guard) Acknowledge(number uint64) {
	for _, each := range g.told {
		if each.heard || each.report == 0 || each.report > number {
			continue
		}
		each.heard = true
		if each.crash != nil {
			g.disown(*each.crash)
		}
	}
}

// disown leaves a crash to the leader.
func (g *Guard) disown(crash Crash) {
	own, found := g.own[crash.Fingerprint]
	if !found {
		return
	}
	delete(own.instances, crash.Instance)
	if len(own.instances) == 0 {
		delete(g.own, crash.Fingerprint)
	}
}

// Connected takes that a leader was met anew: it may not have heard what an earlier one did.
func (g *Guard) Connected() {
	for _, each := range g.told {
		each.heard, each.report = false, 0
	}
}
