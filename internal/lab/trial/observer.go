package trial

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/httpclient"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/router"
	"github.com/thorntiller/thorntiller/internal/state"
)

const (
	observeInterval = 250 * time.Millisecond
	observeTimeout  = time.Second
	tableName       = "table"
)

// observer asks the controllers for assignments, by reads that claim to be
// current, and the routers for the table revision in force.
type observer struct {
	// accepting guards revisions.Accepted, which several operators append to.
	accepting   sync.Mutex
	fleet       *fleet.Fleet
	assignments record.AssignmentHistory
	revisions   record.RevisionHistory
	// known are the shards that any read showed, as the last one did.
	known map[state.ShardID]state.Shard
}

func newObserver(running *fleet.Fleet) *observer {
	return &observer{fleet: running, known: make(map[state.ShardID]state.Shard)}
}

func (o *observer) run(ctx context.Context) {
	clock.Every(ctx, observeInterval, func() {
		// A read that fails during a fault is no observation.
		_ = o.observeOnce(ctx)
	})
}

// observeOnce reads everything once. Each owned shard that a current read shows
// was acknowledged, so later reads must not lack it.
func (o *observer) observeOnce(ctx context.Context) error {
	return o.readAll(ctx, true)
}

// observeLast reads everything at the end of a trial. Nothing is read after it,
// so it only checks what earlier reads showed.
func (o *observer) observeLast(ctx context.Context) error {
	return o.readAll(ctx, false)
}

func (o *observer) readAll(ctx context.Context, acknowledge bool) error {
	ctx, cancel := context.WithTimeout(ctx, 5*observeTimeout)
	defer cancel()
	services, err := o.fleet.Client().Services(ctx)
	if err != nil {
		return eris.Wrap(err, "read the services")
	}
	for _, service := range services {
		if err := o.observeService(ctx, service, acknowledge); err != nil {
			return err
		}
	}
	for _, node := range o.fleet.Routers {
		o.observeRouter(node)
	}
	return nil
}

func (o *observer) observeService(ctx context.Context, service state.Service, acknowledge bool) error {
	asked := clock.BootTime().Nanoseconds()
	shards, err := o.fleet.Client().Shards(ctx, service.Name)
	if err != nil {
		return eris.Wrapf(err, "read the shards of %s", service.Name)
	}
	answered := clock.BootTime().Nanoseconds()
	o.observeMissing(service.Name, shards, asked)
	for _, shard := range shards {
		o.known[shard.ID] = shard
		if shard.Owner == "" {
			continue
		}
		seen := record.Assignment{
			Service: string(service.Name), Shard: uint64(shard.ID), Epoch: uint64(shard.Epoch),
			Server: string(shard.Owner), AtNs: asked, Source: "leader",
		}
		o.assignments.Observed = append(o.assignments.Observed, seen)
		if !acknowledge {
			continue
		}
		seen.AtNs = answered
		o.assignments.Acknowledged = append(o.assignments.Acknowledged, seen)
	}
	return nil
}

// observeMissing records the shards that an earlier read showed and this one
// lacks. A shard that was merged is not missing: the one that took its keys is
// observed in its place.
func (o *observer) observeMissing(service state.ServiceName, shards []state.Shard, asked int64) {
	listed := make(map[state.ShardID]bool, len(shards))
	for _, shard := range shards {
		listed[shard.ID] = true
	}
	for id, earlier := range o.known {
		if earlier.Service == service && !listed[id] {
			seen := record.Assignment{Service: string(service), Shard: uint64(id), AtNs: asked, Source: "leader", Missing: true}
			if merged, found := mergedInto(earlier, shards); found {
				seen.Missing, seen.Epoch, seen.Server = false, uint64(merged.Epoch), string(merged.Owner)
			}
			o.assignments.Observed = append(o.assignments.Observed, seen)
		}
	}
}

// mergedInto returns the shard that took the keys of one which is gone, if there
// is one. The first key of a shard leaves it by a merge alone, which raises the
// epoch above those of both.
func mergedInto(gone state.Shard, shards []state.Shard) (state.Shard, bool) {
	for _, shard := range shards {
		if shard.Range.Contains(gone.Range.First) {
			return shard, shard.Epoch > gone.Epoch
		}
	}
	return state.Shard{}, false
}

func (o *observer) observeRouter(node *fleet.Node) {
	if !node.Running() {
		return
	}
	status, body, err := httpclient.Default.GetTimeout(nil, "http://"+node.AdminAddress+router.PathTable, observeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var table router.TableSummary
	if err := json.Unmarshal(body, &table); err != nil || !table.Fresh {
		return
	}
	o.revisions.Observed = append(o.revisions.Observed, record.Revision{
		Name: tableName, Revision: uint64(table.Revision), Digest: strconv.FormatUint(table.Digest, 16),
		AtNs: clock.BootTime().Nanoseconds(), Source: node.Name,
	})
}

// accept records that a plan was accepted at a revision.
func (o *observer) accept(plan state.Plan) {
	o.accepting.Lock()
	defer o.accepting.Unlock()
	o.revisions.Accepted = append(o.revisions.Accepted, record.Revision{
		Name: tableName, Revision: uint64(plan.Accepted), AtNs: clock.BootTime().Nanoseconds(),
	})
}
