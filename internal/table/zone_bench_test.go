package table

import (
	"fmt"
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// BenchmarkZoneLoss measures the update of a router's table after the loss of a
// zone with a seventh of 6,200 servers, whose sessions are closed in the given
// number of log entries.
func BenchmarkZoneLoss(b *testing.B) {
	const servers, shards, zones = 6_200, 527_000, 7
	lost := servers / zones
	for _, entries := range []int{lost, 60, 15} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				view, builder := largeTable(b, servers, shards)
				deltas := closeSessionDeltas(view, lost, entries, zones)
				b.StartTimer()
				for _, delta := range deltas {
					if err := builder.ApplyDelta(delta); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

func serverID(number int) state.ServerID {
	return state.ServerID(fmt.Sprintf("server-%05d", number))
}

// largeTable returns a state in which every server has a session and the shards
// are spread over the servers, and a builder with a table at its revision.
func largeTable(b *testing.B, servers, shards int) (*state.State, *Builder) {
	b.Helper()
	view := state.New()
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true}}}
	for number := range servers {
		operations = append(operations, state.Operation{PutServer: &state.Server{ID: serverID(number), Service: "s"}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: shards}})
	view.Apply(1, state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: "create", Operations: operations}}})
	view.Apply(2, state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: "create"}})
	index := uint64(2)
	for number := range servers {
		index++
		view.Apply(index, state.Command{OpenSession: &state.OpenSession{Server: serverID(number), Incarnation: "one"}})
	}
	assign := &state.AssignShards{}
	for position, shard := range view.ShardsOf("s") {
		assign.Assignments = append(assign.Assignments, state.ShardAssignment{Shard: shard.ID, Server: serverID(position * 7919 % servers), Session: 1})
	}
	view.Apply(index+1, state.Command{AssignShards: assign})
	builder := NewBuilder()
	part := message.TableSnapshot{First: true, Last: true, Revision: view.Revision(), Digest: view.Digest(), Objects: view.Objects()}
	if _, err := builder.ApplySnapshot(part); err != nil {
		b.Fatal(err)
	}
	return view, builder
}

// closeSessionDeltas closes the sessions of the lost servers in a number of log
// entries, and returns one delta for each.
func closeSessionDeltas(view *state.State, lost, entries, zones int) []message.TableDelta {
	var deltas []message.TableDelta
	for entry := range entries {
		closed := &state.CloseSessions{}
		for number := entry * lost / entries; number < (entry+1)*lost/entries; number++ {
			closed.Sessions = append(closed.Sessions, state.CloseSession{Server: serverID(number * zones), Session: 1})
		}
		previous := view.Revision()
		result := view.Apply(uint64(previous)+1, state.Command{CloseSessions: closed})
		deltas = append(deltas, message.TableDelta{From: previous, To: view.Revision(), Digest: view.Digest(), Objects: result.Changed})
	}
	return deltas
}
