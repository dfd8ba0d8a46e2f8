package controller

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/coordinator"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// statusTimeout bounds the wait for the quorum that confirms a status as current. A replica that cannot reach
// a quorum still answers, with a status marked as not current.
const statusTimeout = 300 * time.Millisecond

func (a *api) status(call fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(call.Context(), statusTimeout)
	defer cancel()
	current := a.requireCurrent(ctx) == nil
	return call.JSON(a.replica.describe(ctx, current))
}

func (a *api) routers(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error {
		return call.JSON(a.replica.routerStatuses(view))
	})
}

func (a *api) members(call fiber.Ctx) error {
	ctx, cancel := a.context(call)
	defer cancel()
	if err := a.requireCurrent(ctx); err != nil {
		return err
	}
	return call.JSON(a.replica.published.Load().status.Membership.Members)
}

// describe returns the status of this replica and what it knows of the cluster.
func (r *replica) describe(ctx context.Context, current bool) intentapi.Status {
	known := r.published.Load()
	views := r.serverViews(ctx)
	status := intentapi.Status{
		Cluster: string(r.cluster), Replica: r.self.Name, Role: roleName(known.status.Role),
		Term: known.status.Term, Commit: known.status.Commit, Applied: known.status.Applied,
		Members: known.status.Membership.Members, Current: current,
	}
	if leader, found := r.leader(); found {
		status.LeaderName = leader.Name
		status.LeaderAPI = leader.APIAddress
	}
	r.view(func(view *state.State) {
		status.Revision = view.Revision()
		status.Services = serviceStatuses(view)
		status.Servers = serverStatuses(view, views)
		status.Routers = r.routerStatuses(view)
	})
	return status
}

// serverViews returns what the coordinator of a leader knows of the servers; nothing on a follower or once the
// context has ended.
func (r *replica) serverViews(ctx context.Context) []coordinator.ServerView {
	var views []coordinator.ServerView
	r.inspect(ctx, func(leading *coordinator.Coordinator) { views = leading.Views(r.state) })
	return views
}

// handovers returns how long moved shards had no owner, as measured by a leader; nothing on a follower or once
// the context has ended.
func (r *replica) handovers(ctx context.Context) coordinator.Handovers {
	var measured coordinator.Handovers
	r.inspect(ctx, func(leading *coordinator.Coordinator) { measured = leading.Handovers() })
	return measured
}

// inspect runs a function in the leader's loop and waits until it returns. The caller must not hold the state
// lock, which the loop may wait for.
func (r *replica) inspect(ctx context.Context, action func(*coordinator.Coordinator)) {
	if !r.published.Load().leading {
		return
	}
	done := make(chan struct{})
	inspection := func(leading *coordinator.Coordinator) {
		defer close(done)
		action(leading)
	}
	select {
	case r.inspections <- inspection:
		<-done
	case <-r.watchdog.stallContext().Done():
	case <-ctx.Done():
	}
}

func roleName(role consensus.Role) string {
	names := [...]string{"follower", "pre_candidate", "candidate", "leader", "learner"}
	if int(role) < len(names) {
		return names[role]
	}
	return "unknown"
}

func serviceStatuses(view *state.State) []intentapi.ServiceStatus {
	statuses := make([]intentapi.ServiceStatus, 0)
	for _, service := range view.Services() {
		counts := view.PhaseCounts(service.Name)
		statuses = append(statuses, intentapi.ServiceStatus{
			Name: service.Name, Mode: service.Mode, Keyed: service.Keyed,
			Shards: counts.All(), Owned: counts.Owned, Revoking: counts.Revoking, Unowned: counts.Unowned,
		})
	}
	return statuses
}

func serverStatuses(view *state.State, views []coordinator.ServerView) []intentapi.ServerStatus {
	viewByServer := make(map[state.ServerID]coordinator.ServerView, len(views))
	for _, known := range views {
		viewByServer[known.Server] = known
	}
	statuses := make([]intentapi.ServerStatus, 0)
	for _, server := range view.Servers() {
		statuses = append(statuses, intentapi.ServerStatus{
			ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone,
			Intent: server.Intent, Open: server.Session.Open,
			Shards: view.OwnedCount(server.ID), InForce: viewByServer[server.ID].InForce,
			Observed: viewByServer[server.ID].Observed, Differences: viewByServer[server.ID].Differences,
		})
	}
	return statuses
}

func (r *replica) routerStatuses(view *state.State) []intentapi.RouterStatus {
	now := r.clock.Now()
	statuses := make([]intentapi.RouterStatus, 0)
	for _, known := range r.routers.list() {
		statuses = append(statuses, intentapi.RouterStatus{
			ID: known.router.ID, Address: known.router.Address, Zone: known.router.Zone, Open: true,
			Revision: known.revision, LagMs: (now - known.confirmedAt).Milliseconds(),
			InForce: known.revision >= view.Revision(), Services: known.services, Problems: problemsOf(known.mismatches),
		})
	}
	return statuses
}

// Transfer transfers the leadership and returns once the core has accepted the request.
func (r *replica) Transfer(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case r.transfers <- done:
		return <-done
	case <-ctx.Done():
		return ctx.Err()
	}
}
