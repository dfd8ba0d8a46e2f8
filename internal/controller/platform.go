package controller

import (
	"context"
	"encoding/json"
	"net"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/platformapi"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// platformPoller polls the platform's list of machines while this replica leads, and records which servers are
// leaving. The list may be outdated, so it is never taken as proof that a server stopped; only an expired
// lease is.
type platformPoller struct {
	settings config.Platform
	replica  *replica
	client   *fasthttp.Client
}

func newPlatformPoller(settings config.Platform, r *replica) *platformPoller {
	return &platformPoller{settings: settings, replica: r, client: &fasthttp.Client{
		ReadTimeout:         settings.RequestTimeout,
		WriteTimeout:        settings.RequestTimeout,
		MaxResponseBodySize: settings.MaxAnswerBytes,
		Dial: func(address string) (net.Conn, error) {
			connection, err := fasthttp.DialTimeout(address, settings.RequestTimeout)
			if err != nil {
				return nil, err
			}
			return answerhead.Guard(connection), nil
		},
	}}
}

func (p *platformPoller) run(ctx context.Context) {
	if p.settings.URL == "" {
		return
	}
	failing := false
	clock.Every(ctx, p.settings.PollInterval, func() {
		if _, leads := p.replica.leadershipContext(); !leads {
			return
		}
		err := p.poll(ctx)
		if err != nil && !failing {
			telemetry.WithError(p.replica.log, telemetry.EventPlatformFailed, err).Warn("cannot read the machine list of the platform")
		}
		failing = err != nil
	})
}

func (p *platformPoller) poll(ctx context.Context) error {
	machines, err := p.fetch()
	if err != nil {
		return err
	}
	for _, change := range p.changes(machines) {
		command := state.Command{SetLeaving: &change}
		if _, err := p.replica.Propose(ctx, command); err != nil {
			return err
		}
	}
	return nil
}

func (p *platformPoller) fetch() (platformapi.MachineList, error) {
	status, body, err := p.client.GetTimeout(nil, p.settings.URL, p.settings.RequestTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "read the platform's machine list")
	}
	if status != fasthttp.StatusOK {
		return nil, eris.Errorf("read the platform's machine list: status %d", status)
	}
	var machines platformapi.MachineList
	if err := json.Unmarshal(body, &machines); err != nil {
		return nil, eris.Wrap(err, "decode the platform's machine list")
	}
	return machines, nil
}

// changes compares the list with the known servers. A server that is missing from the list is left unchanged:
// the list may not contain a new server yet.
func (p *platformPoller) changes(machines platformapi.MachineList) []state.SetLeaving {
	var changes []state.SetLeaving
	p.replica.view(func(view *state.State) {
		for _, machine := range machines {
			server, found := view.Server(state.ServerID(machine.ID))
			leaving := machine.State != platformapi.MachineLive
			if found && server.Leaving != leaving {
				changes = append(changes, state.SetLeaving{Server: server.ID, Leaving: leaving})
			}
		}
	})
	return changes
}
