package controller

import (
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestRouterWhosePingsAreTooRareGetsNoSession: the notice to the router, the log of the leader and the status
// name the setting, and the router still receives the table.
func TestRouterWhosePingsAreTooRareGetsNoSession(t *testing.T) {
	g := newGroupInMemory(t)
	leader := g.leader()
	times := config.DefaultRouter().Times()
	times.PingInterval = time.Second
	builder := table.NewBuilder()
	s := g.subscribe(leader, builder, message.RouterHello{Times: &times})
	frame := s.receive()
	if frame.Notice == nil || len(frame.Notice.Problems) != 1 || !strings.Contains(frame.Notice.Problems[0], "ping_interval") {
		t.Fatalf("frame for a router whose pings are too rare: %+v", frame)
	}
	s.applyUntil(g.create("first").Accepted)
	status, err := g.status(leader)
	if err != nil || len(status.Routers) != 1 || len(status.Routers[0].Problems) != 1 || !strings.Contains(status.Routers[0].Problems[0], "partitions.lease_duration") {
		t.Errorf("status %+v, %v", status.Routers, err)
	}
	logged := false
	for _, entry := range g.processes[leader].hook.AllEntries() {
		logged = logged || entry.Data[telemetry.FieldEvent] == string(telemetry.EventSettingsMismatch)
	}
	if !logged {
		t.Error("the leader did not log the mismatch")
	}
	s.wantSession(false)
	s.connection.Close()

	times = config.DefaultRouter().Times()
	s = g.subscribe(leader, table.NewBuilder(), message.RouterHello{Times: &times})
	s.wantSession(true)
}

// wantSession pings until a pong contains a session, or for as many pings as would have brought one.
func (s *subscriber) wantSession(wanted bool) {
	s.t.Helper()
	const pings = 60
	for nonce := range uint64(pings) {
		s.send(&message.RouterFrame{Ping: &message.Ping{Nonce: nonce, SentNs: 1}})
		frame := s.receive()
		for frame.Pong == nil {
			frame = s.receive()
		}
		if frame.Pong.Session > 0 {
			if !wanted {
				s.t.Error("the router got a session")
			}
			return
		}
		time.Sleep(config.DefaultController().Maintenance.Interval)
	}
	if wanted {
		s.t.Error("the router got no session")
	}
}
