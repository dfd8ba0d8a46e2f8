package health

import (
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Settings hold the limits of ejection.
type Settings struct {
	// Failures is the number of consecutive failures that eject a server.
	Failures int
	// BaseEjection is the length of the first ejection; it doubles with each failed probe up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// MaxRatio limits the share of a service's servers that are ejected at the same time.
	MaxRatio float64
}

// DefaultSettings eject a server after three failures for one to thirty seconds.
func DefaultSettings() Settings {
	return Settings{Failures: 3, BaseEjection: time.Second, MaxEjection: 30 * time.Second, MaxRatio: 0.5}
}

// Tracker holds the health of all back ends known to one router. It is safe for concurrent use.
type Tracker struct {
	settings Settings
	mutex    sync.Mutex
	servers  map[state.ServerID]*serverHealth
}

type serverHealth struct {
	failures  int
	ejections int
	ejected   bool
	// probeAt is when the ejection first allows a probe.
	probeAt   time.Duration
	probing   bool
	unhealthy bool
	// draining is true if the server refused work because it drains, at its revision drainRevision.
	draining      bool
	drainRevision state.Revision
}

// NewTracker returns a tracker that treats every server as healthy.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, servers: make(map[state.ServerID]*serverHealth)}
}

func (t *Tracker) healthOf(id state.ServerID) *serverHealth {
	h, ok := t.servers[id]
	if !ok {
		h = &serverHealth{}
		t.servers[id] = h
	}
	return h
}

// Forget removes all servers for which keep returns false, so that the tracker does not outgrow the routing
// table.
func (t *Tracker) Forget(keep func(state.ServerID) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

// Succeeded records an answer of the server, which may be a refusal: the server is alive. It reports whether
// that ended an ejection.
func (t *Tracker) Succeeded(id state.ServerID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.healthOf(id)
	readmitted := h.ejected
	h.failures = 0
	h.ejections = 0
	h.ejected = false
	h.probing = false
	return readmitted
}

// Failed records a failed connection or a timeout. It ejects the server after enough consecutive failures,
// or at once if the attempt was a probe. It reports whether that began an ejection; a failed probe only
// prolongs one.
func (t *Tracker) Failed(id state.ServerID, now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.healthOf(id)
	h.failures++
	ejected := h.ejected
	if h.probing || h.failures >= t.settings.Failures {
		t.eject(h, now)
	}
	return h.ejected && !ejected
}

func (t *Tracker) eject(h *serverHealth, now time.Duration) {
	if h.ejected && !h.probing && now < h.probeAt {
		return
	}
	length := t.settings.BaseEjection
	for i := 0; i < h.ejections && length < t.settings.MaxEjection; i++ {
		length *= 2
	}
	h.ejections++
	h.ejected = true
	h.probing = false
	h.probeAt = now + min(length, t.settings.MaxEjection)
}

// ProbeAbandoned allows another probe after one that ended without an answer from the server, for instance
// because the request never left the router's queue.
func (t *Tracker) ProbeAbandoned(id state.ServerID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.healthOf(id).probing = false
}

// MarkDraining records that the server refused work because it drains. The server gets no new work until its
// object changes, that is, until the controllers set a new session or its leaving mark. MarkDraining reports
// whether this was new.
func (t *Tracker) MarkDraining(server *state.Server) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.healthOf(server.ID)
	alreadyDraining := h.draining && h.drainRevision == server.Revision
	h.draining = true
	h.drainRevision = server.Revision
	return !alreadyDraining
}

// Hint records the answer of the server's health endpoint.
func (t *Tracker) Hint(id state.ServerID, healthy bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.healthOf(id).unhealthy = !healthy
}

// Draining reports whether the server refused work because it drains, and its object has not changed since.
func (t *Tracker) Draining(server *state.Server) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, ok := t.servers[server.ID]
	return ok && h.draining && h.drainRevision == server.Revision
}

// Begin records the start of an attempt at the server. Once an ejection has run out, the attempt is the one
// probe that is allowed at a time.
func (t *Tracker) Begin(id state.ServerID, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, ok := t.servers[id]
	if ok && h.ejected && now >= h.probeAt {
		h.probing = true
	}
}

// Choose returns the servers that may get new work: those that are not draining, not ejected and not
// unhealthy according to their health endpoint. Ejection leaves out at most MaxRatio of the servers, and
// never the last one; if more are ejected, those closest to their next probe are used again. If all
// remaining servers are unhealthy according to their health endpoints, these are ignored. Draining servers
// are never returned.
func (t *Tracker) Choose(servers []*state.Server, now time.Duration) []*state.Server {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	notDraining := t.notDrainingLocked(servers)
	usable, ejected := t.splitEjectedLocked(notDraining, now)
	minUsable := max(1, len(notDraining)-int(t.settings.MaxRatio*float64(len(notDraining))))
	for len(usable) < minUsable && len(ejected) > 0 {
		next := t.nextProbeLocked(ejected)
		usable = append(usable, ejected[next])
		ejected = append(ejected[:next], ejected[next+1:]...)
	}
	if healthy := t.healthyLocked(usable); len(healthy) > 0 {
		return healthy
	}
	return usable
}

func (t *Tracker) notDrainingLocked(servers []*state.Server) []*state.Server {
	notDraining := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		h, ok := t.servers[server.ID]
		if ok && h.draining && h.drainRevision == server.Revision {
			continue
		}
		notDraining = append(notDraining, server)
	}
	return notDraining
}

func (t *Tracker) splitEjectedLocked(servers []*state.Server, now time.Duration) (usable, ejected []*state.Server) {
	for _, server := range servers {
		h, ok := t.servers[server.ID]
		if ok && h.ejected && (h.probing || now < h.probeAt) {
			ejected = append(ejected, server)
			continue
		}
		usable = append(usable, server)
	}
	return usable, ejected
}

// nextProbeLocked returns the index of the server that is closest to its next probe.
func (t *Tracker) nextProbeLocked(ejected []*state.Server) int {
	soonest := 0
	for i, server := range ejected {
		if t.servers[server.ID].probeAt < t.servers[ejected[soonest].ID].probeAt {
			soonest = i
		}
	}
	return soonest
}

func (t *Tracker) healthyLocked(servers []*state.Server) []*state.Server {
	healthy := make([]*state.Server, 0, len(servers))
	for _, server := range servers {
		if h, ok := t.servers[server.ID]; !ok || !h.unhealthy {
			healthy = append(healthy, server)
		}
	}
	return healthy
}
