package backpressure

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Tracker keeps the signals of each instance.
type Tracker struct {
	instances map[directory.InstanceID]*instanceState
}

// instanceState holds the signals of one instance.
type instanceState struct {
	// limit is in requests per second; zero for none.
	limit float64
	// limitSince is when the limit got its current value, confirmedAt when an answer last named a
	// limit.
	limitSince  time.Duration
	confirmedAt time.Duration
	// leaving is true once the instance announced that it is leaving, first at leavingSince.
	leaving      bool
	leavingSince time.Duration
	// awaitingRecovery is true from the first rest that the instance asked for until it answers a
	// request that was sent after the rest.
	awaitingRecovery bool
	// restUntil is when the rest ends. A request sent after it is the probe; others wait for its
	// answer until probeUntil.
	restUntil  time.Duration
	probeUntil time.Duration
}

// probeTimeout is how long other requests wait for the answer to the first one after a rest.
const probeTimeout = 300 * time.Millisecond

// Change describes how a signal changed the state of an instance.
type Change struct {
	// Limit is true if the limit began, ended or changed. From and To are in requests per second,
	// zero for none.
	Limit    bool
	From, To float64
	// Leaving is true if this is the first announcement that the instance is leaving.
	Leaving bool
	// Rest is true if a rest began and the instance was not resting before.
	Rest bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{instances: make(map[directory.InstanceID]*instanceState)}
}

// Note records the signal of an answer that arrived now, for a request sent at sentAt. Answers may
// arrive in a different order than the instance sent them.
func (t *Tracker) Note(now, sentAt time.Duration, id directory.InstanceID, signal Signal) Change {
	state, ok := t.instances[id]
	if !ok {
		if signal == (Signal{}) {
			return Change{}
		}
		state = &instanceState{}
		t.instances[id] = state
	}
	change := Change{Leaving: signal.Leaving && !state.leaving, Rest: signal.Rest > 0 && now >= state.restUntil}
	if change.Leaving {
		state.leaving, state.leavingSince = true, now
	}
	state.noteRest(now, sentAt, signal)
	state.noteLimit(now, sentAt, signal, &change)
	if state.limit == 0 && !state.leaving && !state.awaitingRecovery {
		delete(t.instances, id)
	}
	return change
}

// noteRest records the rest of an answer. An answer to a request sent before the rest ended does
// not shorten it.
func (s *instanceState) noteRest(now, sentAt time.Duration, signal Signal) {
	switch {
	case signal.Rest > 0:
		s.awaitingRecovery = true
		s.restUntil = max(s.restUntil, now+signal.Rest)
	case sentAt >= s.restUntil:
		s.awaitingRecovery = false
	default:
	}
}

// noteLimit records the limit of an answer. An answer to a request sent before the current limit
// was known may be older than the limit, so it can only lower it.
func (s *instanceState) noteLimit(now, sentAt time.Duration, signal Signal, change *Change) {
	if signal.LimitUnreadable {
		return
	}
	if signal.Limit > 0 {
		s.confirmedAt = now
	}
	lower := signal.Limit > 0 && (s.limit == 0 || signal.Limit < s.limit)
	if signal.Limit == s.limit || !lower && sentAt < s.limitSince {
		return
	}
	change.Limit, change.From, change.To = true, s.limit, signal.Limit
	s.limit, s.limitSince = signal.Limit, now
}

// Limit returns the limit of an instance, in requests per second, and the time since an answer last
// named one; zero for none.
func (t *Tracker) Limit(now time.Duration, id directory.InstanceID) (limit float64, age time.Duration) {
	state, ok := t.instances[id]
	if !ok || state.limit == 0 {
		return 0, 0
	}
	return state.limit, now - state.confirmedAt
}

// Rest returns how long no request may be sent to an instance; zero if one may be sent.
func (t *Tracker) Rest(now time.Duration, id directory.InstanceID) time.Duration {
	state, ok := t.instances[id]
	if !ok || !state.awaitingRecovery {
		return 0
	}
	return max(0, state.restUntil-now, state.probeUntil-now)
}

// Begin must be called right before a request is sent to an instance, and returns the same as Rest.
// The first request after a rest is a probe: others wait until it is answered or probeTimeout
// passed.
func (t *Tracker) Begin(now time.Duration, id directory.InstanceID) time.Duration {
	wait := t.Rest(now, id)
	if state, ok := t.instances[id]; ok && state.awaitingRecovery && wait == 0 {
		state.probeUntil = now + probeTimeout
	}
	return wait
}

// Leaving returns how long ago an instance announced that it is leaving, or false if it has not.
func (t *Tracker) Leaving(now time.Duration, id directory.InstanceID) (time.Duration, bool) {
	state, ok := t.instances[id]
	if !ok || !state.leaving {
		return 0, false
	}
	return now - state.leavingSince, true
}

// Instances returns the number of instances with a signal in force.
func (t *Tracker) Instances() int { return len(t.instances) }

// Forget drops the instances for which known returns false.
func (t *Tracker) Forget(known func(directory.InstanceID) bool) {
	for id := range t.instances {
		if !known(id) {
			delete(t.instances, id)
		}
	}
}
