package controller

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// TestTableStreamOfServices: a router that subscribes to one service gets its part of the table, learns of
// every revision, and gets only changes after a reconnect; one that holds a different part gets a full table.
func TestTableStreamOfServices(t *testing.T) {
	g := newGroupInMemory(t)
	leader := g.leader()
	g.create("left-out")
	first := g.create("routed").Accepted
	builder := table.NewBuilder()
	hello := message.RouterHello{Services: []state.ServiceName{"routed"}}
	s := g.subscribe(leader, builder, hello)
	s.applyUntil(first)
	second := g.create("left-out-too").Accepted
	s.wantRevision(second)
	if s.snapshots != 1 {
		t.Errorf("%d full tables, want 1", s.snapshots)
	}
	view := builder.Table()
	_, routed := view.Service("routed")
	_, leftOut := view.Service("left-out")
	if !routed || leftOut || view.Summary().Services != 1 {
		t.Errorf("unexpected part of the table: %+v", view.Summary())
	}
	g.eventually("the router's services in the status", func() bool {
		status, err := g.status(leader)
		return err == nil && len(status.Routers) == 1 && len(status.Routers[0].Services) == 1 && status.Routers[0].Revision >= first
	})
	s.connection.Close()
	third := g.create("left-out-again").Accepted
	back := resumeHello(builder)
	back.Services = hello.Services
	s = g.subscribe(leader, builder, back)
	s.wantRevision(third)
	if s.snapshots != 0 {
		t.Errorf("%d full tables after a reconnect, want none", s.snapshots)
	}
	s.connection.Close()
	other := resumeHello(builder)
	other.Services = []state.ServiceName{"left-out"}
	s = g.subscribe(leader, table.NewBuilder(), other)
	s.applyUntil(third)
	if s.snapshots != 1 {
		t.Errorf("%d full tables for a different part, want 1", s.snapshots)
	}
}

// wantRevision sends a ping and applies frames until the table is at a revision.
func (s *subscriber) wantRevision(revision state.Revision) {
	s.t.Helper()
	s.send(&message.RouterFrame{Ping: &message.Ping{Nonce: 1, SentNs: 1, Revision: s.builder.Table().Revision()}})
	s.applyUntil(revision)
}
