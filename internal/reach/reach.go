package reach

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const (
	// firstPause is the time from a failed connection to the first probe; it doubles with each failed probe, up
	// to maxPause.
	firstPause = 400 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// cutOffInstances is the number of instances to which connections must fail, without a success at any
	// instance, for the process to count as cut off from all. cutOffWindow is the time within which they fail.
	cutOffInstances = 3
	cutOffWindow    = 2 * time.Second
	// sampleInterval is the time between two probes of instances that answer through a relay.
	sampleInterval = 100 * time.Millisecond
	// maxProbes bounds the concurrent probes. A probe takes a connection timeout at most.
	maxProbes = 12
)

// Reach records which instances are reachable. It is safe for concurrent use.
type Reach struct {
	// all is true while all instances are reachable, which is nearly always; requests then take no lock.
	all    atomic.Bool
	mutex  sync.Mutex
	losses map[directory.InstanceID]*loss
	// failing has the instances to which a connection failed since the last success at any instance, and when.
	failing map[directory.InstanceID]time.Duration
	cutOff  bool
	// cutOffSince is when this process was last cut off.
	cutOffSince time.Duration
	probes      int
	// sampledAt is when an instance that answered through a relay was last chosen for a probe.
	sampledAt time.Duration
}

// loss is an instance that is unreachable, or suspected to be.
type loss struct {
	// suspected is true for an instance that is still reachable as far as is known.
	suspected bool
	probing   bool
	// failedAt is when the first connection failed.
	failedAt time.Duration
	probeAt  time.Duration
	pause    time.Duration
}

// New returns a Reach by which all instances are reachable.
func New() *Reach {
	r := &Reach{losses: make(map[directory.InstanceID]*loss), failing: make(map[directory.InstanceID]time.Duration)}
	r.all.Store(true)
	return r
}

// Reachable reports whether connections to an instance can be opened, as far as is known.
func (r *Reach) Reachable(id directory.InstanceID) bool {
	if r.all.Load() {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.losses[id]
	return !r.cutOff && (!found || known.suspected)
}

// AllReachable reports whether connections to all instances can be opened, as far as is known.
func (r *Reach) AllReachable() bool { return r.all.Load() }

// CutOff reports whether this process is cut off from all instances.
func (r *Reach) CutOff() bool {
	if r.all.Load() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cutOff
}

// Failed records that no connection to an instance could be opened, or that the open one went dead.
func (r *Reach) Failed(now time.Duration, id directory.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.losses[id]
	switch {
	case !found:
		r.losses[id] = &loss{failedAt: now, probeAt: now + firstPause, pause: firstPause}
	case known.suspected:
		known.suspected, known.failedAt = false, now
	default:
		// An instance that stays unreachable says nothing new of the others.
		return
	}
	r.noteFailure(now, id)
	r.all.Store(false)
}

// noteFailure updates whether this process is cut off, after an instance became unreachable. The mutex must be
// held.
func (r *Reach) noteFailure(now time.Duration, id directory.InstanceID) {
	r.failing[id] = now
	recent := 0
	for _, at := range r.failing {
		if now-at <= cutOffWindow {
			recent++
		}
	}
	if !r.cutOff && recent >= cutOffInstances {
		r.cutOff, r.cutOffSince = true, now
	}
}

// Suspect schedules a probe of an instance whose open connection may have gone dead: a request got no byte of
// an answer in time. The instance stays reachable until the probe fails.
func (r *Reach) Suspect(now time.Duration, id directory.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, found := r.losses[id]; found {
		return
	}
	r.losses[id] = &loss{suspected: true, probeAt: now, pause: firstPause}
	r.all.Store(false)
}

// Relayed records that an instance answered through a relay. While this process counts as cut off, such
// instances are probed: they are up, so that a connection shows that it is cut off no longer.
func (r *Reach) Relayed(now time.Duration, id directory.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, found := r.losses[id]; found || !r.cutOff || now-r.sampledAt < sampleInterval {
		return
	}
	r.sampledAt = now
	r.losses[id] = &loss{suspected: true, probeAt: now, pause: firstPause}
}

// Reached records that an instance answered or accepted a connection. If this process was cut off, it is so no
// longer, and the other instances that became unreachable with it are probed at once.
func (r *Reach) Reached(now time.Duration, id directory.InstanceID) {
	if r.all.Load() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.losses, id)
	clear(r.failing)
	if r.cutOff {
		r.cutOff = false
		for _, other := range r.losses {
			if other.failedAt >= r.cutOffSince-cutOffWindow {
				other.probeAt = min(other.probeAt, now)
			}
		}
	}
	r.updateAll()
}

// updateAll updates the flag for the case that all instances are reachable. The mutex must be held.
func (r *Reach) updateAll() { r.all.Store(len(r.losses) == 0 && !r.cutOff) }

// DueProbes returns the instances to probe now. The caller calls ProbeEnded or ProbeAbandoned for each.
func (r *Reach) DueProbes(now time.Duration) []directory.InstanceID {
	if r.all.Load() {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var due []directory.InstanceID
	for id, known := range r.losses {
		if r.probes >= maxProbes {
			break
		}
		if !known.probing && known.probeAt <= now {
			known.probing = true
			r.probes++
			due = append(due, id)
		}
	}
	return due
}

// ProbeEnded records the result of a probe.
func (r *Reach) ProbeEnded(now time.Duration, id directory.InstanceID, connected bool) {
	r.mutex.Lock()
	r.probes--
	if known, found := r.losses[id]; found {
		known.probing = false
		known.probeAt = now + known.pause
		known.pause = min(2*known.pause, maxPause)
	}
	r.mutex.Unlock()
	if connected {
		r.Reached(now, id)
		return
	}
	r.failedProbe(now, id)
}

// ProbeAbandoned records that a probe could not be made; the instance is probed again.
func (r *Reach) ProbeAbandoned(now time.Duration, id directory.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.probes--
	if known, found := r.losses[id]; found {
		known.probing = false
		known.probeAt = now + known.pause
	}
}

// failedProbe records a failed probe of an instance that is still recorded: one that has answered meanwhile is
// reachable.
func (r *Reach) failedProbe(now time.Duration, id directory.InstanceID) {
	r.mutex.Lock()
	_, found := r.losses[id]
	r.mutex.Unlock()
	if found {
		r.Failed(now, id)
	}
}

// Unreachable returns the number of instances to which connections failed.
func (r *Reach) Unreachable() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.losses {
		if !known.suspected {
			count++
		}
	}
	return count
}

// Forget drops the instances that are no longer known.
func (r *Reach) Forget(known func(directory.InstanceID) bool) {
	if r.all.Load() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id := range r.losses {
		if !known(id) {
			delete(r.losses, id)
			delete(r.failing, id)
		}
	}
	if len(r.losses) == 0 {
		// Nothing is left whose probe could tell that this process is no longer cut off.
		r.cutOff = false
	}
	r.updateAll()
}
