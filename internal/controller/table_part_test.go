package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// TestTableStreamOfServices: a router that subscribes to one service gets its
// part of the table, hears of every revision, and comes back with changes alone;
// one whose part differs gets a whole one.
func TestTableStreamOfServices(t *testing.T) {
	g := newGroupInMemory(t)
	leader := g.leader()
	g.create("left-out")
	first := g.create("routed").Accepted
	builder := table.NewBuilder()
	hello := message.RouterHello{Services: []state.ServiceName{"routed"}}
	s := g.subscribe(leader, builder, hello)
	s.reach(first)
	second := g.create("left-out-too").Accepted
	s.wantRevision(second)
	if s.snapshots != 1 {
		t.Errorf("%d whole tables", s.snapshots)
	}
	view := builder.Table()
	_, routed := view.Service("routed")
	_, leftOut := view.Service("left-out")
	if !routed || leftOut || view.Summary().Services != 1 {
		t.Errorf("the part is %+v", view.Summary())
	}
	g.eventually("the router's services in the status", func() bool {
		status, err := g.status(leader)
		return err == nil && len(status.Routers) == 1 && len(status.Routers[0].Services) == 1 && status.Routers[0].Revision >= first
	})
	s.connection.Close()
	third := g.create("left-out-again").Accepted
	back := held(builder)
	back.Services = hello.Services
	s = g.subscribe(leader, builder, back)
	s.wantRevision(third)
	if s.snapshots != 0 {
		t.Errorf("%d whole tables after a reconnect", s.snapshots)
	}
	s.connection.Close()
	other := held(builder)
	other.Services = []state.ServiceName{"left-out"}
	s = g.subscribe(leader, table.NewBuilder(), other)
	s.reach(third)
	if s.snapshots != 1 {
		t.Errorf("%d whole tables for another part", s.snapshots)
	}
}

// wantRevision pings until the table is at a revision.
func (s *subscriber) wantRevision(revision state.Revision) {
	s.t.Helper()
	s.send(&message.RouterFrame{Ping: &message.Ping{Nonce: 1, SentNs: 1, Revision: s.builder.Table().Revision()}})
	s.reach(revision)
}
