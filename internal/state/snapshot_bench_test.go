package state

import (
	"fmt"
	"testing"
)

// benchmarkSizes are numbers of shards. Each server owns about 85, as at the largest
// cluster size that the design targets.
var benchmarkSizes = []int{50_000, 200_000, 530_000}

const shardsPerServer = 85

func largeState(shards int) *State {
	large := New()
	tx := &transaction{state: large, revision: 1}
	tx.putService(Service{Name: "ledger-view", Keyed: true, Mode: ModeManaged})
	servers := shards / shardsPerServer
	for number := range servers {
		tx.putServer(Server{ID: ServerID(fmt.Sprint("server-", number)), Service: "ledger-view", Address: "10.1.2.3:8080", Zone: "zone-1"})
	}
	tx.createShards(&CreateShards{Service: "ledger-view", Count: shards})
	for number, shard := range large.ShardsOf("ledger-view") {
		shard.Phase = ShardOwned
		shard.Owner = ServerID(fmt.Sprint("server-", number%servers))
		shard.Epoch = 3
		tx.putShard(shard)
	}
	return large
}

// BenchmarkFreeze measures how long taking a snapshot blocks the replica's event loop.
func BenchmarkFreeze(b *testing.B) {
	for _, shards := range benchmarkSizes {
		large := largeState(shards)
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			for b.Loop() {
				large.Freeze()
			}
		})
	}
}

// BenchmarkEncode measures the rest of a snapshot, which runs concurrently with the loop.
func BenchmarkEncode(b *testing.B) {
	for _, shards := range benchmarkSizes {
		large := largeState(shards)
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			size := 0
			for b.Loop() {
				encoded, err := large.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size)/float64(shards), "bytes/shard")
		})
	}
}

// BenchmarkDecode measures restoring the state from a snapshot at a restart.
func BenchmarkDecode(b *testing.B) {
	for _, shards := range benchmarkSizes {
		encoded, err := largeState(shards).Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
