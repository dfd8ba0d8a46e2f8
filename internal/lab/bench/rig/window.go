package rig

import (
	"context"
	"os"
	"time"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/hollow"
)

// Load is what one process used in a window.
type Load struct {
	// Cores is processor time by time.
	Cores float64
	// ResidentMB is the memory at the end of the window.
	ResidentMB float64
}

// Window is what went on in a span of time.
type Window struct {
	Span time.Duration
	// Leader and Router are of one process; Follower is the mean of the others.
	Leader   Load
	Follower Load
	Router   Load
	// Hollow is of this process, which holds the hollow nodes.
	Hollow Load
	Leases hollow.Traffic
	Probes hollow.Traffic
	Table  hollow.RouterCounts
	// Leased counts servers with a lease at the end.
	Leased int
}

// reading is the state of all counters at one moment.
type reading struct {
	at        time.Duration
	usage     map[*fleet.Node]Usage
	hollow    Usage
	backEnds  hollow.BackEndCounts
	routers   hollow.RouterCounts
	processes []*fleet.Node
}

func (r *Rig) read() (reading, error) {
	now := reading{at: clock.BootTime(), usage: make(map[*fleet.Node]Usage)}
	now.processes = append(append(now.processes, r.Fleet.Controllers...), r.Fleet.Routers...)
	for _, node := range now.processes {
		usage, err := ReadUsage(node.Process.PID())
		if err != nil {
			return now, err
		}
		now.usage[node] = usage
	}
	var err error
	if now.hollow, err = ReadUsage(os.Getpid()); err != nil {
		return now, err
	}
	now.backEnds = r.BackEnds.Counts()
	now.routers = r.Routers.Counts()
	return now, nil
}

// Measure measures while an act runs.
func (r *Rig) Measure(ctx context.Context, act func(context.Context) error) (Window, error) {
	leader, err := r.Fleet.Leader(ctx)
	if err != nil {
		return Window{}, err
	}
	before, err := r.read()
	if err != nil {
		return Window{}, err
	}
	if err := act(ctx); err != nil {
		return Window{}, err
	}
	after, err := r.read()
	if err != nil {
		return Window{}, err
	}
	return r.compare(leader, before, after), nil
}

func (r *Rig) compare(leader *fleet.Node, before, after reading) Window {
	window := Window{
		Span:   after.at - before.at,
		Leases: after.backEnds.Leases.Minus(before.backEnds.Leases),
		Probes: after.backEnds.Probes.Minus(before.backEnds.Probes),
		Table:  after.routers.Minus(before.routers),
		Leased: after.backEnds.Leased,
	}
	load := func(node *fleet.Node) Load { return loadBetween(before.usage[node], after.usage[node], window.Span) }
	window.Hollow = loadBetween(before.hollow, after.hollow, window.Span)
	followers := float64(len(r.Fleet.Controllers) - 1)
	for _, node := range r.Fleet.Controllers {
		if node == leader {
			window.Leader = load(node)
			continue
		}
		window.Follower.Cores += load(node).Cores / followers
		window.Follower.ResidentMB += load(node).ResidentMB / followers
	}
	if len(r.Fleet.Routers) > 0 {
		window.Router = load(r.Fleet.Routers[0])
	}
	return window
}

func loadBetween(before, after Usage, span time.Duration) Load {
	const megabyte = 1 << 20
	return Load{
		Cores:      (after.CPU - before.CPU).Seconds() / span.Seconds(),
		ResidentMB: float64(after.Resident) / megabyte,
	}
}

// Idle lets time pass.
func Idle(span time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(span):
			return nil
		}
	}
}
