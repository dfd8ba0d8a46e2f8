package capacity

import (
	"context"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Sweeps vary one size and keep the others.
const (
	SweepServers = "servers"
	SweepShards  = "shards"
	SweepRouters = "routers"
)

// Sizes are the values that each sweep takes; zero is left out.
type Sizes struct {
	Servers []int
	// ShardsPerServer holds in the sweep of servers.
	ShardsPerServer int
	Shards          []int
	Routers         []int
}

// DefaultSizes fit a machine of which others take a part.
func DefaultSizes() Sizes {
	return Sizes{
		Servers: []int{250, 500, 1000, 2000}, ShardsPerServer: shardsPerServer,
		Shards:  []int{10_000, 25_000, 50_000, 100_000},
		Routers: []int{10, 50, 100, 200},
	}
}

// What the other two sizes are during a sweep.
const (
	shardsPerServer = 8
	fewServers      = 100
	fewShards       = 2000
	fewRouters      = 4
)

type plannedPoint struct {
	sweep string
	point Point
}

func (s Sizes) points() []plannedPoint {
	var points []plannedPoint
	for _, servers := range s.Servers {
		points = append(points, plannedPoint{SweepServers, Point{Servers: servers, Shards: s.ShardsPerServer * servers, Routers: fewRouters}})
	}
	for _, shards := range s.Shards {
		points = append(points, plannedPoint{SweepShards, Point{Servers: fewServers, Shards: shards, Routers: fewRouters}})
	}
	for _, routers := range s.Routers {
		points = append(points, plannedPoint{SweepRouters, Point{Servers: fewServers, Shards: fewShards, Routers: routers}})
	}
	return slices.DeleteFunc(points, func(planned plannedPoint) bool {
		return planned.point.Servers <= 0 || planned.point.Shards <= 0 || planned.point.Routers <= 0
	})
}

// Report is the result of all runs.
type Report struct {
	Rows   []Row   `json:"rows"`
	Slopes []Slope `json:"slopes"`
	// Failed lists the runs that did not come to an end.
	Failed []string `json:"failed,omitempty"`
}

// Slope is a straight line fitted by least squares: Base + Each × size.
type Slope struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Sweep string  `json:"sweep"`
	Base  float64 `json:"base"`
	Each  float64 `json:"each"`
	// RSquared is the share of the variance that the line explains.
	RSquared float64 `json:"r_squared"`
	Points   int     `json:"points"`
}

// Run takes every point and fits the slopes. A run that fails is listed and
// the others go on.
func Run(ctx context.Context, options Options, sizes Sizes) Report {
	var report Report
	for _, planned := range sizes.points() {
		options.Say("%s sweep: %+v", planned.sweep, planned.point)
		row, err := runPoint(ctx, options, planned.sweep, planned.point)
		if err != nil {
			options.Say("  failed: %v", err)
			report.Failed = append(report.Failed, fmt.Sprintf("%s %+v: %v", planned.sweep, planned.point, err))
			continue
		}
		report.Rows = append(report.Rows, row)
		options.Done(row)
	}
	report.Slopes = fit(report.Rows)
	return report
}

// measure is one figure of a row and the sweep by which its slope is taken.
type measure struct {
	name  string
	unit  string
	sweep string
	value func(Row) float64
}

func measures() []measure {
	return []measure{
		{"leader processor time, steady", "cores", SweepServers, func(r Row) float64 { return r.LeaderCores }},
		{"leader memory", "MB", SweepServers, func(r Row) float64 { return r.LeaderMB }},
		{"follower processor time, steady", "cores", SweepServers, func(r Row) float64 { return r.FollowerCores }},
		{"lease messages", "1/s", SweepServers, func(r Row) float64 { return r.LeaseRate }},
		{"health probes of one router", "1/s", SweepServers, func(r Row) float64 { return r.ProbeRate }},
		{"router processor time, steady", "cores", SweepServers, func(r Row) float64 { return r.RouterCores }},
		{"router memory", "MB", SweepServers, func(r Row) float64 { return r.RouterMB }},
		{"hollow back ends, processor time", "cores", SweepServers, func(r Row) float64 { return r.HollowCores }},
		{"hollow back ends, memory", "MB", SweepServers, func(r Row) float64 { return r.HollowMB }},
		{"loss of a seventh of the servers", "ms", SweepServers, func(r Row) float64 { return r.Zone.TotalMs }},
		{"leader kill: all servers renewed", "ms", SweepServers, func(r Row) float64 { return r.Failover.RenewedMs }},
		{"leader processor time, steady", "cores", SweepShards, func(r Row) float64 { return r.LeaderCores }},
		{"leader memory", "MB", SweepShards, func(r Row) float64 { return r.LeaderMB }},
		{"follower memory", "MB", SweepShards, func(r Row) float64 { return r.FollowerMB }},
		{"router memory", "MB", SweepShards, func(r Row) float64 { return r.RouterMB }},
		{"creation of shards, leader processor time", "ms", SweepShards, func(r Row) float64 { return r.CreateCoreMs }},
		{"creation of shards, time", "ms", SweepShards, func(r Row) float64 { return r.CreateMs }},
		{"loss of a server with 1/100 of the shards", "ms", SweepShards, func(r Row) float64 { return r.Loss.TotalMs }},
		{"loss of a seventh of the servers", "ms", SweepShards, func(r Row) float64 { return r.Zone.TotalMs }},
		{"leader processor time, steady", "cores", SweepRouters, func(r Row) float64 { return r.LeaderCores }},
		{"leader memory", "MB", SweepRouters, func(r Row) float64 { return r.LeaderMB }},
		{"configuration change in force everywhere", "ms", SweepRouters, func(r Row) float64 { return r.Change.InForceMs }},
		{"configuration change, leader processor time", "ms", SweepRouters, func(r Row) float64 { return r.Change.LeaderCoreMs }},
		{"move of a key, leader processor time", "ms", SweepRouters, func(r Row) float64 { return r.Move.LeaderCoreMs }},
	}
}

func size(point Point, sweep string) float64 {
	switch sweep {
	case SweepServers:
		return float64(point.Servers)
	case SweepShards:
		return float64(point.Shards)
	default:
		return float64(point.Routers)
	}
}

// fit fits a line to each measure that has three points or more.
func fit(rows []Row) []Slope {
	var slopes []Slope
	for _, wanted := range measures() {
		var sizes, values []float64
		for _, row := range rows {
			if row.Sweep == wanted.sweep {
				sizes = append(sizes, size(row.Point, wanted.sweep))
				values = append(values, wanted.value(row))
			}
		}
		const fewest = 3
		if len(sizes) < fewest {
			continue
		}
		slopes = append(slopes, line(wanted.name, wanted.unit, wanted.sweep, sizes, values))
	}
	return slopes
}

// line fits a straight line by least squares.
func line(name, unit, sweep string, sizes, values []float64) Slope {
	base, each := stat.LinearRegression(sizes, values, nil, false)
	slope := Slope{Name: name, Unit: unit, Sweep: sweep, Base: base, Each: each, Points: len(sizes)}
	// Equal values have no variance to explain.
	if share := stat.RSquared(sizes, values, nil, base, each); !math.IsNaN(share) && !math.IsInf(share, 0) {
		slope.RSquared = share
	}
	return slope
}
