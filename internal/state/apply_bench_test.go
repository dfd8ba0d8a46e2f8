package state

import (
	"testing"
)

// BenchmarkZoneApplied measures the cost per shard change of applying the loss of a
// zone: the sessions of one seventh of the servers are closed, and their shards are
// reassigned to the other servers in batches.
func BenchmarkZoneApplied(b *testing.B) {
	const zones, shards, batch = 7, 530_000, 2048
	changes := 0
	for b.Loop() {
		b.StopTimer()
		large := largeState(shards)
		servers := large.Servers()
		for number := range servers {
			large.Apply(uint64(number+2), Command{OpenSession: &OpenSession{Server: servers[number].ID, Incarnation: "one"}})
		}
		index := uint64(len(servers) + 2)
		var lost []ShardAssignment
		for number := 0; number < len(servers); number += zones {
			for _, shard := range large.OwnedBy(servers[number].ID) {
				lost = append(lost, ShardAssignment{Shard: shard.ID, Epoch: shard.Epoch, Server: servers[number+1].ID, Session: 1})
			}
		}
		b.StartTimer()
		for number := 0; number < len(servers); number += zones {
			index++
			large.Apply(index, Command{CloseSession: &CloseSession{Server: servers[number].ID, Session: 1}})
		}
		for position := 0; position < len(lost); position += batch {
			index++
			large.Apply(index, Command{AssignShards: &AssignShards{Assignments: lost[position:min(position+batch, len(lost))]}})
		}
		changes += 2 * len(lost)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(changes), "ns/change")
}

// BenchmarkCreateApplied measures applying one plan that creates every shard.
func BenchmarkCreateApplied(b *testing.B) {
	for _, shards := range benchmarkSizes {
		b.Run("", func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				empty := New()
				empty.Apply(1, Command{StorePlan: &StorePlan{Plan: Plan{ID: "create", Operations: []Operation{
					{PutService: &Service{Name: "s", Keyed: true}}, {CreateShards: &CreateShards{Service: "s", Count: shards}},
				}}}})
				b.StartTimer()
				if result := empty.Apply(2, Command{ConfirmPlan: &ConfirmPlan{Plan: "create"}}); result.Err != nil {
					b.Fatal(result.Err)
				}
			}
		})
	}
}
