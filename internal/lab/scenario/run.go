package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/httpclient"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Bounds of recovery.
const (
	// newOwnerLimit is the time in which the keys of a lost server must have a
	// new owner.
	newOwnerLimit = time.Second
	// failoverLimit is the time in which a new leader must renew the leases; a
	// lost server's keys then wait for newOwnerLimit on top.
	failoverLimit = time.Second
	// recordsLimit is the time in which another router must take over the
	// idempotency records of a lost one: the lease on them, 800 ms by default,
	// and as much again to place them and tell the routers.
	recordsLimit = 1600 * time.Millisecond
	// settle is how long a run waits before and between its faults.
	settle = 1500 * time.Millisecond
	// stepTimeout bounds the wait for one effect.
	stepTimeout = 15 * time.Second
	// faultTimeout bounds the call that sets a stand-in's fault.
	faultTimeout = 2 * time.Second
)

// run is one scenario in progress.
type run struct {
	*trial.Trial
	network *faultproxy.Network
	random  *rand.Rand
	bounds  []Bound
	checks  []check
	// changed numbers the changes of the configuration.
	changed int
}

// sleep waits, unless the run ends first.
func (r *run) sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait between two steps")
	case <-time.After(pause):
		return nil
	}
}

// during acts and waits until the span has lasted.
func (r *run) during(ctx context.Context, lasting time.Duration, act func() error) (span, error) {
	within := span{from: clock.BootTime()}
	if err := act(); err != nil {
		return within, err
	}
	err := r.sleep(ctx, lasting-(clock.BootTime()-within.from))
	within.to = clock.BootTime()
	return within, err
}

// recoversWithin acts, waits for the span, and demands that no request sent in
// it fails or is held up later than the limit after the act began.
func (r *run) recoversWithin(ctx context.Context, name string, limit, lasting time.Duration, act func() error) error {
	within, err := r.during(ctx, lasting, act)
	if err != nil {
		return err
	}
	r.checks = append(r.checks, recoversIn(name, limit, within, anyAttempt))
	return nil
}

// routerLossRecovers is recoversWithin for acts that lose a router: requests
// that may not be repeated must wait until the lost router's lease on their
// records has ended.
func (r *run) routerLossRecovers(ctx context.Context, lasting time.Duration, act func() error) error {
	within, err := r.during(ctx, lasting, act)
	if err != nil {
		return err
	}
	r.checks = append(r.checks,
		recoversIn("recovery_repeatable", newOwnerLimit, within, isRepeatable),
		recoversIn("recovery_not_repeatable", recordsLimit, within, func(done record.Attempt) bool { return !done.Repeatable }))
	return nil
}

func recoversIn(name string, limit time.Duration, within span, selects func(record.Attempt) bool) check {
	return func(attempts []record.Attempt) Bound {
		return atMost(name+"_ms", milliseconds(recovery(attempts, within, selects)), milliseconds(limit))
	}
}

func anyAttempt(record.Attempt) bool { return true }

func isRepeatable(done record.Attempt) bool { return done.Repeatable }

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// within runs an act that must end in time.
func within(ctx context.Context, act func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return act(ctx)
}

// backEnd returns a back end of the fleet.
func (r *run) backEnd(server state.ServerID) (*fleet.BackEnd, error) {
	found, known := r.Fleet.BackEnd(server)
	if !known {
		return nil, eris.Errorf("the fleet has no back end %q", server)
	}
	return found, nil
}

// KillBackEnd kills a back end. Its connections are refused from then on, as the
// proxy in front of it would not by itself.
func (r *run) KillBackEnd(server state.ServerID) error {
	if err := r.Trial.KillBackEnd(server); err != nil {
		return err
	}
	r.network.Down(string(server))
	return nil
}

// RestartDead starts every process that was killed, and lets connections to it
// through again.
func (r *run) RestartDead(ctx context.Context) error {
	if err := r.network.Up(); err != nil {
		return err
	}
	return r.Trial.RestartDead(ctx)
}

// setFault tells a stand-in back end how to misbehave, around its proxy.
func (r *run) setFault(server state.ServerID, misbehaviour backend.Fault) error {
	target, err := r.backEnd(server)
	if err != nil {
		return err
	}
	body, err := encode(misbehaviour)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + target.Address + backend.PathFault)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := httpclient.Default.DoTimeout(request, response, faultTimeout); err != nil {
		return eris.Wrapf(err, "set the fault of %s", server)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("set the fault of %s: status %d: %s", server, response.StatusCode(), response.Body())
	}
	return nil
}

// settledLeader waits until the run has settled and returns the leader.
func (r *run) settledLeader(ctx context.Context) (*fleet.Node, error) {
	if err := r.sleep(ctx, settle); err != nil {
		return nil, err
	}
	return r.leader(ctx)
}

// leader returns the controller that leads now.
func (r *run) leader(ctx context.Context) (*fleet.Node, error) {
	var found *fleet.Node
	err := fleet.WaitFor(ctx, "a leading controller", func() bool {
		leading, err := r.Fleet.Leader(ctx)
		found = leading
		return err == nil
	})
	return found, err
}

// follower returns a controller that does not lead.
func (r *run) follower(ctx context.Context) (*fleet.Node, error) {
	leading, err := r.leader(ctx)
	if err != nil {
		return nil, err
	}
	for _, controller := range r.Fleet.Controllers {
		if controller != leading && controller.Process.Running() {
			return controller, nil
		}
	}
	return nil, eris.New("no controller follows")
}

// newLeader waits until another controller than the given one leads.
func (r *run) newLeader(ctx context.Context, old *fleet.Node) error {
	return fleet.WaitFor(ctx, "a leader after "+old.Name, func() bool {
		leading, err := r.Fleet.Leader(ctx)
		return err == nil && leading != old
	})
}
