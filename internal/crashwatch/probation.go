package crashwatch

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/quarantine"
)

const (
	// maxTrialWait and maxTrialWaitShare limit how long a request on probation waits for its trial, the latter as
	// a share of the time until its deadline.
	maxTrialWait      = 500 * time.Millisecond
	maxTrialWaitShare = 0.25
	// trialCheckInterval is how often a waiting request checks for its trial while nothing changes.
	trialCheckInterval = 25 * time.Millisecond
	// firstReporterDelay is when the leader is contacted for a request that waits; the delay doubles each time.
	// minReporterInterval is the least time between two contacts for all waiting requests.
	firstReporterDelay  = 60 * time.Millisecond
	minReporterInterval = 50 * time.Millisecond
	// maxWaiting limits the requests that wait for trials at the same time; further ones are rejected at once.
	maxWaiting = 256
)

func onProbation(fingerprint directory.Fingerprint) *fault.Error {
	return fault.Newf(fault.RequestOnProbation,
		"the request with fingerprint %s is sent one attempt at a time, since servers crashed under it", fingerprint)
}

// AwaitTrial waits until a request on probation may be sent: the leader grants it a trial, or an answer to an equal
// request ends the probation. The result is an error if the request is in quarantine, if it waited too long, or at once
// if the last trial was lost.
// Cancelled reports whether the caller has left. End must be called once the request has ended.
func (g *Guard) AwaitTrial(request *Request, remaining time.Duration, cancelled func() bool) *fault.Error {
	identity, suspected := g.suspectIdentity(request)
	if !suspected {
		return nil
	}
	fingerprint, verdict := g.verdict(request, identity)
	if verdict != quarantine.Wait {
		return g.Check(request)
	}
	if g.waiting.Add(1) > maxWaiting {
		g.waiting.Add(-1)
		return onProbation(fingerprint)
	}
	defer g.waiting.Add(-1)
	now := g.clock.Now()
	if request.waitUntil == 0 {
		request.waitUntil = now + min(maxTrialWait, time.Duration(maxTrialWaitShare*float64(remaining)))
	}
	return g.waitForTrial(request, identity, now+remaining, cancelled)
}

// waitForTrial asks for a trial and waits until the request may be sent or rejected, until its waitUntil at most.
func (g *Guard) waitForTrial(request *Request, identity quarantine.Identity, deadline time.Duration, cancelled func() bool) *fault.Error {
	wakeDelay := firstReporterDelay
	wakeAt := g.clock.Now() + wakeDelay
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := g.changes.Next()
		fingerprint, verdict := g.verdict(request, identity)
		if verdict != quarantine.Wait {
			return g.Check(request)
		}
		if g.clock.Now() >= request.waitUntil || cancelled() {
			return onProbation(fingerprint)
		}
		g.ask(request, fingerprint, deadline)
		if g.clock.Now() >= wakeAt {
			wakeDelay *= 2
			wakeAt += wakeDelay
			g.wakeReporter()
		}
		timer.Reset(trialCheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		}
	}
}

// ask asks for a trial, unless the request or an equal one already does.
func (g *Guard) ask(request *Request, fingerprint directory.Fingerprint, deadline time.Duration) {
	g.withGuard(func(_ time.Duration, guard *quarantine.Guard) bool {
		if request.ask != 0 {
			return false
		}
		number, opened := guard.Ask(fingerprint, request.waitUntil, deadline)
		if opened {
			request.ask, request.askedFor = number, fingerprint
		}
		return opened
	})
}

// wakeReporter makes the process contact the leader now and then while requests wait: a router learns of grants from
// answers only.
func (g *Guard) wakeReporter() {
	now := int64(g.clock.Now())
	last := g.wokenAt.Load()
	if now-last < int64(minReporterInterval) || !g.wokenAt.CompareAndSwap(last, now) {
		return
	}
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// verdict returns whether a request may be sent, and the fingerprint that decides on it.
func (g *Guard) verdict(request *Request, identity quarantine.Identity) (fingerprint directory.Fingerprint, verdict quarantine.Verdict) {
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		fingerprint = guard.Decisive(identity)
		verdict = guard.Check(now, fingerprint, request.ask)
		return false
	})
	return fingerprint, verdict
}

// End ends the request's ask for a trial, if it has one.
func (g *Guard) End(request *Request) {
	if request.ask == 0 {
		return
	}
	g.withGuard(func(now time.Duration, guard *quarantine.Guard) bool {
		guard.EndAsk(now, request.askedFor, request.ask)
		return true
	})
	request.ask = 0
	g.changes.Raise()
}
