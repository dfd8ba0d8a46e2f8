package heartbeat

import (
	"fmt"
	"testing"
)

// BenchmarkLeaderSecond measures what one second costs a leader: a heartbeat of each instance, ten demand
// reports and ten ticks, for a service that uses half of its slots.
func BenchmarkLeaderSecond(b *testing.B) {
	for _, instances := range []int{120, 240, 480, 1000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			const busyMs, share, stripes = 160, 0.5, 110
			load := newEvenLoad(b, instances, busyMs, share)
			load.script.core.config.Stripes = stripes
			load.countOwnerChanges(3)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				load.runSecond()
			}
		})
	}
}
