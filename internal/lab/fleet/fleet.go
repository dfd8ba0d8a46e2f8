package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/lab/authority"
	"github.com/thorntiller/thorntiller/internal/lab/httpclient"
	"github.com/thorntiller/thorntiller/internal/lab/process"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Options describe a fleet.
type Options struct {
	// Product and Lab are the paths of the two binaries.
	Product string
	Lab     string
	// Folder takes settings, data, logs and records. It must exist.
	Folder      string
	Controllers int
	Routers     int
	Deployments []Deployment
	// Dial, when not nil, gives the address by which one process reaches
	// another, so that a fault proxy can stand in between. Back ends are reached
	// from AnyProcess, since all use the address that the operator names.
	Dial func(from, to, address string) (string, error)
	// DialRouters lets Dial also give the address by which all others reach a
	// router, which then stays reachable there after the router ended.
	DialRouters bool
	// Encrypted gives each process of the product, and the operator, a
	// certificate.
	Encrypted bool
	// SlowDisks runs the controllers on disks that SteerDisk slows down.
	SlowDisks bool
}

// AnyProcess is the origin that Dial gets where many processes share a path.
const AnyProcess = "anyone"

// BackEnd is one stand-in back end of the fleet.
type BackEnd struct {
	// Address is where the process listens; Spec has the one to reach it by.
	Address string
	Spec    state.ServerSpec
	Service Service
	// Claim is what the server owns at first if its service is observed.
	Claim      state.KeyRange
	RecordFile string
	Process    *process.Process
}

// Node is a controller or router of the fleet.
type Node struct {
	Name    string
	Address string
	// PeerAddress accepts other processes of the product.
	PeerAddress string
	// AdminAddress serves health and metrics: a controller's intent API too.
	AdminAddress string
	DataFolder   string
	// Process is replaced by the goroutine that starts nodes, which alone may read it; others call Running.
	Process *process.Process
	// replacing guards changes of Process.
	replacing sync.Mutex
}

// setProcess sets the process of the node once it has been started.
func (n *Node) setProcess(started *process.Process) {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	n.Process = started
}

// Running reports whether the node's process runs. It is safe for concurrent use.
func (n *Node) Running() bool {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	return n.Process != nil && n.Process.Running()
}

// Fleet is a running deployment.
type Fleet struct {
	options     Options
	ports       reservations
	Controllers []*Node
	Routers     []*Node
	BackEnds    []*BackEnd
	Platform    *Node
	client      *intentapi.Client
	// authority signs certificates; nil for plain text.
	authority *authority.Authority
	callers   []*process.Process
}

// Start starts every process and waits until controllers lead and back ends
// answer. Services are created by CreateServices.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	fleet := &Fleet{options: options}
	if err := fleet.prepare(); err != nil {
		fleet.ports.release()
		return nil, err
	}
	if err := fleet.startAll(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

// prepare does what comes before the first process.
func (f *Fleet) prepare() error {
	if err := f.layOut(); err != nil {
		return err
	}
	if err := f.makeFolders(); err != nil {
		return err
	}
	return f.openClient()
}

// layOut gives each process its name and addresses.
func (f *Fleet) layOut() error {
	servers := 0
	for _, deployment := range f.options.Deployments {
		for _, service := range deployment.Services {
			servers += service.Servers
		}
	}
	addresses, err := f.ports.take(2*f.options.Controllers + 3*f.options.Routers + servers + 1)
	if err != nil {
		return err
	}
	next := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	f.Platform = &Node{Name: "platform", Address: next()}
	for number := range f.options.Controllers {
		name := fmt.Sprintf("controller-%d", number+1)
		f.Controllers = append(f.Controllers, &Node{
			Name: name, PeerAddress: next(), AdminAddress: next(), DataFolder: filepath.Join(f.options.Folder, "data", name),
		})
	}
	for number := range f.options.Routers {
		f.Routers = append(f.Routers, &Node{
			Name: fmt.Sprintf("router-%d", number+1), Address: next(), PeerAddress: next(), AdminAddress: next(),
		})
	}
	for _, deployment := range f.options.Deployments {
		if err := f.layOutBackEnds(deployment, next); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) layOutBackEnds(deployment Deployment, next func() string) error {
	for _, service := range deployment.Services {
		for number := range service.Servers {
			id := fmt.Sprintf("%s-%d", service.Name, number+1)
			listening := next()
			reached, err := f.dial(AnyProcess, id, listening)
			if err != nil {
				return err
			}
			f.BackEnds = append(f.BackEnds, &BackEnd{
				Address:    listening,
				Service:    service,
				Claim:      keyShare(service, number),
				RecordFile: filepath.Join(f.options.Folder, "records", id+".jsonl"),
				Spec: state.ServerSpec{
					ID: state.ServerID(id), Address: reached, Zone: deployment.Zones[number%len(deployment.Zones)],
					Slots: service.Slots, Connections: service.Connections,
				},
			})
		}
	}
	return nil
}

func (f *Fleet) makeFolders() error {
	for _, name := range []string{"settings", "logs", "records", "data"} {
		if err := os.MkdirAll(filepath.Join(f.options.Folder, name), 0o700); err != nil {
			return eris.Wrap(err, "create the fleet's folders")
		}
	}
	return nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, backEnd := range f.BackEnds {
		if err := f.StartBackEnd(backEnd); err != nil {
			return err
		}
	}
	for _, controller := range f.Controllers {
		if err := f.StartController(controller); err != nil {
			return err
		}
	}
	for _, router := range f.Routers {
		if err := f.StartRouter(router); err != nil {
			return err
		}
	}
	return f.WaitLeader(ctx)
}

// Client returns a client of the intent API of all controllers.
func (f *Fleet) Client() *intentapi.Client {
	return f.client
}

// Endpoints returns the API addresses of the controllers.
func (f *Fleet) Endpoints() []string {
	endpoints := make([]string, 0, len(f.Controllers))
	for _, controller := range f.Controllers {
		endpoints = append(endpoints, controller.AdminAddress)
	}
	return endpoints
}

// BackEnd returns the back end of a server.
func (f *Fleet) BackEnd(id state.ServerID) (*BackEnd, bool) {
	position := slices.IndexFunc(f.BackEnds, func(backEnd *BackEnd) bool { return backEnd.Spec.ID == id })
	if position < 0 {
		return nil, false
	}
	return f.BackEnds[position], true
}

// CheckRunning fails when a process of the fleet has ended.
func (f *Fleet) CheckRunning() error {
	for _, started := range f.processes() {
		if !started.Running() {
			return eris.Errorf("%s has ended; its log is %s", started.Name(), started.Spec().LogFile)
		}
	}
	return nil
}

// Leader returns the controller that leads, as the controllers tell it.
func (f *Fleet) Leader(ctx context.Context) (*Node, error) {
	for _, controller := range f.Controllers {
		if controller.Process == nil || !controller.Process.Running() {
			continue
		}
		status, err := f.status(ctx, controller.AdminAddress)
		if err == nil && status.Role == "leader" && status.Current {
			return controller, nil
		}
	}
	return nil, eris.New("no controller leads")
}

// status asks one controller; a frozen one does not hold up the caller for long.
func (f *Fleet) status(ctx context.Context, endpoint string) (intentapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return f.Client().Status(ctx, endpoint)
}

// WaitLeader waits until some controller leads with a quorum.
func (f *Fleet) WaitLeader(ctx context.Context) error {
	return WaitFor(ctx, "a leading controller", func() bool {
		_, err := f.Leader(ctx)
		return err == nil
	})
}

// WaitRouters waits until every running router is ready.
func (f *Fleet) WaitRouters(ctx context.Context) error {
	return WaitFor(ctx, "ready routers", func() bool {
		for _, router := range f.Routers {
			status, _, err := httpclient.Default.GetTimeout(nil, "http://"+router.AdminAddress+intentapi.PathReady, time.Second)
			if router.Process.Running() && (err != nil || status != fasthttp.StatusOK) {
				return false
			}
		}
		return true
	})
}

const (
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds one call of the intent API.
	callTimeout = 2 * time.Second
	// statusTimeout is above the wait of a controller without a quorum.
	statusTimeout = 600 * time.Millisecond
)

// WaitFor polls a condition until it holds or the context ends.
func WaitFor(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return eris.Errorf("waited without success for %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

// Stop ends every process: thawed first, then asked to stop.
func (f *Fleet) Stop() {
	f.client.Close()
	const patience = 15 * time.Second
	processes := f.processes()
	for _, running := range processes {
		running.Thaw()
		running.Terminate()
	}
	for _, running := range processes {
		if running.Running() {
			// A process that does not stop in time is killed; the log tells.
			_ = running.Stop(patience)
		}
	}
	f.ports.release()
}

func (f *Fleet) processes() []*process.Process {
	processes := slices.Clone(f.callers)
	add := func(started *process.Process) {
		if started != nil {
			processes = append(processes, started)
		}
	}
	for _, router := range f.Routers {
		add(router.Process)
	}
	for _, controller := range f.Controllers {
		add(controller.Process)
	}
	for _, backEnd := range f.BackEnds {
		add(backEnd.Process)
	}
	add(f.Platform.Process)
	return processes
}
