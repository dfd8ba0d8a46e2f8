package fleet

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/backend"
	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/process"
	"github.com/thorntiller/thorntiller/internal/platformapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func (f *Fleet) dial(from, to, address string) (string, error) {
	if f.options.Dial == nil {
		return address, nil
	}
	return f.options.Dial(from, to, address)
}

func (f *Fleet) start(name, path string, arguments ...string) (*process.Process, error) {
	return process.Start(process.Spec{
		Name: name, Path: path, Arguments: arguments, LogFile: filepath.Join(f.options.Folder, "logs", name+".jsonl"),
	})
}

func (f *Fleet) settingsFolder() string {
	return filepath.Join(f.options.Folder, "settings")
}

func (f *Fleet) startPlatform() error {
	started, err := f.start("platform", f.options.Lab, "platform", "--address", f.Platform.Address)
	f.Platform.Process = started
	return err
}

// StartController starts a controller, for the first time or again.
func (f *Fleet) StartController(controller *Node) error {
	settings := controllerSettings{
		Role: "controller", Name: controller.Name, ClusterName: "lab", Zone: "control", DataDirectory: controller.DataFolder,
		PeerAddress: controller.PeerAddress, APIAddress: controller.AdminAddress,
		Platform: platformSettings{URL: "http://" + f.Platform.Address + platformapi.PathMachines},
	}
	settings.API = f.rights()
	var err error
	if settings.TLS, err = f.tlsOf(controller.Name); err != nil {
		return err
	}
	for _, peer := range f.Controllers {
		known, err := f.peerOf(controller, peer)
		if err != nil {
			return err
		}
		settings.Controllers = append(settings.Controllers, known)
	}
	path, err := writeSettings(f.settingsFolder(), controller.Name, settings)
	if err != nil {
		return err
	}
	if f.options.SlowDisks {
		return f.startNode(controller, f.options.Lab, "slow-controller", "--config", path, "--disk", f.diskOf(controller))
	}
	return f.startNode(controller, f.options.Product, "controller", "--config", path)
}

// peerOf returns how a controller is told to reach one of the group.
func (f *Fleet) peerOf(controller, peer *Node) (peerSettings, error) {
	known := peerSettings{Name: peer.Name, PeerAddress: peer.PeerAddress, APIAddress: peer.AdminAddress}
	if peer == controller {
		return known, nil
	}
	reached, err := f.dial(controller.Name, peer.Name, peer.PeerAddress)
	known.PeerAddress = reached
	return known, err
}

// StartRouter starts a router, for the first time or again.
func (f *Fleet) StartRouter(router *Node) error {
	settings := routerSettings{
		Role: "router", Name: router.Name, Zone: "edge",
		Address: router.Address, PeerAddress: router.PeerAddress, AdminAddress: router.AdminAddress,
	}
	var err error
	if settings.TLS, err = f.tlsOf(router.Name); err != nil {
		return err
	}
	if f.options.DialRouters {
		if settings.Advertised, err = f.dial(AnyProcess, router.Name, router.PeerAddress); err != nil {
			return err
		}
	}
	for _, controller := range f.Controllers {
		reached, err := f.dial(router.Name, controller.Name, controller.PeerAddress)
		if err != nil {
			return err
		}
		settings.Controllers = append(settings.Controllers, reached)
	}
	path, err := writeSettings(f.settingsFolder(), router.Name, settings)
	if err != nil {
		return err
	}
	return f.startNode(router, f.options.Product, "router", "--config", path)
}

// startNode starts the process of a node.
func (f *Fleet) startNode(node *Node, program string, arguments ...string) error {
	started, err := f.start(node.Name, program, arguments...)
	node.setProcess(started)
	return err
}

// StartBackEnd starts a stand-in back end, for the first time or again.
func (f *Fleet) StartBackEnd(backEnd *BackEnd) error {
	settings := backend.Config{
		ID: string(backEnd.Spec.ID), Service: string(backEnd.Service.Name), Address: backEnd.Address, Zone: backEnd.Spec.Zone,
		Keyed: backEnd.Service.Keyed, Slots: backEnd.Spec.Slots, Connections: backEnd.Spec.Connections,
		RecordFile:  backEnd.RecordFile,
		ServiceTime: backend.ServiceTime{Distribution: backend.DistributionExponential, Mean: backEnd.Service.ServiceTime},
	}
	if backEnd.Service.Observed {
		settings.Observed = true
		settings.Claims = []backend.Claim{{First: backEnd.Claim.First, Last: backEnd.Claim.Last}}
	}
	path, err := writeSettings(f.settingsFolder(), string(backEnd.Spec.ID), settings)
	if err != nil {
		return err
	}
	backEnd.Process, err = f.start(string(backEnd.Spec.ID), f.options.Lab, "backend", "--config", path)
	return err
}

// CreateServices plans and confirms every service of the deployments with its
// servers, and waits until each shard has an owner.
func (f *Fleet) CreateServices(ctx context.Context) error {
	client := f.Client()
	for _, deployment := range f.options.Deployments {
		for _, service := range deployment.Services {
			if err := f.createService(ctx, client, service); err != nil {
				return err
			}
		}
	}
	return f.WaitOwned(ctx)
}

// WaitOwned waits until every shard has an owner and every server that is not
// retired has a session.
func (f *Fleet) WaitOwned(ctx context.Context) error {
	return WaitFor(ctx, "an owner for every shard", func() bool { return f.allOwned(ctx) })
}

func (f *Fleet) createService(ctx context.Context, client *intentapi.Client, service Service) error {
	request := state.CreateService{Name: service.Name, Keyed: service.Keyed, Shards: service.Shards, Settings: service.Settings}
	for _, backEnd := range f.BackEnds {
		if backEnd.Service.Name == service.Name {
			request.Servers = append(request.Servers, backEnd.Spec)
		}
	}
	if service.Observed {
		request.Mode = state.ModeObserved
		request.Shards = 0
		request.Map = f.ownershipMap(service)
	}
	_, err := Execute(ctx, client, state.Intent{
		ID: state.IntentID(fmt.Sprintf("create-%s", service.Name)), Operator: "lab",
		Kind: state.IntentCreateService, CreateService: &request,
	})
	return err
}

// Execute plans an intent and confirms the plan.
func Execute(ctx context.Context, client *intentapi.Client, intent state.Intent) (state.Plan, error) {
	plan, err := client.Plan(ctx, intent)
	if err != nil {
		return plan, err
	}
	return client.Confirm(ctx, plan.ID, intentapi.ConfirmRequest{Operator: intent.Operator, Digest: plan.Digest})
}

func (f *Fleet) allOwned(ctx context.Context) bool {
	for _, endpoint := range f.Endpoints() {
		status, err := f.status(ctx, endpoint)
		if err != nil || !status.Current {
			continue
		}
		for _, service := range status.Services {
			if service.Owned < service.Shards {
				return false
			}
		}
		for _, server := range status.Servers {
			if !server.Open && !server.Observed && server.Intent == state.ServerActive {
				return false
			}
		}
		return true
	}
	return false
}

// StartCaller starts a caller process; its settings stand beside the others.
func (f *Fleet) StartCaller(settings caller.Config) (*process.Process, error) {
	path, err := writeSettings(f.settingsFolder(), settings.Name, settings)
	if err != nil {
		return nil, err
	}
	started, err := f.start(settings.Name, f.options.Lab, "caller", "--config", path)
	if err == nil {
		f.callers = append(f.callers, started)
	}
	return started, err
}
