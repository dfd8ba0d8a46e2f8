package rig

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/hollow"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Service is the first service of a rig, on which it acts.
const Service state.ServiceName = "ledger"

// serviceName returns the name of a service by its number.
func serviceName(number int) state.ServiceName {
	if number == 0 {
		return Service
	}
	return state.ServiceName(fmt.Sprintf("%s-%d", Service, number))
}

const (
	controllers = 3
	operator    = "lab"
	// serversPerIntent stays within what one intent may carry.
	serversPerIntent = 1000
	pingInterval     = 500 * time.Millisecond
	pollInterval     = time.Millisecond
)

// Options describe a rig.
type Options struct {
	// Product and Lab are the paths of the two binaries.
	Product string
	Lab     string
	// Folder takes settings, data and logs. It must exist.
	Folder string
	// Routers counts real router processes; HollowRouters counts hollow ones,
	// of which Tables keep a whole routing table. At least one does.
	Routers       int
	HollowRouters int
	Tables        int
	Servers       int
	Shards        int
	// Services is how many services share servers and shards, created one after
	// the other; zero means one.
	Services int
	// Slots is how many requests each server executes at the same time.
	Slots int
}

// Rig is a running control plane with hollow nodes.
type Rig struct {
	options  Options
	Fleet    *fleet.Fleet
	BackEnds *hollow.BackEnds
	Routers  *hollow.Routers
	observer *observer
	intents  int
}

// Start starts every process and hollow node, creates the service, and waits
// until each shard has an owner.
func Start(ctx context.Context, options Options) (*Rig, error) {
	rig := &Rig{options: options, observer: newObserver()}
	var err error
	rig.Fleet, err = fleet.Start(ctx, fleet.Options{
		Product: options.Product, Lab: options.Lab, Folder: options.Folder, Controllers: controllers, Routers: options.Routers,
	})
	if err != nil {
		return nil, err
	}
	if err := rig.startHollow(ctx); err != nil {
		rig.Stop()
		return nil, err
	}
	return rig, nil
}

func (r *Rig) startHollow(ctx context.Context) error {
	var err error
	r.BackEnds, err = hollow.NewBackEnds(hollow.BackEndOptions{
		Count: r.options.Servers, Prefix: "server", Zones: zones(), Slots: max(1, r.options.Slots), Connections: 100, OnGrant: r.observer.granted,
	})
	if err != nil {
		return err
	}
	r.Routers = hollow.StartRouters(hollow.RouterOptions{
		Count: r.options.HollowRouters, Prefix: "router", Tables: max(1, r.options.Tables), Controllers: r.peerAddresses(),
		PingInterval: pingInterval, OnObjects: r.observer.take,
	})
	if _, err := r.Routers.WaitProved(ctx, 0); err != nil {
		return err
	}
	return nil
}

// Zones is how many zones the servers stand in, each in the next one.
const Zones = 7

func zones() []string {
	names := make([]string, 0, Zones)
	for number := range Zones {
		names = append(names, fmt.Sprintf("zone-%d", number+1))
	}
	return names
}

func (r *Rig) peerAddresses() []string {
	addresses := make([]string, 0, controllers)
	for _, controller := range r.Fleet.Controllers {
		addresses = append(addresses, controller.PeerAddress)
	}
	return addresses
}

// Stop ends everything.
func (r *Rig) Stop() {
	if r.Routers != nil {
		r.Routers.Stop()
	}
	r.Fleet.Stop()
	if r.BackEnds != nil {
		r.BackEnds.Stop()
	}
}

// Execute plans an intent and confirms the plan.
func (r *Rig) Execute(ctx context.Context, intent state.Intent) (state.Plan, error) {
	r.intents++
	intent.ID = state.IntentID(fmt.Sprintf("%s-%d", intent.Kind, r.intents))
	intent.Operator = operator
	return fleet.Execute(ctx, r.Fleet.Client(), intent)
}

// Settings returns the service's settings with a given timeout.
func Settings(timeoutMs int64) state.ServiceSettings {
	return state.ServiceSettings{
		DefaultTimeoutMs: timeoutMs, QueueLimit: 64, RequestLimit: 4096, RetryRatio: 0.2, MaxMoves: 64,
		Weights: state.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
	}
}

const defaultTimeoutMs = 2000

// Create creates the services, one after the other, and waits each time until
// every shard has an owner. The back ends of the first answer once all of them
// are registered.
func (r *Rig) Create(ctx context.Context) error {
	services := max(1, r.options.Services)
	specs := r.BackEnds.Specs()
	for number := range services {
		first, end := number*len(specs)/services, (number+1)*len(specs)/services
		if err := r.createService(ctx, serviceName(number), specs[first:end], r.options.Shards/services); err != nil {
			return err
		}
		r.BackEnds.Open()
		wanted := (number + 1) * (r.options.Shards / services)
		err := r.wait(ctx, fmt.Sprintf("an owner for every shard of %d services", number+1), func() bool {
			return len(r.observer.shards) >= wanted && r.observer.settled == len(r.observer.shards)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) createService(ctx context.Context, name state.ServiceName, specs []state.ServerSpec, shards int) error {
	first := min(len(specs), serversPerIntent)
	_, err := r.Execute(ctx, state.Intent{Kind: state.IntentCreateService, CreateService: &state.CreateService{
		Name: name, Keyed: true, Shards: shards, Settings: Settings(defaultTimeoutMs), Servers: specs[:first],
	}})
	if err != nil {
		return eris.Wrap(err, "create the service")
	}
	for specs = specs[first:]; len(specs) > 0; {
		count := min(len(specs), serversPerIntent)
		_, err := r.Execute(ctx, state.Intent{Kind: state.IntentAddServers, AddServers: &state.AddServers{
			Service: name, Servers: specs[:count],
		}})
		if err != nil {
			return eris.Wrap(err, "add servers")
		}
		specs = specs[count:]
	}
	return nil
}

func (r *Rig) allSettled() bool {
	return r.observer.settled == len(r.observer.shards)
}

// wait polls a condition on what the observer saw.
func (r *Rig) wait(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !r.observer.holds(condition) {
		select {
		case <-ctx.Done():
			return eris.Errorf("waited without success for %s: %s", what, r.observer.summary())
		case <-ticker.C:
		}
	}
	return nil
}
