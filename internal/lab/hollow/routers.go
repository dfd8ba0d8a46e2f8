package hollow

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// RouterOptions describe a set of hollow routers.
type RouterOptions struct {
	Count  int
	Prefix string
	// Tables is how many of them keep a whole table and check the digest of
	// each change. The others check that changes leave no gap, and hold the
	// digest that came last; Check compares it.
	Tables int
	// Controllers are peer addresses, IP:port.
	Controllers  []string
	PingInterval time.Duration
	// OnObjects, when not nil, is told by the first router of the objects of
	// each snapshot and change that it took.
	OnObjects func(at time.Duration, objects []state.Object)
}

// Routers are hollow routers: each holds one table connection.
type Routers struct {
	routers []*router
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

// StartRouters starts hollow routers; they connect in the background.
func StartRouters(options RouterOptions) *Routers {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Routers{cancel: cancel}
	for number := range options.Count {
		created := newRouter(fmt.Sprintf("%s-%05d", options.Prefix, number), options, number < options.Tables)
		if number == 0 {
			created.onObjects = options.OnObjects
		}
		r.routers = append(r.routers, created)
		r.group.Go(func() { created.run(ctx) })
	}
	return r
}

// Stop ends every router.
func (r *Routers) Stop() {
	r.cancel()
	r.group.Wait()
}

// RouterCounts is what the routers took since they began. Messages are pongs.
type RouterCounts struct {
	Traffic
	Snapshots uint64 `json:"snapshots"`
	Deltas    uint64 `json:"deltas"`
	// Breaks counts connections that ended.
	Breaks uint64 `json:"breaks"`
	// Faults counts frames that did not fit the table.
	Faults uint64 `json:"faults"`
}

// Counts reads the counters.
func (r *Routers) Counts() RouterCounts {
	var counts RouterCounts
	for _, known := range r.routers {
		traffic := known.read()
		counts.Messages += traffic.Messages
		counts.Received += traffic.Received
		counts.Sent += traffic.Sent
		counts.Snapshots += known.snapshots.Load()
		counts.Deltas += known.deltas.Load()
		counts.Breaks += known.breaks.Load()
		counts.Faults += known.faults.Load()
	}
	return counts
}

// Minus returns the counts since an earlier reading.
func (c RouterCounts) Minus(earlier RouterCounts) RouterCounts {
	return RouterCounts{
		Traffic:   c.Traffic.Minus(earlier.Traffic),
		Snapshots: c.Snapshots - earlier.Snapshots,
		Deltas:    c.Deltas - earlier.Deltas,
		Breaks:    c.Breaks - earlier.Breaks,
		Faults:    c.Faults - earlier.Faults,
	}
}

// pollInterval bounds the error of the times that the Wait methods return.
const pollInterval = time.Millisecond

// WaitRevision waits until the revision is in force on every router and returns
// the moment, by record.Monotonic.
func (r *Routers) WaitRevision(ctx context.Context, revision state.Revision) (time.Duration, error) {
	return r.waitAll(ctx, fmt.Sprintf("revision %d", revision), func(known *router) bool {
		return known.revision.Load() >= uint64(revision)
	})
}

// WaitProved waits until every router's table was proved current by a ping that
// it sent after a moment of record.Monotonic.
func (r *Routers) WaitProved(ctx context.Context, after time.Duration) (time.Duration, error) {
	return r.waitAll(ctx, "proof of a current table", func(known *router) bool {
		return known.proved.Load() > int64(after)
	})
}

func (r *Routers) waitAll(ctx context.Context, what string, holds func(*router) bool) (time.Duration, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for position := 0; position < len(r.routers); {
		if holds(r.routers[position]) {
			position++
			continue
		}
		select {
		case <-ctx.Done():
			return 0, eris.Errorf("%s waited without success for %s", r.routers[position].id, what)
		case <-ticker.C:
		}
	}
	return clock.BootTime(), nil
}

// Check compares what the routers hold once no change is under way: the same
// revision and the same digest everywhere.
func (r *Routers) Check() error {
	first := r.routers[0].position()
	for _, known := range r.routers {
		if held := known.position(); held != first {
			return eris.Errorf("%s holds %+v, %s holds %+v", known.id, held, r.routers[0].id, first)
		}
		if faults := known.faults.Load(); faults > 0 {
			return eris.Errorf("%s took %d frames that did not fit its table", known.id, faults)
		}
	}
	return nil
}

// position is what a router holds.
type position struct {
	cluster  message.ClusterID
	revision state.Revision
	digest   uint64
}
