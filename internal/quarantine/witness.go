package quarantine

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Loss is an attempt that ended without an answer from its instance.
type Loss struct {
	Fingerprint directory.Fingerprint
	Path        directory.PathHash
	Service     string
	Instance    directory.InstanceID
	// RequestID is the caller's request identifier, for log lines.
	RequestID string
	// Began is when the attempt was sent, Ended when it was given up.
	Began, Ended time.Duration
	// TrialAsk is the number of the ask under whose trial the request was sent; zero for none.
	TrialAsk AskNumber
	// OfAnyCaller is the fingerprint of equal requests of any caller; zero if it is the same.
	OfAnyCaller directory.Fingerprint
}

// crash returns the report of a loss under the trial granted for an ask.
func (l Loss) crash(trialAsk AskNumber) Crash {
	return Crash{
		Fingerprint: l.Fingerprint, Path: l.Path, Service: l.Service, Instance: l.Instance,
		TrialAsk: trialAsk, OfAnyCaller: l.OfAnyCaller,
	}
}

const (
	// confirmTimeout is how long after a loss a proof that its instance has ended is accepted.
	confirmTimeout = 5 * time.Second
	// endedRetention is how long an ended instance is remembered, since attempts sent to it before may be
	// given up later.
	endedRetention = 30 * time.Second
	// expireInterval is the minimum time between two expiry runs.
	expireInterval = 500 * time.Millisecond
	// maxPendingLosses limits the losses that wait for a proof; further ones are dropped.
	maxPendingLosses = 1024
)

// CrashDetector distinguishes crashes of instances from mere connection losses. An identifier names one
// incarnation of an instance, so that it ends only once.
type CrashDetector struct {
	losses    map[directory.InstanceID][]Loss
	lossCount int
	ended     map[directory.InstanceID]time.Duration
	// lastExpiry is when expired state was last removed.
	lastExpiry time.Duration
}

// NewCrashDetector returns a detector without state.
func NewCrashDetector() *CrashDetector {
	return &CrashDetector{losses: make(map[directory.InstanceID][]Loss), ended: make(map[directory.InstanceID]time.Duration)}
}

// Lost records a loss. It returns the loss if its instance is already known to have ended.
func (d *CrashDetector) Lost(now time.Duration, loss Loss) []Loss {
	d.expire(now)
	if _, ended := d.ended[loss.Instance]; ended {
		return []Loss{loss}
	}
	if d.lossCount < maxPendingLosses {
		d.losses[loss.Instance] = append(d.losses[loss.Instance], loss)
		d.lossCount++
	}
	return nil
}

// Ended records a proof that the process of an instance has ended, and returns the losses at that instance.
func (d *CrashDetector) Ended(now time.Duration, id directory.InstanceID) []Loss {
	d.expire(now)
	d.ended[id] = now
	return d.removeLosses(id)
}

// Waiting returns the instances with losses that wait for a proof.
func (d *CrashDetector) Waiting() []directory.InstanceID {
	waiting := make([]directory.InstanceID, 0, len(d.losses))
	for id := range d.losses {
		waiting = append(waiting, id)
	}
	return waiting
}

func (d *CrashDetector) removeLosses(id directory.InstanceID) []Loss {
	removed := d.losses[id]
	delete(d.losses, id)
	d.lossCount -= len(removed)
	return removed
}

// expire removes losses without a proof and instances that ended long ago.
func (d *CrashDetector) expire(now time.Duration) {
	if now-d.lastExpiry < expireInterval {
		return
	}
	d.lastExpiry = now
	for id, losses := range d.losses {
		if now-losses[len(losses)-1].Ended > confirmTimeout {
			d.removeLosses(id)
		}
	}
	for id, at := range d.ended {
		if now-at > endedRetention {
			delete(d.ended, id)
		}
	}
}
