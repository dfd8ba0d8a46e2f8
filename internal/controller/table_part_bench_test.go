package controller

import (
	"fmt"
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/tablestream"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// The largest supported size, in services of equal size.
const (
	benchmarkServices = 31
	benchmarkServers  = 200
	benchmarkShards   = 17_000
)

func benchmarkServer(service, number int) state.ServerID {
	return state.ServerID(fmt.Sprintf("server-%02d-%03d", service, number))
}

// benchmarkReplica returns a replica with services whose shards are owned by their servers in rotation.
func benchmarkReplica(b *testing.B) *replica {
	view := state.New()
	apply := func(command state.Command) {
		if result := view.Apply(uint64(view.Revision())+1, command); result.Err != nil {
			b.Fatal(result.Err)
		}
	}
	for service := range benchmarkServices {
		name := state.ServiceName(serviceName(service))
		plan := state.Plan{ID: state.PlanID(name), Operations: []state.Operation{{PutService: &state.Service{Name: name, Keyed: true, MaxMoves: 64}}}}
		for number := range benchmarkServers {
			plan.Operations = append(plan.Operations, state.Operation{PutServer: &state.Server{
				ID: benchmarkServer(service, number), Service: name, Address: "127.0.0.1:1", Zone: "zone-1", Intent: state.ServerActive,
			}})
		}
		plan.Operations = append(plan.Operations, state.Operation{CreateShards: &state.CreateShards{Service: name, Count: benchmarkShards}})
		apply(state.Command{StorePlan: &state.StorePlan{Plan: plan}})
		apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: plan.ID}})
		for number := range benchmarkServers {
			apply(state.Command{OpenSession: &state.OpenSession{Server: benchmarkServer(service, number), Incarnation: "0123456789abcdef"}})
		}
		var assign state.AssignShards
		for number, shard := range view.ShardsOf(name) {
			assign.Assignments = append(assign.Assignments, state.ShardAssignment{Shard: shard.ID, Server: benchmarkServer(service, number%benchmarkServers), Session: 1})
		}
		apply(state.Command{AssignShards: &assign})
	}
	return &replica{state: view, history: tablestream.NewHistory(benchmarkServices, view.Revision())}
}

// BenchmarkPartOfTable reports the bytes of a full table, and of a change of a single shard, for routers of
// one, three and all services.
func BenchmarkPartOfTable(b *testing.B) {
	r := benchmarkReplica(b)
	for _, count := range []int{1, 3, benchmarkServices} {
		var names []state.ServiceName
		for service := range count {
			names = append(names, state.ServiceName(serviceName(service)))
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			subset := table.NewSubset(names)
			whole, changes, changed := 0, 0, 0
			for b.Loop() {
				whole = 0
				encoded := newEncodedTable(r)
				if err := encoded.send(subset, 1000, func(frame wire.Frame) error { whole += frame.Bytes(); return nil }); err != nil {
					b.Fatal(err)
				}
				newest := r.table()
				hello := message.RouterHello{Revision: newest.Revision, Digest: subset.Digest(newest.Sections), Services: names}
				position := tablestream.Subscribe(hello, newest, r.history)
				for service := range benchmarkServices {
					changed += changedBytes(b, r, &position, service)
					changes++
				}
			}
			b.ReportMetric(float64(whole)/(1<<20), "MB/whole")
			b.ReportMetric(float64(changed)/float64(changes), "B/change")
		})
	}
}

// changedBytes starts moving a shard and returns the bytes that a stream sends for it.
func changedBytes(b *testing.B, r *replica, position *tablestream.Position, service int) int {
	shard, _ := r.state.ShardAt(state.ServiceName(serviceName(service)), 1<<63)
	index := uint64(r.state.Revision()) + 1
	r.history.Apply(r.state, index, state.Command{RevokeShards: &state.RevokeShards{Moves: []state.MoveShard{
		{Shard: shard.ID, Epoch: shard.Epoch, From: shard.Owner, To: benchmarkServer(service, 0)},
	}}})
	if shard.Phase == state.ShardRevoking {
		r.history.Apply(r.state, index, state.Command{ReleaseShards: &state.ReleaseShards{Server: shard.Owner, Shards: []state.ShardEpoch{{Shard: shard.ID, Epoch: shard.Epoch}}}})
	}
	if shard.Phase == state.ShardUnowned {
		r.history.Apply(r.state, index, state.Command{AssignShards: &state.AssignShards{Assignments: []state.ShardAssignment{
			{Shard: shard.ID, Epoch: shard.Epoch, Server: benchmarkServer(service, 1), Session: 1},
		}}})
	}
	changes, _, reached := position.Next(r.history)
	if !reached {
		b.Fatal("the history does not continue from the position")
	}
	sent := 0
	for _, change := range changes {
		frame, due, err := position.Take(change)
		if err != nil {
			b.Fatal(err)
		}
		if due {
			sent += frame.Bytes()
		}
	}
	return sent
}
