package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/bench/load"
	"github.com/thorntiller/thorntiller/internal/lab/bench/rig"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Targets of the size to design for.
const (
	targetOwner   = time.Second
	targetInForce = 5 * time.Second
)

// Sizes of the run.
const (
	servers       = 20
	shards        = 160
	hollowRouters = 20
	slots         = 64
	keys          = 64
	rounds        = 3
	roundSpan     = 1500 * time.Millisecond
	fewInFlight   = 4
	manyInFlight  = 48
	losses        = 4
	changes       = 20
)

// Options say where the run goes.
type Options struct {
	Product string
	Lab     string
	Folder  string
	Say     func(format string, arguments ...any)
}

// Result is what the run measured. Times are in milliseconds.
type Result struct {
	// DirectP50Ms and so on are with few requests in flight.
	DirectP50Ms float64 `json:"direct_p50_ms"`
	DirectP99Ms float64 `json:"direct_p99_ms"`
	RouterP50Ms float64 `json:"router_p50_ms"`
	RouterP99Ms float64 `json:"router_p99_ms"`
	RatioP50    float64 `json:"ratio_p50"`
	RatioP99    float64 `json:"ratio_p99"`
	// RouterMicroseconds is the router's processor time for one request, with
	// many in flight, and RequestsByCore its inverse by second.
	RouterMicroseconds float64 `json:"router_us_by_request"`
	RequestsByCore     float64 `json:"requests_by_core"`
	SaturatedRate      float64 `json:"saturated_rate"`
	SaturatedP99Ms     float64 `json:"saturated_p99_ms"`
	DirectRate         float64 `json:"direct_rate"`
	Requests           uint64  `json:"requests"`
	Failed             uint64  `json:"failed"`
	// The worst of all losses counts against the target, all parts included.
	NewOwnerMs       []float64 `json:"new_owner_ms"`
	NewOwnerMaxMs    float64   `json:"new_owner_max_ms"`
	NewOwnerShards   []int     `json:"new_owner_shards"`
	NewOwnerTargetMs float64   `json:"new_owner_target_ms"`
	InForceMedianMs  float64   `json:"in_force_median_ms"`
	InForceMaxMs     float64   `json:"in_force_max_ms"`
	InForceTargetMs  float64   `json:"in_force_target_ms"`
	OK               bool      `json:"ok"`
}

type run struct {
	rig     *rig.Rig
	options Options
	result  Result
	direct  []load.Target
	routed  []load.Target
}

// Run measures everything.
func Run(ctx context.Context, options Options) (Result, error) {
	options.Say("starting 3 controllers, 1 router, %d hollow back ends, %d hollow routers", servers, hollowRouters)
	running, err := rig.Start(ctx, rig.Options{
		Product: options.Product, Lab: options.Lab, Folder: options.Folder, Routers: 1,
		HollowRouters: hollowRouters, Tables: hollowRouters, Servers: servers, Shards: shards, Slots: slots,
	})
	if err != nil {
		return Result{}, err
	}
	defer running.Stop()
	r := &run{rig: running, options: options}
	for _, act := range []func(context.Context) error{r.prepare, r.latency, r.saturate, r.lose, r.configure} {
		if err := act(ctx); err != nil {
			return r.result, err
		}
	}
	r.judge()
	return r.result, nil
}

func (r *run) prepare(ctx context.Context) error {
	if err := r.rig.Create(ctx); err != nil {
		return err
	}
	if err := r.rig.Spread(ctx); err != nil {
		return err
	}
	if err := r.rig.WaitInForce(ctx); err != nil {
		return err
	}
	if err := r.rig.Fleet.WaitRouters(ctx); err != nil {
		return err
	}
	return r.target(ctx)
}

// target finds out where the requests of each key go.
func (r *run) target(ctx context.Context) error {
	owned, err := r.rig.Fleet.Client().Shards(ctx, rig.Service)
	if err != nil {
		return err
	}
	addresses := make(map[state.ServerID]string)
	for _, spec := range r.rig.BackEnds.Specs() {
		addresses[spec.ID] = spec.Address
	}
	for number := range keys {
		key := fmt.Sprintf("account-%d", number)
		hash := state.HashKey(key)
		position := slices.IndexFunc(owned, func(shard state.Shard) bool { return shard.Range.Contains(hash) })
		if position < 0 {
			return eris.Errorf("no shard holds key %q", key)
		}
		shard := owned[position]
		r.direct = append(r.direct, load.Target{
			Address: addresses[shard.Owner], Path: "/balance", Key: key, Shard: shard.ID, Epoch: shard.Epoch,
		})
		r.routed = append(r.routed, load.Target{
			Address: r.rig.Fleet.Routers[0].Address, Path: "/" + string(rig.Service) + "/balance", Key: key,
		})
	}
	return nil
}

// latency compares both ways with few requests in flight, in turns, so that a
// busy machine touches both.
func (r *run) latency(ctx context.Context) error {
	var direct, routed load.Result
	for range rounds {
		next, err := load.Run(ctx, r.direct, fewInFlight, roundSpan)
		if err != nil {
			return err
		}
		direct = direct.Add(next)
		if next, err = load.Run(ctx, r.routed, fewInFlight, roundSpan); err != nil {
			return err
		}
		routed = routed.Add(next)
	}
	r.count(direct)
	r.count(routed)
	result := &r.result
	result.DirectP50Ms, result.DirectP99Ms = milliseconds(direct.Quantile(0.50)), milliseconds(direct.Quantile(0.99))
	result.RouterP50Ms, result.RouterP99Ms = milliseconds(routed.Quantile(0.50)), milliseconds(routed.Quantile(0.99))
	result.RatioP50 = result.RouterP50Ms / result.DirectP50Ms
	result.RatioP99 = result.RouterP99Ms / result.DirectP99Ms
	r.options.Say("%d in flight: direct p50 %.3f ms p99 %.3f ms, router p50 %.3f ms p99 %.3f ms, ratios %.2f and %.2f", fewInFlight,
		result.DirectP50Ms, result.DirectP99Ms, result.RouterP50Ms, result.RouterP99Ms, result.RatioP50, result.RatioP99)
	return nil
}

func (r *run) count(done load.Result) {
	r.result.Requests += done.Requests
	r.result.Failed += done.Failed
	for reason, count := range done.Reasons {
		r.options.Say("  %d requests failed: %s", count, reason)
	}
}

// saturate keeps many requests in flight and reads what the router used.
func (r *run) saturate(ctx context.Context) error {
	direct, err := load.Run(ctx, r.direct, manyInFlight, roundSpan)
	if err != nil {
		return err
	}
	var routed load.Result
	window, err := r.rig.Measure(ctx, func(ctx context.Context) error {
		for range rounds {
			next, err := load.Run(ctx, r.routed, manyInFlight, roundSpan)
			if err != nil {
				return err
			}
			routed = routed.Add(next)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.count(direct)
	r.count(routed)
	used := window.Router.Cores * window.Span.Seconds()
	result := &r.result
	result.RouterMicroseconds = used * float64(time.Second/time.Microsecond) / float64(routed.Requests)
	result.RequestsByCore = float64(routed.Requests) / used
	result.SaturatedRate, result.DirectRate = routed.Rate(), direct.Rate()
	result.SaturatedP99Ms = milliseconds(routed.Quantile(0.99))
	r.options.Say("%d in flight: %.0f requests/s through the router (%.0f direct), p99 %.2f ms, %.1f us of router processor time each, %.0f requests/s by core",
		manyInFlight, result.SaturatedRate, result.DirectRate, result.SaturatedP99Ms, result.RouterMicroseconds, result.RequestsByCore)
	return nil
}

func (r *run) lose(ctx context.Context) error {
	for _, number := range r.rig.Owners(losses) {
		course, err := r.rig.Lose(ctx, number)
		if err != nil {
			return err
		}
		r.result.NewOwnerMs = append(r.result.NewOwnerMs, milliseconds(course.Total()))
		r.result.NewOwnerShards = append(r.result.NewOwnerShards, course.Shards)
		r.options.Say("silent loss with %d shards: session closed after %.0f ms, new owners in the table after %.0f, granted after %.0f, in force everywhere after %.0f",
			course.Shards, milliseconds(course.Closed), milliseconds(course.Owned), milliseconds(course.Granted), milliseconds(course.Everywhere))
	}
	r.result.NewOwnerMaxMs = slices.Max(r.result.NewOwnerMs)
	return nil
}

func (r *run) configure(ctx context.Context) error {
	var took []float64
	for number := range changes {
		const firstTimeoutMs = 3000
		change, err := r.rig.Configure(ctx, int64(firstTimeoutMs+number))
		if err != nil {
			return err
		}
		took = append(took, milliseconds(change.InForce))
	}
	slices.Sort(took)
	r.result.InForceMedianMs, r.result.InForceMaxMs = took[len(took)/2], took[len(took)-1]
	r.options.Say("%d configuration changes: in force on all routers after %.1f ms in the middle, %.1f ms at most", changes,
		r.result.InForceMedianMs, r.result.InForceMaxMs)
	return r.rig.Routers.Check()
}

func (r *run) judge() {
	result := &r.result
	result.NewOwnerTargetMs, result.InForceTargetMs = milliseconds(targetOwner), milliseconds(targetInForce)
	result.OK = result.Failed == 0 && result.NewOwnerMaxMs <= result.NewOwnerTargetMs && result.InForceMaxMs <= result.InForceTargetMs
}

func milliseconds(span time.Duration) float64 {
	return float64(span.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
