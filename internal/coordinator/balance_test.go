package coordinator

import (
	"math"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// loadedFleet is a fleet of four servers with four slots each. The servers report
// requests for their shards in proportion to weight, which gives the load of a key
// range, and busy slots as with a service time of 10 ms a request.
type loadedFleet struct {
	*fleet
	weight func(keys state.KeyRange) float64
	// alterReport, if set, changes a report before it is sent.
	alterReport func(server state.ServerID, report *backendapi.LoadReport)
	// hotKey is a key whose requests servers count separately; zero for none.
	hotKey uint64
	// unreported holds the fractions of requests that were not yet reported.
	unreported map[state.ShardID]float64
	// maxMoving is the largest number of shards that were moving at once.
	maxMoving int
}

func newLoadedFleet(t *testing.T, automatic bool, weight func(keys state.KeyRange) float64) *loadedFleet {
	t.Helper()
	l := &loadedFleet{fleet: newFleet(4, 32), weight: weight, unreported: make(map[state.ShardID]float64)}
	l.fleet.report = l.report
	service, _ := l.view.Service("s")
	service.Placement.Automatic = automatic
	service.MaxMoves = 2
	service.Weights = state.Weights{Imbalance: 1, Churn: 0.2, Unavailable: 1}
	plan := state.Plan{ID: "policy", Operations: []state.Operation{{PutService: &service}}}
	l.apply(state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	l.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	return l
}

// requestsPerReport is the number of requests to the service in one report
// interval, at a total weight of 1.
const requestsPerReport = 3000

func (l *loadedFleet) report(server state.ServerID, loads bool) backendapi.LoadReport {
	report := backendapi.LoadReport{Slots: 4}
	total := 0.0
	for _, shard := range l.view.OwnedBy(server) {
		requests := requestsPerReport * l.weight(shard.Range)
		total += requests
		if loads {
			report.ShardLoads = append(report.ShardLoads, l.shardLoad(shard, requests))
		}
	}
	// At 10 ms a request, 500 requests in a report interval of 5 s keep one slot
	// busy.
	const perBusySlot = 500
	report.Running = int(total/perBusySlot + 0.5)
	if l.alterReport != nil {
		l.alterReport(server, &report)
	}
	return report
}

func (l *loadedFleet) shardLoad(shard state.Shard, requests float64) backendapi.ShardLoad {
	requests += l.unreported[shard.ID]
	l.unreported[shard.ID] = requests - math.Floor(requests)
	load := backendapi.ShardLoad{Shard: uint64(shard.ID), Requests: uint64(requests)}
	if l.hotKey != 0 && shard.Range.Contains(l.hotKey) {
		alone := l.weight(state.KeyRange{First: l.hotKey, Last: l.hotKey})
		load.HotHash, load.HotRequests = l.hotKey, uint64(requestsPerReport*alone)
	}
	return load
}

func (l *loadedFleet) run(duration time.Duration) {
	for end := l.now + duration; l.now < end; {
		l.tick()
		moving := 0
		for _, shard := range l.view.ActiveShards() {
			if shard.Phase != state.ShardOwned {
				moving++
			}
		}
		l.maxMoving = max(l.maxMoving, moving)
	}
}

// share returns a server's share of the load.
func (l *loadedFleet) share(server state.ServerID) float64 {
	own, all := 0.0, 0.0
	for _, shard := range l.view.ShardsOf("s") {
		all += l.weight(shard.Range)
		if shard.Owner == server {
			own += l.weight(shard.Range)
		}
	}
	return own / all
}

// busyEveryFourth gives every fourth shard, all of which the first server owns at
// the start, four times the load of the others.
func busyEveryFourth(keys state.KeyRange) float64 {
	const shards, factor = 32, 4
	if keys.First/(1<<63/(shards/2))%4 == 0 {
		return factor * keys.Width()
	}
	return keys.Width()
}

func TestBalanceFollowsThePolicy(t *testing.T) {
	l := newLoadedFleet(t, false, busyEveryFourth)
	before := l.share(fleetServerID(0))
	l.run(2 * time.Minute)
	if l.share(fleetServerID(0)) != before || l.maxMoving > 0 {
		t.Fatalf("shards moved although automatic placement is off: share %g", l.share(fleetServerID(0)))
	}
	l = newLoadedFleet(t, true, busyEveryFourth)
	l.run(2 * time.Minute)
	if share := l.share(fleetServerID(0)); before < 0.5 || share > 0.4 {
		t.Errorf("the busiest server had a share of %g of the load at the start and now has %g", before, share)
	}
	if l.maxMoving == 0 || l.maxMoving > 2 {
		t.Errorf("%d shards moved at once, want 1 or 2", l.maxMoving)
	}
	settled := l.view.Revision()
	l.run(5 * time.Minute)
	if l.view.Revision() != settled {
		t.Error("shards moved again although the load was balanced")
	}
}

// A shard with two hot keys is split, because no server can carry the load of
// both.
func TestHotRangeIsSplit(t *testing.T) {
	hot := [2]uint64{12345, 1<<58 + 12345}
	l := newLoadedFleet(t, true, func(keys state.KeyRange) float64 {
		load := keys.Width()
		for _, hash := range hot {
			if keys.Contains(hash) {
				load += 0.3
			}
		}
		return load
	})
	l.run(8 * time.Minute)
	first, _ := l.view.ShardAt("s", hot[0])
	second, _ := l.view.ShardAt("s", hot[1])
	if first.ID == second.ID || first.Owner == second.Owner {
		t.Fatalf("both hot keys are still on one server: %+v and %+v", first, second)
	}
	for _, shard := range []state.Shard{first, second} {
		if share := l.share(shard.Owner); share > 0.3 {
			t.Errorf("server %s has a share of %g of the load, want at most 0.3", shard.Owner, share)
		}
	}
}

// Reports without busy slots, as from servers with few requests, must not change
// the smoothed time of a request, and so not the loads either.
func TestQuietReportsKeepTheTimeOfARequest(t *testing.T) {
	l := newLoadedFleet(t, true, func(keys state.KeyRange) float64 { return keys.Width() })
	l.run(time.Minute)
	before := l.core.balancer.serverLoad("s", fleetServerID(0))
	l.alterReport = func(_ state.ServerID, report *backendapi.LoadReport) { report.Running = 0 }
	l.run(time.Minute)
	after := l.core.balancer.serverLoad("s", fleetServerID(0))
	if before < 1 || math.Abs(after/before-1) > 0.1 || l.maxMoving > 0 {
		t.Errorf("load changed from %g to %g, and %d shards moved", before, after, l.maxMoving)
	}
}

// A hot key that servers count separately is split off and moved alone, even if
// the weight of churn is high, because a single key causes almost none.
func TestHotKeyMovesAlone(t *testing.T) {
	const hot = 1<<57 + 5
	l := newLoadedFleet(t, true, func(keys state.KeyRange) float64 {
		if keys.Contains(hot) {
			return 0.2 + keys.Width()
		}
		return keys.Width()
	})
	l.hotKey = hot
	service, _ := l.view.Service("s")
	service.Weights.Churn = 20
	plan := state.Plan{ID: "dear", Operations: []state.Operation{{PutService: &service}}}
	l.apply(state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	l.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	// The new server owns only what is moved to it.
	added := state.Server{ID: "server-9999", Service: "s", Zone: "a", Slots: 4, Intent: state.ServerActive}
	plan = state.Plan{ID: "add", Operations: []state.Operation{{PutServer: &added}}}
	l.apply(state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	l.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
	l.run(3 * time.Minute)
	alone, _ := l.view.ShardAt("s", hot)
	if alone.Range.First != alone.Range.Last || alone.Owner != added.ID {
		t.Fatalf("the hot key is not in a shard of its own on the new server: %+v", alone)
	}
	if rest, _ := l.view.ShardAt("s", hot-1); rest.Owner != fleetServerID(0) || rest.Epoch != 1 {
		t.Errorf("the rest of the shard moved as well: %+v", rest)
	}
}

// A server that overstates its busy slots, and reports requests for shards that it
// does not own, must not cause moves.
func TestBalanceIsNotMisled(t *testing.T) {
	l := newLoadedFleet(t, true, func(keys state.KeyRange) float64 { return keys.Width() })
	l.alterReport = func(server state.ServerID, report *backendapi.LoadReport) {
		if server != fleetServerID(1) {
			return
		}
		report.Running = 1000
		for shard := range uint64(33) {
			if known, found := l.view.Shard(state.ShardID(shard)); found && known.Owner != server {
				report.ShardLoads = append(report.ShardLoads, backendapi.ShardLoad{Shard: shard, Requests: 1 << 30})
			}
		}
	}
	l.run(3 * time.Minute)
	if l.maxMoving > 0 {
		t.Errorf("false load reports of one server caused moves: %d shards at once", l.maxMoving)
	}
}

// After the loss of more shards than one batch holds, assignments are proposed
// server by server, so that each server's set changes only a few times. The lost
// servers, including one that is lost meanwhile, end up with no shards.
func TestLargeLossIsAssignedServerByServer(t *testing.T) {
	f := newFleet(40, 4000)
	f.core.config.MaxBatch = 50
	for range 100 {
		f.tick()
	}
	for number := range 10 {
		f.lost[fleetServerID(number)] = true
	}
	for f.view.ActiveCount() == 0 {
		f.tick()
	}
	versions := make(map[state.ServerID]int)
	last := make(map[state.ServerID]state.Revision)
	f.lost[fleetServerID(20)] = true
	for f.view.ActiveCount() > 0 || f.view.OwnedCount(fleetServerID(20)) > 0 {
		f.tick()
		for number := 21; number < 40; number++ {
			id := fleetServerID(number)
			if version := f.view.AssignmentVersion(id); version != last[id] {
				versions[id]++
				last[id] = version
			}
		}
	}
	for id, count := range versions {
		if count > 8 {
			t.Errorf("the assignments of %s changed %d times, want at most 8", id, count)
		}
	}
	for number := range 10 {
		if f.view.OwnedCount(fleetServerID(number)) > 0 {
			t.Errorf("lost server %d still owns shards", number)
		}
	}
}
