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

// loadInterval is the time between two log lines about the work of a controller.
const loadInterval = time.Second

// controlLoad counts the work that a controller does for servers and gateways. It is safe for concurrent use.
type controlLoad struct {
	mutex  sync.Mutex
	counts loadCounts
}

// loadCounts are the counts since the last log line.
type loadCounts struct {
	// Heartbeats counts the answered heartbeats by the kind of failure; the kind is empty for accepted ones.
	Heartbeats map[fault.Kind]int `json:"heartbeats,omitempty"`
	// SlowestMs is the duration of the slowest answer.
	SlowestMs int64 `json:"slowest_ms"`
	// Batches and Decisions count the decided batches and the decisions in them. LongestMs and CommittedMs are
	// the longest times from the start of a batch until it was decided and until it was applied.
	Batches     int   `json:"batches"`
	Decisions   int   `json:"decisions"`
	LongestMs   int64 `json:"longest_ms"`
	CommittedMs int64 `json:"committed_ms"`
	// Frames counts the encoded frames of the directory.
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

// take returns the counts since the last call and resets them.
func (l *controlLoad) take() loadCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.counts
	counts.Heartbeats = maps.Clone(counts.Heartbeats)
	l.counts = loadCounts{}
	return counts
}

// reportLoad logs the work of the controller at each interval until the context ends.
func (r *replica) reportLoad(ctx context.Context) {
	clock.Every(ctx, loadInterval, func() {
		counts := r.load.take()
		if len(counts.Heartbeats) == 0 && counts.Batches == 0 && counts.Frames == 0 {
			return
		}
		telemetry.With(r.log, telemetry.EventControlLoad).WithField("leads", r.published.Load().leading).
			WithField("streams", r.directoryStreams.Load()).WithField("load", counts).Info("control-plane load")
	})
}
