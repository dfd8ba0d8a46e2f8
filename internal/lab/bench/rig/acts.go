package rig

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Change is the course of one configuration change, from the moment at which
// the operator confirmed it.
type Change struct {
	// Accepted is until the answer to the confirmation.
	Accepted time.Duration
	// InForce is until every hollow router had the change in its table.
	InForce time.Duration
}

// Configure changes the settings of the service.
func (r *Rig) Configure(ctx context.Context, timeoutMs int64) (Change, error) {
	r.intents++
	client := r.Fleet.Client()
	plan, err := client.Plan(ctx, state.Intent{
		ID: state.IntentID(fmt.Sprintf("configure-%d", r.intents)), Operator: operator, Kind: state.IntentUpdateService,
		UpdateService: &state.UpdateService{Name: Service, Settings: Settings(timeoutMs)},
	})
	if err != nil {
		return Change{}, err
	}
	began := clock.BootTime()
	confirmed, err := client.Confirm(ctx, plan.ID, intentapi.ConfirmRequest{Operator: operator, Digest: plan.Digest})
	if err != nil {
		return Change{}, err
	}
	accepted := clock.BootTime()
	everywhere, err := r.Routers.WaitRevision(ctx, confirmed.Accepted)
	return Change{Accepted: accepted - began, InForce: everywhere - began}, err
}

// Move moves one key to another server and waits until the move is complete.
func (r *Rig) Move(ctx context.Context, key string) (time.Duration, error) {
	began := clock.BootTime()
	plan, err := r.Execute(ctx, state.Intent{Kind: state.IntentMoveKey, MoveKey: &state.MoveKey{Service: Service, Key: key}})
	if err != nil {
		return 0, err
	}
	if _, err := r.Routers.WaitRevision(ctx, plan.Accepted); err != nil {
		return 0, err
	}
	err = r.wait(ctx, "the move of "+key, r.allSettled)
	return clock.BootTime() - began, err
}

// Spread moves shards until the servers own about the same number: shards go to
// the servers that answer first.
func (r *Rig) Spread(ctx context.Context) error {
	plan, err := r.Execute(ctx, state.Intent{Kind: state.IntentRebalance, Rebalance: &state.Rebalance{Service: Service}})
	if err != nil {
		return err
	}
	if _, err := r.Routers.WaitRevision(ctx, plan.Accepted); err != nil {
		return err
	}
	return r.wait(ctx, "the moves of a rebalance", r.allSettled)
}

// WaitInForce waits until every server holds exactly its assignments.
func (r *Rig) WaitInForce(ctx context.Context) error {
	return fleet.WaitFor(ctx, "assignments in force on every server", func() bool {
		leader, err := r.Fleet.Leader(ctx)
		if err != nil {
			return false
		}
		status, err := r.Fleet.Client().Status(ctx, leader.AdminAddress)
		if err != nil {
			return false
		}
		return !slices.ContainsFunc(status.Servers, func(server intentapi.ServerStatus) bool { return !server.InForce })
	})
}

// Loss is the course of the silent loss of servers, from the moment at which
// they went silent.
type Loss struct {
	Servers int
	Shards  int
	// LeaseLeft is how long the last lease that a server held still ran.
	LeaseLeft time.Duration
	// Closed is until a router's table showed the last session closed.
	Closed time.Duration
	// Owned is until a router's table showed a new owner for the last shard.
	Owned time.Duration
	// Granted is until the new owner of the last shard took its grant.
	Granted time.Duration
	// Everywhere is until every hollow router had all new owners.
	Everywhere time.Duration
}

// Total is the time until a request for any shard can be served again.
func (l Loss) Total() time.Duration {
	return max(l.Granted, l.Everywhere)
}

// Owners returns servers that own at least the mean number of shards, spread
// over all of them.
func (r *Rig) Owners(count int) []int {
	mean := r.options.Shards / r.options.Servers
	owned := r.observer.owned()
	var owners []int
	for number := range r.options.Servers {
		if shards := owned[r.BackEnds.ID(number)]; shards > 0 && shards >= mean {
			owners = append(owners, number)
		}
	}
	chosen := make([]int, 0, count)
	for position := range min(count, len(owners)) {
		chosen = append(chosen, owners[position*len(owners)/count])
	}
	return chosen
}

// Lose makes servers silent at the same moment, follows their shards to new
// owners, and lets the servers answer again.
func (r *Rig) Lose(ctx context.Context, numbers ...int) (Loss, error) {
	servers := make([]state.ServerID, 0, len(numbers))
	for _, number := range numbers {
		servers = append(servers, r.BackEnds.ID(number))
	}
	lost := r.observer.watch(servers)
	defer r.observer.stopWatching()
	var course Loss
	course.Servers, course.Shards = len(servers), lost.shards
	began := clock.BootTime()
	for _, number := range numbers {
		r.BackEnds.Silence(number)
		defer r.BackEnds.Thaw(number)
		course.LeaseLeft = max(course.LeaseLeft, r.BackEnds.LeaseEnd(number)-began)
	}
	err := r.wait(ctx, fmt.Sprintf("new owners of the shards of %d servers", len(servers)), func() bool {
		return len(lost.missing) == 0 && len(lost.ungranted) == 0
	})
	if err != nil {
		return course, err
	}
	everywhere, err := r.Routers.WaitRevision(ctx, lost.revision)
	if err != nil {
		return course, err
	}
	for _, server := range servers {
		closedAt, _ := r.observer.closed(server)
		course.Closed = max(course.Closed, closedAt-began)
	}
	course.Owned = lost.ownedAt - began
	course.Granted = lost.grantedAt - began
	// The poll of the routers ran after the wait for the grant.
	course.Everywhere = max(course.Owned, everywhere-began)
	return course, nil
}

// Failover is the course of the kill of the leading controller.
type Failover struct {
	// Leader is until another controller led with a quorum.
	Leader time.Duration
	// Renewed is until every server took a lease message of the new leader.
	Renewed time.Duration
	// Proved is until every hollow router had proof of a current table.
	Proved time.Duration
	// Gaps counts servers whose lease ran out meanwhile; LongestGap is the
	// longest time without one.
	Gaps       int
	LongestGap time.Duration
	// Closures counts sessions that the new leader closed.
	Closures int
}

// KillLeader kills the leading controller and follows the take-over. The killed
// controller is started again at the end.
func (r *Rig) KillLeader(ctx context.Context) (Failover, error) {
	var course Failover
	leader, err := r.Fleet.Leader(ctx)
	if err != nil {
		return course, err
	}
	r.BackEnds.TakeGaps()
	term := r.BackEnds.LowestTerm()
	_, closures := r.observer.closed("")
	began := clock.BootTime()
	leader.Process.Kill()
	if err := r.Fleet.WaitLeader(ctx); err != nil {
		return course, err
	}
	course.Leader = clock.BootTime() - began
	err = fleet.WaitFor(ctx, "leases of the new leader", func() bool { return r.BackEnds.LowestTerm() > term })
	if err != nil {
		return course, err
	}
	course.Renewed = clock.BootTime() - began
	proved, err := r.Routers.WaitProved(ctx, began)
	if err != nil {
		return course, err
	}
	course.Proved = proved - began
	course.Gaps, course.LongestGap = r.BackEnds.TakeGaps()
	_, after := r.observer.closed("")
	course.Closures = after - closures
	return course, r.Fleet.StartController(leader)
}

// LogBytes returns the size of the write-ahead log of the leading controller.
func (r *Rig) LogBytes(ctx context.Context) (int64, error) {
	leader, err := r.Fleet.Leader(ctx)
	if err != nil {
		return 0, err
	}
	return folderBytes(filepath.Join(leader.DataFolder, "wal")), nil
}
