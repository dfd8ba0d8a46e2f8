package planner

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// HandoverTimes provides the measured handover times of services.
type HandoverTimes interface {
	// Expected returns the expected time for which a moved shard of the service
	// has no owner, or false if no move has been measured.
	Expected(service state.ServiceName) (time.Duration, bool)
}

// Build returns the plan for an intent. Errors are of the kinds invalid_argument,
// not_found and conflict.
func Build(view *state.State, handoverTimes HandoverTimes, intent state.Intent) (state.Plan, error) {
	if err := checkIntent(intent); err != nil {
		return state.Plan{}, err
	}
	draft := &draft{view: view, handoverTimes: handoverTimes, plan: state.Plan{
		ID:     state.PlanID(intent.ID),
		Intent: intent,
		Status: state.PlanStored,
		Base:   view.Revision(),
	}}
	if err := draft.build(intent); err != nil {
		return state.Plan{}, err
	}
	draft.plan.Digest = digest(draft.plan.Operations)
	return draft.plan, nil
}

// digest returns a hash of the operations, by which the operator confirms exactly
// these.
func digest(operations []state.Operation) string {
	encoded, err := codec.Marshal(operations)
	if err != nil {
		// Unreachable: the types contain nothing that msgpack cannot encode.
		panic("planner: encode operations: " + err.Error())
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// draft is a plan that is being built.
type draft struct {
	view          *state.State
	handoverTimes HandoverTimes
	plan          state.Plan
}

func (d *draft) build(intent state.Intent) error {
	switch intent.Kind {
	case state.IntentCreateService:
		return d.createService(*intent.CreateService)
	case state.IntentUpdateService:
		return d.updateService(*intent.UpdateService)
	case state.IntentAddServers:
		return d.addServers(*intent.AddServers)
	case state.IntentMoveKey:
		return d.moveKey(*intent.MoveKey)
	case state.IntentRetireServer:
		return d.retireServer(*intent.RetireServer)
	case state.IntentRebalance:
		return d.rebalance(*intent.Rebalance)
	case state.IntentSetMode:
		return d.setMode(*intent.SetMode)
	case state.IntentMergeShards:
		return d.mergeShards(*intent.MergeShards)
	case state.IntentEvacuateZone:
		return d.changeZone("evacuate_zone", directory.Zone{Name: intent.EvacuateZone.Zone, Evacuated: true})
	case state.IntentRestoreZone:
		return d.changeZone("restore_zone", directory.Zone{Name: intent.RestoreZone.Zone})
	case state.IntentRelease:
		return d.release(*intent.Release)
	default:
		return fault.Newf(fault.InvalidArgument, "kind: %q is unknown: see docs/OPERATIONS.md for the kinds", intent.Kind)
	}
}

// add appends an operation with its reason, a format string for the arguments.
func (d *draft) add(operation state.Operation, reason string, arguments ...any) {
	d.plan.Operations = append(d.plan.Operations, operation)
	d.plan.Reasons = append(d.plan.Reasons, fmt.Sprintf(reason, arguments...))
}

func (d *draft) createService(request state.CreateService) error {
	if _, found := d.view.Service(request.Name); found {
		return fault.Newf(fault.Conflict, "create_service.name: %q already exists: choose another name or use update_service", request.Name)
	}
	service := serviceFrom(request.Name, request.Settings)
	service.Keyed = request.Keyed
	service.Mode = cmp.Or(request.Mode, state.ModeManaged)
	service.Adopted = service.Mode == state.ModeObserved
	d.add(state.Operation{PutService: &service}, "service %s is created as %s", request.Name, service.Mode)
	if err := d.putServers(request.Name, request.Servers); err != nil {
		return err
	}
	if service.Mode == state.ModeObserved {
		return d.addObserveOperation(service, request.Map, serverSet(request.Servers))
	}
	if request.Keyed {
		d.add(state.Operation{CreateShards: &state.CreateShards{Service: request.Name, Count: request.Shards}},
			"its key space is cut into %d equal shards, spread over the servers that answer", request.Shards)
	}
	return nil
}

func serviceFrom(name state.ServiceName, settings state.ServiceSettings) state.Service {
	return state.Service{
		Name:           name,
		DefaultTimeout: milliseconds(settings.DefaultTimeoutMs),
		QueueLimit:     settings.QueueLimit,
		RetryRatio:     settings.RetryRatio,
		RequestLimit:   settings.RequestLimit,
		Weights:        settings.Weights,
		Placement:      settings.Placement,
		MaxMoves:       settings.MaxMoves,
	}
}

func (d *draft) updateService(request state.UpdateService) error {
	current, err := d.service("update_service.name", request.Name)
	if err != nil {
		return err
	}
	updated := serviceFrom(request.Name, request.Settings)
	updated.Keyed = current.Keyed
	updated.Mode = current.Mode
	updated.Adopted = current.Adopted
	updated.HandedBack = current.HandedBack
	updated.Revision = current.Revision
	d.add(state.Operation{PutService: &updated}, "the settings of service %s are replaced", request.Name)
	return nil
}

func (d *draft) addServers(request state.AddServers) error {
	if _, err := d.service("add_servers.service", request.Service); err != nil {
		return err
	}
	return d.putServers(request.Service, request.Servers)
}

func (d *draft) putServers(service state.ServiceName, specs []state.ServerSpec) error {
	for _, spec := range specs {
		server := state.Server{
			ID: spec.ID, Service: service, Address: spec.Address, Zone: spec.Zone,
			Slots: spec.Slots, Connections: spec.Connections, Intent: state.ServerActive,
		}
		if current, found := d.view.Server(spec.ID); found {
			if err := checkReplacement(current, server); err != nil {
				return err
			}
			server.ConfigRevision = current.ConfigRevision
		}
		d.add(state.Operation{PutServer: &server}, "server %s at %s in zone %s joins %s", spec.ID, spec.Address, spec.Zone, service)
	}
	return nil
}

// checkReplacement checks that a server may be replaced by a new description. A
// retired server may return and a known one may change, but not its service, nor
// its address while its session is open.
func checkReplacement(current, replacement state.Server) error {
	if current.Service != replacement.Service {
		return fault.Newf(fault.Conflict, "servers.id: %q belongs to service %q: choose another id", current.ID, current.Service)
	}
	if current.Address != replacement.Address && current.Session.Open {
		return fault.Newf(fault.Conflict, "servers.address: %q is in service at %s: retire it first", current.ID, current.Address)
	}
	return nil
}

func (d *draft) moveKey(request state.MoveKey) error {
	if _, err := d.managedService("move_key.service", request.Service); err != nil {
		return err
	}
	hash := state.HashKey(request.Key)
	shard, found := d.view.ShardAt(request.Service, hash)
	if !found {
		return fault.Newf(fault.InvalidArgument, "move_key.service: %q has no shards: only services with keys can move one", request.Service)
	}
	if shard.Phase != state.ShardOwned || shard.Target != "" {
		return fault.Newf(fault.Conflict, "move_key.key: %q is moving or has no owner: wait until status shows it owned", request.Key)
	}
	target, err := d.moveTarget(request, shard)
	if err != nil {
		return err
	}
	d.add(state.Operation{IsolateKey: &state.IsolateKey{Shard: shard.ID, Epoch: shard.Epoch, Hash: hash, To: target.ID}},
		"key %q leaves shard %d on %s and moves alone to %s", request.Key, shard.ID, shard.Owner, target.ID)
	d.predictMoves(request.Service, []plannedMove{{from: shard.Owner, to: target.ID, width: 0}})
	return nil
}

func (d *draft) moveTarget(request state.MoveKey, shard state.Shard) (state.Server, error) {
	if request.To == "" {
		return d.serverWithFewestShards(request.Service, shard.Owner)
	}
	target, found := d.view.Server(request.To)
	if !found || target.Service != request.Service {
		return state.Server{}, fault.Newf(fault.NotFound, "move_key.to: service %q has no server %q: list them with get servers", request.Service, request.To)
	}
	if target.ID == shard.Owner {
		return state.Server{}, fault.Newf(fault.InvalidArgument, "move_key.to: %q owns the key already: choose another server", request.To)
	}
	if !acceptsShards(target) {
		return state.Server{}, fault.Newf(fault.Conflict, "move_key.to: %q is down, leaving or retired: choose another server", request.To)
	}
	return target, nil
}

// acceptsShards reports whether a server can be given shards: its session is open,
// and it is not retiring, leaving or in an evacuated zone.
func acceptsShards(server state.Server) bool {
	return server.Session.Open && server.Intent == state.ServerActive && !server.Withdrawn()
}

func (d *draft) serverWithFewestShards(service state.ServiceName, except state.ServerID) (state.Server, error) {
	var best state.Server
	for _, server := range d.view.ServersOf(service) {
		if server.ID == except || !acceptsShards(server) {
			continue
		}
		if best.ID == "" || d.view.OwnedCount(server.ID) < d.view.OwnedCount(best.ID) {
			best = server
		}
	}
	if best.ID == "" {
		return best, fault.Newf(fault.Conflict, "service: %q has no other server that can take shards: add servers first", service)
	}
	return best, nil
}

// managedService returns a service, or an error if it is observed: then its own
// scripts decide about ownership, not the controllers.
func (d *draft) managedService(field string, name state.ServiceName) (state.Service, error) {
	service, err := d.service(field, name)
	if err == nil && service.Mode == state.ModeObserved {
		err = fault.Newf(fault.Conflict,
			"%s: %q is observed, so its own scripts decide about ownership: switch it to managed with set_mode first", field, name)
	}
	return service, err
}

func (d *draft) service(field string, name state.ServiceName) (state.Service, error) {
	service, found := d.view.Service(name)
	if !found {
		return service, fault.Newf(fault.NotFound, "%s: no service %q: list them with get services", field, name)
	}
	return service, nil
}
