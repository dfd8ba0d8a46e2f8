package capacity

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/bench/rig"
)

// Point is the size of one run.
type Point struct {
	Servers int `json:"servers"`
	Shards  int `json:"shards"`
	Routers int `json:"routers"`
}

// Row is what one run measured. Times are in milliseconds, rates by second,
// cores are processor seconds by second, memory is in MB of 2^20 bytes.
type Row struct {
	Sweep string `json:"sweep"`
	Point
	// CreateMs is from the first intent until each shard had an owner, and
	// CreateCoreMs what the leader used for it.
	CreateMs     float64 `json:"create_ms"`
	CreateCoreMs float64 `json:"create_core_ms"`

	LeaderCores   float64 `json:"leader_cores"`
	LeaderMB      float64 `json:"leader_mb"`
	FollowerCores float64 `json:"follower_cores"`
	FollowerMB    float64 `json:"follower_mb"`
	RouterCores   float64 `json:"router_cores"`
	RouterMB      float64 `json:"router_mb"`
	// HollowCores and HollowMB are of the process that holds the hollow nodes.
	HollowCores float64 `json:"hollow_cores"`
	HollowMB    float64 `json:"hollow_mb"`
	// LeaseRate counts lease messages; the bytes are those of one message and
	// of its answer, and LeaseNodeBytes those by second of one server.
	LeaseRate      float64 `json:"lease_rate"`
	LeaseBytes     float64 `json:"lease_bytes"`
	AnswerBytes    float64 `json:"answer_bytes"`
	LeaseNodeBytes float64 `json:"lease_node_bytes"`
	// ProbeRate counts the health probes of the one real router.
	ProbeRate float64 `json:"probe_rate"`
	// TableNodeBytes is by second of one hollow router without changes.
	TableNodeBytes float64 `json:"table_node_bytes"`
	// Leased is the share of servers with a lease at the end of the window.
	Leased float64 `json:"leased"`

	Change Changes `json:"change"`
	Move   Moves   `json:"move"`
	Loss   Losses  `json:"loss"`
	// Zone is the silent loss of a seventh of the servers at once.
	Zone     Losses   `json:"zone"`
	Failover Failover `json:"failover"`
	// Breaks counts table connections that ended before the leader was killed.
	Breaks uint64 `json:"breaks"`
}

// Changes are configuration changes, one after the other.
type Changes struct {
	Count         int     `json:"count"`
	AcceptedMs    float64 `json:"accepted_ms_median"`
	InForceMs     float64 `json:"in_force_ms_median"`
	InForceMaxMs  float64 `json:"in_force_ms_max"`
	LeaderCoreMs  float64 `json:"leader_core_ms_each"`
	LogBytes      float64 `json:"log_bytes_each"`
	BytesByRouter float64 `json:"table_bytes_each_router"`
}

// Moves are moves of single keys, one after the other.
type Moves struct {
	Count         int     `json:"count"`
	MedianMs      float64 `json:"ms_median"`
	MaxMs         float64 `json:"ms_max"`
	LeaderCoreMs  float64 `json:"leader_core_ms_each"`
	LogBytes      float64 `json:"log_bytes_each"`
	BytesByRouter float64 `json:"table_bytes_each_router"`
}

// Losses are silent losses of the same number of servers, one after the other. Each figure but
// the total is a median.
type Losses struct {
	Count       int     `json:"count"`
	Servers     int     `json:"servers"`
	Shards      int     `json:"shards"`
	LeaseLeftMs float64 `json:"lease_left_ms"`
	// ClosedMs is until the session's end was in a router's table; the others
	// count from there.
	ClosedMs   float64 `json:"closed_ms"`
	OwnedMs    float64 `json:"then_owned_ms"`
	GrantedMs  float64 `json:"then_granted_ms"`
	EveryMs    float64 `json:"then_everywhere_ms"`
	TotalMs    float64 `json:"total_ms_median"`
	TotalMaxMs float64 `json:"total_ms_max"`
}

// Failover is the kill of the leading controller.
type Failover struct {
	LeaderMs     float64 `json:"leader_ms"`
	RenewedMs    float64 `json:"renewed_ms"`
	ProvedMs     float64 `json:"proved_ms"`
	Gaps         int     `json:"servers_without_lease"`
	LongestGapMs float64 `json:"longest_gap_ms"`
	Closures     int     `json:"sessions_closed"`
}

func milliseconds(span time.Duration) float64 {
	return float64(span.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Options say where and how the runs go.
type Options struct {
	Product string
	Lab     string
	Folder  string
	// Window is how long the steady state is measured.
	Window time.Duration
	// Timeout bounds one run.
	Timeout time.Duration
	// Services is how many services share servers and shards.
	Services int
	Say      func(format string, arguments ...any)
	// Done takes the row of each run that came to its end.
	Done func(Row)
}

// runPoint sets up one size and takes it through all acts.
func runPoint(ctx context.Context, options Options, sweep string, point Point) (Row, error) {
	row := Row{Sweep: sweep, Point: point}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	folder, err := os.MkdirTemp(options.Folder, "run-")
	if err != nil {
		return row, eris.Wrap(err, "create the folder of a run")
	}
	const wholeTables = 2
	running, err := rig.Start(ctx, rig.Options{
		Product: options.Product, Lab: options.Lab, Folder: folder, Routers: 1,
		HollowRouters: point.Routers, Tables: wholeTables, Servers: point.Servers, Shards: point.Shards, Services: options.Services, Slots: 2,
	})
	if err != nil {
		return row, err
	}
	defer running.Stop()
	run := &run{rig: running, options: options, row: &row}
	for _, step := range run.steps() {
		began := time.Now()
		if err := step.act(ctx); err != nil {
			return row, eris.Wrapf(err, "%s at %+v", step.name, point)
		}
		options.Say("  %-12s %6.2f s", step.name, time.Since(began).Seconds())
	}
	return row, nil
}

type run struct {
	rig     *rig.Rig
	options Options
	row     *Row
}

type step struct {
	name string
	act  func(context.Context) error
}

func (r *run) steps() []step {
	return []step{
		{"create", r.create}, {"steady", r.steady}, {"configure", r.configure}, {"move", r.move},
		{"lose", r.lose}, {"lose zone", r.loseZone}, {"check", r.check}, {"kill leader", r.killLeader},
	}
}

func (r *run) create(ctx context.Context) error {
	window, err := r.rig.Measure(ctx, r.rig.Create)
	r.row.CreateMs = milliseconds(window.Span)
	r.row.CreateCoreMs = window.Leader.Cores * r.row.CreateMs
	return err
}

// steady measures a fleet in which nothing changes.
func (r *run) steady(ctx context.Context) error {
	const settle = time.Second
	if err := rig.Idle(settle)(ctx); err != nil {
		return err
	}
	window, err := r.rig.Measure(ctx, rig.Idle(r.options.Window))
	if err != nil {
		return err
	}
	seconds := window.Span.Seconds()
	messages := float64(window.Leases.Messages)
	row := r.row
	row.LeaderCores, row.LeaderMB = window.Leader.Cores, window.Leader.ResidentMB
	row.FollowerCores, row.FollowerMB = window.Follower.Cores, window.Follower.ResidentMB
	row.RouterCores, row.RouterMB = window.Router.Cores, window.Router.ResidentMB
	row.HollowCores, row.HollowMB = window.Hollow.Cores, window.Hollow.ResidentMB
	row.LeaseRate = messages / seconds
	row.LeaseBytes = float64(window.Leases.Received) / messages
	row.AnswerBytes = float64(window.Leases.Sent) / messages
	row.LeaseNodeBytes = float64(window.Leases.Received+window.Leases.Sent) / seconds / float64(row.Servers)
	row.ProbeRate = float64(window.Probes.Messages) / seconds
	row.TableNodeBytes = float64(window.Table.Received+window.Table.Sent) / seconds / float64(row.Routers)
	row.Leased = float64(window.Leased) / float64(row.Servers)
	return nil
}

func (r *run) configure(ctx context.Context) error {
	const count = 20
	var accepted, inForce []float64
	logged, window, err := r.measureLog(ctx, func(ctx context.Context) error {
		for number := range count {
			change, err := r.rig.Configure(ctx, int64(3000+number))
			if err != nil {
				return err
			}
			accepted = append(accepted, milliseconds(change.Accepted))
			inForce = append(inForce, milliseconds(change.InForce))
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.row.Change = Changes{
		Count: count, AcceptedMs: median(accepted), InForceMs: median(inForce), InForceMaxMs: slices.Max(inForce),
		LeaderCoreMs: r.extraCoreMs(window) / count, LogBytes: float64(logged) / count,
		BytesByRouter: r.extraTableBytes(window) / count,
	}
	return nil
}

func (r *run) move(ctx context.Context) error {
	const count = 10
	var took []float64
	logged, window, err := r.measureLog(ctx, func(ctx context.Context) error {
		for number := range count {
			span, err := r.rig.Move(ctx, fmt.Sprintf("account-%d", number))
			if err != nil {
				return err
			}
			took = append(took, milliseconds(span))
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.row.Move = Moves{
		Count: count, MedianMs: median(took), MaxMs: slices.Max(took),
		LeaderCoreMs: r.extraCoreMs(window) / count, LogBytes: float64(logged) / count,
		BytesByRouter: r.extraTableBytes(window) / count,
	}
	return nil
}

// extraCoreMs is what the leader used in a window beyond the steady state.
func (r *run) extraCoreMs(window rig.Window) float64 {
	return (window.Leader.Cores - r.row.LeaderCores) * milliseconds(window.Span)
}

// extraTableBytes is what one hollow router received beyond the steady state.
func (r *run) extraTableBytes(window rig.Window) float64 {
	bytes := float64(window.Table.Received+window.Table.Sent) / float64(r.row.Routers)
	return bytes - r.row.TableNodeBytes*window.Span.Seconds()
}

// measureLog measures an act and how much the leader's log grew.
func (r *run) measureLog(ctx context.Context, act func(context.Context) error) (int64, rig.Window, error) {
	before, err := r.rig.LogBytes(ctx)
	if err != nil {
		return 0, rig.Window{}, err
	}
	window, err := r.rig.Measure(ctx, act)
	if err != nil {
		return 0, window, err
	}
	after, err := r.rig.LogBytes(ctx)
	return after - before, window, err
}

func (r *run) lose(ctx context.Context) error {
	const count = 3
	courses := make([]rig.Loss, 0, count)
	for _, number := range r.rig.Owners(count) {
		course, err := r.rig.Lose(ctx, number)
		if err != nil {
			return err
		}
		courses = append(courses, course)
	}
	r.row.Loss = summarise(courses)
	return nil
}

func summarise(courses []rig.Loss) Losses {
	each := func(part func(rig.Loss) time.Duration) []float64 {
		values := make([]float64, 0, len(courses))
		for _, course := range courses {
			values = append(values, milliseconds(part(course)))
		}
		return values
	}
	totals := each(rig.Loss.Total)
	return Losses{
		Count: len(courses), Servers: courses[0].Servers, Shards: courses[0].Shards,
		LeaseLeftMs: median(each(func(l rig.Loss) time.Duration { return l.LeaseLeft })),
		ClosedMs:    median(each(func(l rig.Loss) time.Duration { return l.Closed })),
		OwnedMs:     median(each(func(l rig.Loss) time.Duration { return l.Owned - l.Closed })),
		GrantedMs:   median(each(func(l rig.Loss) time.Duration { return l.Granted - l.Closed })),
		EveryMs:     median(each(func(l rig.Loss) time.Duration { return l.Everywhere - l.Closed })),
		TotalMs:     median(totals), TotalMaxMs: slices.Max(totals),
	}
}

// loseZone loses every server of one zone; zones are given out in turn.
func (r *run) loseZone(ctx context.Context) error {
	var numbers []int
	for number := 0; number < r.row.Servers; number += rig.Zones {
		numbers = append(numbers, number)
	}
	course, err := r.rig.Lose(ctx, numbers...)
	if err != nil {
		return err
	}
	r.row.Zone = summarise([]rig.Loss{course})
	return nil
}

// check compares the tables of all hollow routers, as soon as the servers that
// came back no longer change them.
func (r *run) check(ctx context.Context) error {
	r.row.Breaks = r.rig.Routers.Counts().Breaks
	const settle, patience = time.Second, 15 * time.Second
	for began := time.Now(); ; {
		if err := rig.Idle(settle)(ctx); err != nil {
			return err
		}
		err := r.rig.Routers.Check()
		if err == nil || time.Since(began) > patience {
			return err
		}
	}
}

func (r *run) killLeader(ctx context.Context) error {
	course, err := r.rig.KillLeader(ctx)
	if err != nil {
		return err
	}
	r.row.Failover = Failover{
		LeaderMs: milliseconds(course.Leader), RenewedMs: milliseconds(course.Renewed), ProvedMs: milliseconds(course.Proved),
		Gaps: course.Gaps, LongestGapMs: milliseconds(course.LongestGap), Closures: course.Closures,
	}
	return nil
}
