package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// loadInterval is the time between two lines about what a controller has done.
const loadInterval = time.Second

// controlLoad counts what a controller does for servers and gateways. It is safe for concurrent
// use.
type controlLoad struct {
	mutex  sync.Mutex
	counts loadCounts
}

// loadCounts are what was done since the last line.
type loadCounts struct {
	// Heartbeats are those answered, by the kind of failure; empty for those that were taken.
	Heartbeats map[fault.Kind]int `json:"heartbeats,omitempty"`
	// SlowestMs is how long the slowest answer took.
	SlowestMs int64 `json:"slowest_ms"`
	// Batches are those that were decided, Decisions what was decided in them, and LongestMs and
	// CommittedMs how long the longest took to be decided and to be applied.
	Batches     int   `json:"batches"`
	Decisions   int   `json:"decisions"`
	LongestMs   int64 `json:"longest_ms"`
	CommittedMs int64 `json:"committed_ms"`
	// Frames are those of the directory that were encoded.
	Frames int `json:"frames"`
}

func (l *controlLoad) heartbeat(took time.Duration, err error) {
	kind := fault.Kind("")
	if err != nil {
		kind = fault.KindOf(err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts.Heartbeats == nil {
		l.counts.Heartbeats = make(map[fault.Kind]int)
	}
	l.counts.Heartbeats[kind]++
	l.counts.SlowestMs = max(l.counts.SlowestMs, took.Milliseconds())
}

func (l *controlLoad) batch(decisions int, decided, committed time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Batches++
	l.counts.Decisions += decisions
	l.counts.LongestMs = max(l.counts.LongestMs, decided.Milliseconds())
	l.counts.CommittedMs = max(l.counts.CommittedMs, committed.Milliseconds())
}

func (l *controlLoad) frame() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts.Frames++
}

// take returns what was counted since the last call.
func (l *controlLoad) take() loadCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	taken := l.counts
	taken.Heartbeats = maps.Clone(taken.Heartbeats)
	l.counts = loadCounts{}
	return taken
}

// reportLoad logs what the controller does until the context ends.
func (r *replica) reportLoad(ctx context.Context) {
	clock.Every(ctx, loadInterval, func() {
		counts := r.load.take()
		if len(counts.Heartbeats) == 0 && counts.Batches == 0 && counts.Frames == 0 {
			return
		}
		telemetry.With(r.log, telemetry.EventControlLoad).WithField("leads", r.published.Load().leading).
			WithField("streams", r.directoryStreams.Load()).WithField("load", counts).Info("work of this controller")
	})
}
