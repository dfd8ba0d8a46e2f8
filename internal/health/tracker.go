package health

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Settings bound ejection.
type Settings struct {
	// Failures is how many consecutive failures eject a server.
	Failures int
	// BaseEjection is the first ejection's length; it doubles with each
	// failed probe up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// MaxRatio bounds the share of a service's servers that are left out.
	MaxRatio float64
}

// DefaultSettings eject after three failures for one to thirty seconds.
func DefaultSettings() Settings {
	return Settings{Failures: 3, BaseEjection: time.Second, MaxEjection: 30 * time.Second, MaxRatio: 0.5}
}

// Tracker holds the health of all back ends that one router knows.
type Tracker struct {
	settings Settings
	mutex    sync.Mutex
	servers  map[state.ServerID]*record
}

type record struct {
	failures  int
	ejections int
	ejected   bool
	// until is when the ejection allows a probe.
	until   time.Duration
	probing bool
	unwell  bool
	// drained is the server's revision at which it said that it drains.
	drained    bool
	drainedRev state.Revision
}

// NewTracker returns a tracker that thinks well of every server.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, servers: make(map[state.ServerID]*record)}
}

func (t *Tracker) record(id state.ServerID) *record {
	found, ok := t.servers[id]
	if !ok {
		found = &record{}
		t.servers[id] = found
	}
	return found
}

// Forget drops all servers that keep does not name, so that the tracker stays
// as small as the routing table.
func (t *Tracker) Forget(keep func(state.ServerID) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

// Succeeded records an answer of the server, also a refusal: it is alive. It
// reports whether that ended an ejection.
func (t *Tracker) Succeeded(id state.ServerID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.record(id)
	readmitted := found.ejected
	found.failures = 0
	found.ejections = 0
	found.ejected = false
	found.probing = false
	return readmitted
}

// Failed records a failed connection or a timeout. It ejects the server after
// enough of them in a row, or at once if the attempt was a probe. It reports
// whether that began an ejection; a probe that fails only prolongs one.
func (t *Tracker) Failed(id state.ServerID, now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.record(id)
	found.failures++
	ejected := found.ejected
	if found.probing || found.failures >= t.settings.Failures {
		t.eject(found, now)
	}
	return found.ejected && !ejected
}

func (t *Tracker) eject(found *record, now time.Duration) {
	if found.ejected && !found.probing && now < found.until {
		return
	}
	length := t.settings.BaseEjection
	for i := 0; i < found.ejections && length < t.settings.MaxEjection; i++ {
		length *= 2
	}
	found.ejections++
	found.ejected = true
	found.probing = false
	found.until = now + min(length, t.settings.MaxEjection)
}

// ProbeAbandoned gives back a probe whose attempt ended without an answer from
// the server, for instance because it never left the router's queue.
func (t *Tracker) ProbeAbandoned(id state.ServerID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(id).probing = false
}

// MarkDraining records that the server refused work because it drains. It gets no
// new work until the controllers change its object: a new session, or its
// leaving mark. It reports whether that was not known before.
func (t *Tracker) MarkDraining(server *state.Server) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.record(server.ID)
	known := found.drained && found.drainedRev == server.Revision
	found.drained = true
	found.drainedRev = server.Revision
	return !known
}

// Hint records the answer of the server's health endpoint.
func (t *Tracker) Hint(id state.ServerID, well bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(id).unwell = !well
}

// Draining reports whether the server refused work and has not changed since.
func (t *Tracker) Draining(server *state.Server) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, ok := t.servers[server.ID]
	return ok && found.drained && found.drainedRev == server.Revision
}

// Begin marks the start of an attempt at the server; after an ejection has run
// out it claims the one probe that is allowed at a time.
func (t *Tracker) Begin(id state.ServerID, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, ok := t.servers[id]
	if ok && found.ejected && now >= found.until {
		found.probing = true
	}
}

// Choose returns the servers that should get new work, best class first:
// neither ejected nor unwell. At most MaxRatio of the servers are left out for
// ejection, and never the last one; if more are ejected, the ones closest to
// their next probe come back. Health hints alone never empty the set. Draining servers never come
// back.
func (t *Tracker) Choose(servers []*state.Server, now time.Duration) []*state.Server {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	present := t.presentLocked(servers)
	usable, ejected := t.splitLocked(present, now)
	floor := max(1, len(present)-int(t.settings.MaxRatio*float64(len(present))))
	for len(usable) < floor && len(ejected) > 0 {
		soonest := t.soonestLocked(ejected)
		usable = append(usable, ejected[soonest])
		ejected = append(ejected[:soonest], ejected[soonest+1:]...)
	}
	if well := t.wellLocked(usable); len(well) > 0 {
		return well
	}
	return usable
}

func (t *Tracker) presentLocked(servers []*state.Server) []*state.Server {
	present := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		found, ok := t.servers[server.ID]
		if ok && found.drained && found.drainedRev == server.Revision {
			continue
		}
		present = append(present, server)
	}
	return present
}

func (t *Tracker) splitLocked(servers []*state.Server, now time.Duration) (usable, ejected []*state.Server) {
	for _, server := range servers {
		found, ok := t.servers[server.ID]
		if ok && found.ejected && (found.probing || now < found.until) {
			ejected = append(ejected, server)
			continue
		}
		usable = append(usable, server)
	}
	return usable, ejected
}

func (t *Tracker) soonestLocked(ejected []*state.Server) int {
	soonest := 0
	for i, server := range ejected {
		if t.servers[server.ID].until < t.servers[ejected[soonest].ID].until {
			soonest = i
		}
	}
	return soonest
}

func (t *Tracker) wellLocked(servers []*state.Server) []*state.Server {
	well := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if found, ok := t.servers[server.ID]; !ok || !found.unwell {
			well = append(well, server)
		}
	}
	return well
}
