package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// sizedScript returns a script with a founded service of many instances beside as
// many that hold no keys, as on a deployment of some hundred servers.
func sizedScript(b *testing.B, instances int) (*script, []directory.InstanceID) {
	b.Helper()
	s := newScript(b)
	s.core.config.Stripes = 110
	var ids []directory.InstanceID
	for index := range instances {
		ids = append(ids, directory.InstanceID(fmt.Sprintf("i-%08x", index)))
	}
	for range 3 {
		for _, id := range ids {
			beatSized(b, s, id)
		}
		s.now += time.Second
		s.apply(s.core.Tick(s.now, s.view)...)
	}
	return s, ids
}

func beatSized(b *testing.B, s *script, id directory.InstanceID) {
	b.Helper()
	s.sequence[id]++
	beat := Beat{Instance: id, Service: "s", Address: "address-" + string(id), Slots: 2, Sequence: s.sequence[id]}
	commands, err := s.core.Receive(s.now, beat, s.view)
	if err != nil {
		b.Fatal(err)
	}
	s.apply(commands...)
	s.core.Answer(id, s.view)
}

// BenchmarkHeartbeat is one heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	for _, instances := range []int{20, 200, 600} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			s, ids := sizedScript(b, instances)
			b.ReportAllocs()
			b.ResetTimer()
			for index := range b.N {
				s.now += time.Millisecond
				beatSized(b, s, ids[index%len(ids)])
			}
		})
	}
}

// BenchmarkTick is one look at leases that may have ended.
func BenchmarkTick(b *testing.B) {
	for _, instances := range []int{20, 200, 600} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			s, _ := sizedScript(b, instances)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.core.Tick(s.now, s.view)
			}
		})
	}
}
