package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	// waitTimeout bounds waits that end early unless there is a fault.
	waitTimeout = 40 * time.Second
	// snapshotEntries is small enough for a few hundred changes to cause many snapshots.
	snapshotEntries = 20
	groupSize       = 3
)

// process is one controller of a group. It runs in the process of the test.
type process struct {
	settings config.Controller
	files    vfs.FileSystem
	hook     *test.Hook
	stop     context.CancelFunc
	ended    chan error
}

// group is a group of controllers on loopback addresses, each with its own directory.
type group struct {
	t         *testing.T
	client    *intentapi.Client
	processes []*process
	running   conc.WaitGroup
}

// newGroup starts a group and waits until it has formed.
func newGroup(t *testing.T) *group {
	t.Helper()
	return newGroupOn(t, func(string) vfs.FileSystem { return vfs.System{} })
}

// newGroupInMemory is newGroup without the machine's disk, for tests that need the same leader throughout:
// while other programs write, a sync of the disk can take longer than an election.
func newGroupInMemory(t *testing.T) *group {
	t.Helper()
	return newGroupOn(t, func(string) vfs.FileSystem { return vfs.NewMemory(nil) })
}

// newGroupOn is newGroup with a file system for each controller, by its name.
func newGroupOn(t *testing.T, filesOf func(name string) vfs.FileSystem) *group {
	t.Helper()
	g := &group{t: t}
	addresses := freeAddresses(t, 2*groupSize)
	var peers []config.ControllerPeer
	for number := range groupSize {
		peers = append(peers, config.ControllerPeer{
			Name: fmt.Sprintf("c%d", number), PeerAddress: addresses[2*number], APIAddress: addresses[2*number+1],
		})
	}
	var endpoints []string
	for number, peer := range peers {
		settings := config.DefaultController()
		settings.Name, settings.PeerAddress, settings.APIAddress = peer.Name, peer.PeerAddress, peer.APIAddress
		settings.Controllers = peers
		settings.DataDirectory = filepath.Join(t.TempDir(), peer.Name)
		settings.Consensus.SnapshotEntries = snapshotEntries
		settings.API.RequestTimeout = time.Second
		settings.API.BodyLimit = 64 << 10
		g.processes = append(g.processes, &process{settings: settings, files: filesOf(peer.Name)})
		endpoints = append(endpoints, peer.APIAddress)
		g.start(number)
	}
	g.connect(endpoints)
	g.leader()
	return g
}

// connect creates the client of the group and registers the cleanup of client and controllers.
func (g *group) connect(endpoints []string) {
	g.t.Helper()
	client, err := intentapi.NewClient(intentapi.ClientConfig{Endpoints: endpoints})
	if err != nil {
		g.t.Fatal(err)
	}
	g.client = client
	g.t.Cleanup(func() {
		client.Close()
		for number := range g.processes {
			g.stop(number)
		}
		g.running.Wait()
	})
}

// freeAddresses returns addresses with ports chosen by the kernel, on a loopback address that is specific to
// this process: between a stop and a restart, no other process on 127.0.0.1 can take the port.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	own := net.IPv4(127, byte(1+os.Getpid()>>16), byte(os.Getpid()>>8), byte(os.Getpid())).String()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(own, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// start runs one controller on the content of its directory.
func (g *group) start(number int) {
	p := g.processes[number]
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p.hook = test.NewLocal(logger)
	p.ended = make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	ended := p.ended
	g.running.Go(func() { ended <- RunOn(ctx, p.files, p.settings, logrus.NewEntry(logger)) })
}

// stop stops one controller gracefully if it is running.
func (g *group) stop(number int) {
	p := g.processes[number]
	if p.stop == nil {
		return
	}
	p.stop()
	p.stop = nil
	if err := <-p.ended; err != nil {
		g.t.Errorf("%s ended: %v", p.settings.Name, err)
	}
}

// logged returns how often an event was logged since the start, and its latest entry.
func (p *process) logged(event telemetry.Event) (int, *logrus.Entry) {
	count := 0
	var newest *logrus.Entry
	for _, entry := range p.hook.AllEntries() {
		if fmt.Sprint(entry.Data[telemetry.FieldEvent]) == string(event) {
			count++
			newest = entry
		}
	}
	return count, newest
}

func (g *group) eventually(what string, holds func() bool) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("not reached within %s: %s", waitTimeout, what)
		}
	}
}

func (g *group) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *group) status(number int) (intentapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return g.client.Status(ctx, g.processes[number].settings.APIAddress)
}

// leader waits for a leader that a quorum confirms and returns its number.
func (g *group) leader() int {
	g.t.Helper()
	found := -1
	g.eventually("a leader", func() bool {
		for number := range g.processes {
			if status, err := g.status(number); err == nil && status.Current {
				found = number
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) follower() int {
	return (g.leader() + 1) % groupSize
}

// waitCaughtUp waits until every running controller has applied what the leader
// has acknowledged.
func (g *group) waitCaughtUp() {
	g.t.Helper()
	leader, err := g.status(g.leader())
	if err != nil {
		g.t.Fatal(err)
	}
	for number, p := range g.processes {
		if p.stop == nil {
			continue
		}
		g.eventually(p.settings.Name+" caught up", func() bool {
			status, err := g.status(number)
			return err == nil && status.Applied >= leader.Commit
		})
	}
}

func creation(name string) state.Intent {
	return state.Intent{
		ID: state.IntentID("create-" + name), Operator: "test", Kind: state.IntentCreateService,
		CreateService: &state.CreateService{Name: state.ServiceName(name), Settings: state.ServiceSettings{
			DefaultTimeoutMs: 1000, QueueLimit: 10, RequestLimit: 100, MaxMoves: 1,
		}},
	}
}

// create plans and confirms a service, and returns the confirmed plan.
func (g *group) create(name string) state.Plan {
	g.t.Helper()
	ctx := g.context()
	plan, err := g.client.Plan(ctx, creation(name))
	if err != nil {
		g.t.Fatalf("plan %s: %v", name, err)
	}
	plan, err = g.client.Confirm(ctx, plan.ID, intentapi.ConfirmRequest{Operator: "test", Digest: plan.Digest})
	if err != nil {
		g.t.Fatalf("confirm %s: %v", name, err)
	}
	return plan
}

// wantServices fails unless the group holds exactly the services s000, s001, and so on.
func (g *group) wantServices(count int) {
	g.t.Helper()
	services, err := g.client.Services(g.context())
	if err != nil {
		g.t.Fatal(err)
	}
	if len(services) != count {
		g.t.Fatalf("%d services, want %d", len(services), count)
	}
	for number, service := range services {
		if want := serviceName(number); service.Name != state.ServiceName(want) {
			g.t.Fatalf("service %d is %s, want %s", number, service.Name, want)
		}
	}
}

func serviceName(number int) string { return fmt.Sprintf("s%03d", number) }
