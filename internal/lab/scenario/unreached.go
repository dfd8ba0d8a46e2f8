package scenario

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
)

func unreachedScenarios() []Scenario {
	return []Scenario{{
		Name: "unreached-primary", Proves: "records of a router that controllers reach and other routers do not go to a router that is reached",
		shape: shape{duration: 18 * time.Second, routers: 3, betweenRouters: true}, steps: unreachedPrimary,
	}}
}

const (
	// unreachedLimit is the time after which requests that may not be repeated
	// are answered through the other routers: 500 ms until the cut is noticed,
	// 150 ms until it is reported and the one that was cut off is heard once more,
	// 200 ms until it counts, 50 ms to move the records and tell the routers, and
	// 500 ms that a call may still wait for the old primary.
	unreachedLimit = 1400 * time.Millisecond
	// unreachedTime is how long the cut lasts.
	unreachedTime = 7 * time.Second
)

// unreachedPrimary drops in silence what other routers send to one, and heals
// that. Bounds: the time until requests that may not be repeated are answered
// through the others; meanwhile each of them serves, and after it the one that
// was cut off does.
func unreachedPrimary(ctx context.Context, r *run) error {
	if err := r.sleep(ctx, 2*settle); err != nil {
		return err
	}
	lost := r.Fleet.Routers[0]
	within, err := r.during(ctx, unreachedTime, func() error {
		r.Say("cutting off %s from other routers", lost.Name)
		toLost := func(link faultproxy.Link) bool { return link.To == lost.Name }
		if err := r.network.Add(faultproxy.Silence(faultproxy.Upstream), toLost); err != nil {
			return err
		}
		return r.network.Add(faultproxy.Silence(faultproxy.Downstream), toLost)
	})
	if err != nil {
		return err
	}
	throughOthers := func(done record.Attempt) bool { return !done.Repeatable && done.Router != lost.Address }
	r.checks = append(r.checks, recoversIn("recovery_not_repeatable", unreachedLimit, within, throughOthers), refusedAtOnce(within, throughOthers))
	for _, router := range r.Fleet.Routers[1:] {
		r.checks = append(r.checks, r.servesWithin(router.Address, "served_by_"+router.Name, within))
	}
	return r.healRouter(ctx, lost.Address)
}

// refusedAtOnce demands that the cut acted: some requests were held up or
// refused.
func refusedAtOnce(within span, selects func(record.Attempt) bool) check {
	return func(attempts []record.Attempt) Bound {
		impaired := 0
		for _, done := range attempts {
			if within.contains(done.SentNs) && selects(done) && isImpaired(done) {
				impaired++
			}
		}
		return atLeast("impaired_by_the_cut", float64(impaired), 1)
	}
}
