package table

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Benchmark sizes: the largest deployment that the design targets.
const (
	benchmarkShards  = 530_000
	benchmarkServers = 6_200
	benchmarkPart    = 1_000
)

func benchmarkObject(number int, epoch state.Epoch) state.Object {
	const width = ^uint64(0)/benchmarkShards + 1
	first := uint64(number) * width
	last := first + width - 1
	if number == benchmarkShards-1 {
		last = ^uint64(0)
	}
	object := shardObject(number+1, first, last, epoch)
	object.Shard.Owner = state.ServerID(fmt.Sprintf("server-%05d", number%benchmarkServers))
	return object
}

func benchmarkBuilder(b *testing.B) (*Builder, message.TableDelta) {
	builder := NewBuilder()
	digest := uint64(0)
	for number := range benchmarkShards {
		digest ^= state.ObjectDigest(benchmarkObject(number, 1))
	}
	for start := 0; start < benchmarkShards; start += benchmarkPart {
		part := message.TableSnapshot{Cluster: "c", Revision: 1, Digest: digest, First: start == 0, Last: start+benchmarkPart == benchmarkShards}
		for number := start; number < start+benchmarkPart; number++ {
			part.Objects = append(part.Objects, benchmarkObject(number, 1))
		}
		if _, err := builder.ApplySnapshot(part); err != nil {
			b.Fatal(err)
		}
	}
	return builder, message.TableDelta{To: 1, Digest: digest}
}

func BenchmarkLookup(b *testing.B) {
	builder, _ := benchmarkBuilder(b)
	random := rand.New(rand.NewPCG(1, 1))
	hashes := make([]uint64, 1<<16)
	for index := range hashes {
		hashes[index] = random.Uint64()
	}
	view := builder.Table()
	b.Run("one", func(b *testing.B) {
		index := 0
		for b.Loop() {
			view.Lookup(service, hashes[index%len(hashes)])
			index++
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(next *testing.PB) {
			for index := rand.IntN(len(hashes)); next.Next(); index++ {
				view.Lookup(service, hashes[index%len(hashes)])
			}
		})
	})
}

// BenchmarkDelta changes the owner of one shard.
func BenchmarkDelta(b *testing.B) {
	builder, delta := benchmarkBuilder(b)
	epochs := make(map[int]state.Epoch)
	number := 0
	for b.Loop() {
		b.StopTimer()
		number = (number + 7919) % benchmarkShards
		before := benchmarkObject(number, epochs[number]+1)
		epochs[number]++
		after := benchmarkObject(number, epochs[number]+1)
		delta.From, delta.To = delta.To, delta.To+1
		delta.Objects = []state.Object{after}
		delta.Digest ^= state.ObjectDigest(before) ^ state.ObjectDigest(after)
		b.StartTimer()
		if err := builder.ApplyDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeap reports the memory that a table takes, and the duration of a
// garbage collection of a heap that holds little else.
func BenchmarkHeap(b *testing.B) {
	before := heapBytesAfterGC()
	builder, _ := benchmarkBuilder(b)
	tableBytes := heapBytesAfterGC() - before
	for b.Loop() {
		runtime.GC()
	}
	b.ReportMetric(float64(tableBytes)/(1<<20), "MB")
	runtime.KeepAlive(builder)
}

func heapBytesAfterGC() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
