package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/platformapi"
)

// maxChanges bounds the changes that are held back by the lag.
const maxChanges = 100_000

// Config describes the stand-in.
type Config struct {
	// Address to listen on, IP:port; port 0 takes one from the kernel.
	Address string `json:"address" yaml:"address"`
	// Lag is how long a change stays invisible.
	Lag time.Duration `json:"lag" yaml:"lag"`
	// Machines are visible from the start.
	Machines []platformapi.Machine `json:"machines" yaml:"machines"`
}

// Platform serves the list. It is safe for concurrent use.
type Platform struct {
	config   Config
	logger   *logrus.Logger
	server   *fasthttp.Server
	listener net.Listener
	serving  conc.WaitGroup
	now      func() time.Time

	mutex   sync.Mutex
	visible map[string]platformapi.Machine
	pending []change
}

// change becomes visible at a time.
type change struct {
	at      time.Time
	machine platformapi.Machine
}

// New returns a platform that does not listen yet.
func New(config Config, logger *logrus.Logger) (*Platform, error) {
	if config.Lag < 0 {
		return nil, eris.Errorf("lag: is %s: give 0 or more", config.Lag)
	}
	created := &Platform{
		config:  config,
		logger:  logger,
		now:     time.Now,
		visible: make(map[string]platformapi.Machine),
	}
	for _, machine := range config.Machines {
		if err := validate(machine); err != nil {
			return nil, eris.Wrap(err, "machines")
		}
		created.visible[machine.ID] = machine
	}
	created.server = &fasthttp.Server{
		Handler:         created.handle,
		CloseOnShutdown: true,
		Logger:          logger,
	}
	return created, nil
}

func validate(machine platformapi.Machine) error {
	if machine.ID == "" {
		return eris.New(`id: is "": name the machine`)
	}
	switch machine.State {
	case platformapi.MachineLive, platformapi.MachineLeaving, platformapi.MachineGone:
		return nil
	default:
		return eris.Errorf("state: is %q: give %q, %q or %q", machine.State,
			platformapi.MachineLive, platformapi.MachineLeaving, platformapi.MachineGone)
	}
}

// Start listens and serves until Shutdown.
func (p *Platform) Start() error {
	listener, err := net.Listen("tcp", p.config.Address)
	if err != nil {
		return eris.Wrapf(err, "address: listen on %q", p.config.Address)
	}
	p.listener = listener
	p.serving.Go(func() {
		if err := p.server.Serve(listener); err != nil {
			p.logger.WithError(err).Error("platform stopped serving")
		}
	})
	return nil
}

// Run serves until the context ends, then stops within the given time.
func (p *Platform) Run(ctx context.Context, stopWithin time.Duration) error {
	if err := p.Start(); err != nil {
		return err
	}
	p.logger.WithField("address", p.Address()).Info("platform serves")
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
	defer cancel()
	return p.Shutdown(stopping)
}

// Shutdown stops serving.
func (p *Platform) Shutdown(ctx context.Context) error {
	if err := p.server.ShutdownWithContext(ctx); err != nil {
		return eris.Wrap(err, "stop platform")
	}
	p.serving.Wait()
	return nil
}

// Address returns the address that the platform listens on.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// Change adds or changes one machine; the list shows it after the lag.
func (p *Platform) Change(machine platformapi.Machine) error {
	if err := validate(machine); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.settle()
	if len(p.pending) >= maxChanges || len(p.visible) >= platformapi.MaxMachines {
		return eris.Errorf("machines: the list is full with %d machines and %d changes", len(p.visible), len(p.pending))
	}
	p.pending = append(p.pending, change{at: p.now().Add(p.config.Lag), machine: machine})
	return nil
}

// Machines returns the list as it is visible now.
func (p *Platform) Machines() platformapi.MachineList {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.settle()
	return slices.SortedFunc(maps.Values(p.visible), func(a, b platformapi.Machine) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// settle makes the changes visible whose time has come.
func (p *Platform) settle() {
	now := p.now()
	for len(p.pending) > 0 && !p.pending[0].at.After(now) {
		p.visible[p.pending[0].machine.ID] = p.pending[0].machine
		p.pending = p.pending[1:]
	}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != platformapi.PathMachines:
		ctx.Error("path: use "+platformapi.PathMachines, fasthttp.StatusNotFound)
	case ctx.IsGet():
		p.handleList(ctx)
	case ctx.IsPost():
		p.handleChange(ctx)
	default:
		ctx.Error("method: use GET or POST", fasthttp.StatusMethodNotAllowed)
	}
}

func (p *Platform) handleList(ctx *fasthttp.RequestCtx) {
	machines := p.Machines()
	if machines == nil {
		machines = platformapi.MachineList{}
	}
	encoded, err := json.Marshal(machines)
	if err != nil {
		ctx.Error("encode list", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func (p *Platform) handleChange(ctx *fasthttp.RequestCtx) {
	var machine platformapi.Machine
	if err := json.Unmarshal(ctx.PostBody(), &machine); err != nil {
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := p.Change(machine); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
