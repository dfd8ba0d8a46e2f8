package router

import (
	"context"
	"math"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"time"
)

const (
	// memoryInterval is the interval at which the live heap is checked.
	memoryInterval = time.Second
	// liveHeapMetric is the runtime metric of the heap that the last garbage collection found
	// in use, in bytes.
	liveHeapMetric = "/gc/heap/live:bytes"
	// maxLivePercent is the size of the live heap, in percent of the configured limit, up to
	// which the limit is set. Above it, the limit would make the garbage collector run all
	// the time.
	maxLivePercent = 60
	noMemoryLimit  = int64(math.MaxInt64)
)

// memoryLimit returns the garbage collector's memory limit for a configured limit and the
// size of the live heap, all in bytes. A configured limit of zero means none.
func memoryLimit(configured, live uint64) int64 {
	const percent = 100
	if configured == 0 || live > configured/percent*maxLivePercent {
		return noMemoryLimit
	}
	return int64(min(configured, uint64(noMemoryLimit)))
}

// limitMemory adjusts the garbage collector's memory limit until the context ends. The
// limit applies to the whole process, so it must not be called for a router that shares its
// process with others.
func limitMemory(ctx context.Context, configured uint64) {
	if configured == 0 {
		return
	}
	sample := []runtimemetrics.Sample{{Name: liveHeapMetric}}
	current := noMemoryLimit
	for ctx.Err() == nil {
		runtimemetrics.Read(sample)
		if wanted := memoryLimit(configured, sample[0].Value.Uint64()); wanted != current {
			debug.SetMemoryLimit(wanted)
			current = wanted
		}
		pause(ctx, memoryInterval)
	}
}
