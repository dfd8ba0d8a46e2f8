package controller

import (
	"context"
	"testing"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// subscriber is the router end of a table connection.
type subscriber struct {
	t          *testing.T
	connection *wire.Conn
	builder    *table.Builder
	// snapshots counts full tables by their first frames, deltas counts frames.
	snapshots, deltas int
}

// subscribe opens a table connection to a controller.
func (g *group) subscribe(number int, builder *table.Builder, hello message.RouterHello) *subscriber {
	g.t.Helper()
	connection, err := wire.Dial(context.Background(), g.processes[number].settings.PeerAddress, wire.Options{})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(connection.Close)
	s := &subscriber{t: g.t, connection: connection, builder: builder}
	s.send(&message.Hello{Purpose: message.PurposeTable, From: "r"})
	hello.Router = state.Router{ID: "r", Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Zone: "z"}
	s.send(&message.RouterFrame{Hello: &hello})
	return s
}

func (s *subscriber) send(value any) {
	s.t.Helper()
	if err := s.connection.Send(context.Background(), value); err != nil {
		s.t.Fatal(err)
	}
}

func (s *subscriber) receive() message.ControllerFrame {
	s.t.Helper()
	var frame message.ControllerFrame
	if err := s.connection.Receive(&frame); err != nil {
		s.t.Fatal(err)
	}
	if frame.Refusal != nil {
		s.t.Fatalf("refused: %+v", *frame.Refusal)
	}
	return frame
}

// applyUntil receives and applies frames until the table is at a revision.
func (s *subscriber) applyUntil(revision state.Revision) {
	s.t.Helper()
	for s.builder.Table().Revision() < revision {
		frame := s.receive()
		var err error
		switch {
		case frame.Snapshot != nil:
			if frame.Snapshot.First {
				s.snapshots++
			}
			_, err = s.builder.ApplySnapshot(*frame.Snapshot)
		case frame.Delta != nil:
			s.deltas++
			err = s.builder.ApplyDelta(*frame.Delta)
		}
		if err != nil {
			s.t.Fatal(err)
		}
	}
}

// wantPongsInOrder sends many pings at once and requires a pong for each.
func (s *subscriber) wantPongsInOrder(count uint64, revision state.Revision) {
	s.t.Helper()
	const first = 100
	for nonce := range count {
		s.send(&message.RouterFrame{Ping: &message.Ping{Nonce: first + nonce, SentNs: 1, Revision: revision}})
	}
	for next := uint64(first); next < first+count; {
		frame := s.receive()
		if frame.Pong == nil {
			continue
		}
		if frame.Pong.Nonce != next {
			s.t.Fatalf("got pong %d, want %d", frame.Pong.Nonce, next)
		}
		next++
	}
}

func resumeHello(builder *table.Builder) message.RouterHello {
	view := builder.Table()
	return message.RouterHello{Cluster: view.Cluster(), Revision: view.Revision(), Digest: view.Digest()}
}

// TestTableStream: a new router gets one snapshot and then only changes, also after a reconnect; a router
// whose table differs gets a snapshot again; a pong echoes its ping and names a revision that covers every
// acknowledged change.
func TestTableStream(t *testing.T) {
	g := newGroupInMemory(t)
	leader := g.leader()
	first := g.create("first").Accepted
	builder := table.NewBuilder()
	s := g.subscribe(leader, builder, message.RouterHello{})
	s.applyUntil(first)
	second := g.create("second").Accepted
	s.applyUntil(second)
	if s.snapshots != 1 || s.deltas < 1 {
		t.Errorf("%d snapshots and %d deltas", s.snapshots, s.deltas)
	}

	s.send(&message.RouterFrame{Ping: &message.Ping{Nonce: 7, SentNs: 11, Revision: second}})
	frame := s.receive()
	for frame.Pong == nil {
		frame = s.receive()
	}
	if frame.Pong.Nonce != 7 || frame.Pong.SentNs != 11 || frame.Pong.Revision < second {
		t.Errorf("pong %+v after revision %d", frame.Pong, second)
	}
	s.wantPongsInOrder(50, second)
	g.eventually("the router's revision in the status", func() bool {
		status, err := g.status(leader)
		return err == nil && len(status.Routers) == 1 && status.Routers[0].Revision == second
	})

	s.connection.Close()
	third := g.create("third").Accepted
	s = g.subscribe(leader, builder, resumeHello(builder))
	s.applyUntil(third)
	if s.snapshots != 0 || s.deltas < 1 {
		t.Errorf("after a reconnect: %d snapshots and %d deltas", s.snapshots, s.deltas)
	}

	// The full table that was encoded for the first router is reused for the next one,
	// followed by changes, but not for a router that holds a newer table.
	s = g.subscribe(leader, table.NewBuilder(), message.RouterHello{})
	s.applyUntil(third)
	if s.snapshots != 1 || s.deltas < 2 {
		t.Errorf("a second router: %d snapshots and %d deltas", s.snapshots, s.deltas)
	}
	damaged := resumeHello(builder)
	damaged.Resync = true
	s = g.subscribe(leader, builder, damaged)
	if frame := s.receive(); frame.Snapshot == nil || frame.Snapshot.Revision < third {
		t.Errorf("a resync from revision %d got %+v", third, frame)
	}

	otherCluster := resumeHello(builder)
	otherCluster.Cluster = "another"
	s = g.subscribe(leader, table.NewBuilder(), otherCluster)
	s.applyUntil(third)
	if s.snapshots != 1 {
		t.Errorf("with the table of another cluster: %d snapshots, want 1", s.snapshots)
	}

	var answer message.ControllerFrame
	s = g.subscribe((leader+1)%groupSize, table.NewBuilder(), message.RouterHello{})
	if err := s.connection.Receive(&answer); err != nil || answer.Refusal == nil {
		t.Fatalf("a follower answered %+v, %v", answer, err)
	}
	want := message.Refusal{
		Kind: fault.NotLeader, Detail: g.processes[leader].settings.PeerAddress,
		From: g.processes[(leader+1)%groupSize].settings.PeerAddress,
	}
	if *answer.Refusal != want {
		t.Errorf("a follower refused with %+v, want %+v", *answer.Refusal, want)
	}
}
