package router

import (
	"context"
	"math"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"time"
)

const (
	// memoryInterval is the time between two looks at the live heap.
	memoryInterval = time.Second
	// liveMetric is the heap that the last collection found in use, in bytes.
	liveMetric = "/gc/heap/live:bytes"
	// limitedShare is the part of the limit, in percent, that the live heap may
	// reach. Beyond it a limit would make the collector run all the time.
	limitedShare = 60
	noLimit      = int64(math.MaxInt64)
)

// memoryLimit returns the collector's limit for a live heap, both in bytes.
func memoryLimit(configured, live uint64) int64 {
	const percent = 100
	if configured == 0 || live > configured/percent*limitedShare {
		return noLimit
	}
	return int64(min(configured, uint64(noLimit)))
}

// limitMemory keeps the collector's limit until the context ends. The limit is
// the process's, so that only the process's own router may call it.
func limitMemory(ctx context.Context, configured uint64) {
	if configured == 0 {
		return
	}
	sample := []runtimemetrics.Sample{{Name: liveMetric}}
	inForce := noLimit
	for ctx.Err() == nil {
		runtimemetrics.Read(sample)
		if wanted := memoryLimit(configured, sample[0].Value.Uint64()); wanted != inForce {
			debug.SetMemoryLimit(wanted)
			inForce = wanted
		}
		pause(ctx, memoryInterval)
	}
}
