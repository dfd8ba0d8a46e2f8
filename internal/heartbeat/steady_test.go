package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// evenLoad simulates demand that is spread evenly over all keys and varies only by chance.
type evenLoad struct {
	script *script
	ids    []directory.InstanceID
	// busyMs is the service time of each instance.
	busyMs map[directory.InstanceID]uint32
	// limits are the limits that instances declare, in requests per second.
	limits map[directory.InstanceID]float64
	random *rand.Rand
	// rate is the total demand in requests per second.
	rate float64
}

// evenSlots is the number of slots of each instance.
const evenSlots = 2

// newEvenLoad returns a load that keeps a share of the slots in use, for instances with equal service times.
func newEvenLoad(t testing.TB, instances int, busyMs uint32, share float64) *evenLoad {
	load := &evenLoad{script: newScript(t), busyMs: make(map[directory.InstanceID]uint32), limits: make(map[directory.InstanceID]float64), random: rand.New(rand.NewPCG(11, 13))}
	load.script.core.config.MaxMoves, load.script.core.config.Stripes = 16, 10
	for index := range instances {
		id := directory.InstanceID(fmt.Sprintf("i%03d", index))
		load.ids = append(load.ids, id)
		load.busyMs[id] = busyMs
	}
	const milliseconds = 1000
	load.rate = share * evenSlots * float64(instances) * milliseconds / float64(busyMs)
	return load
}

// runSecond simulates one second: a report every 100 ms, and a heartbeat of each instance.
func (l *evenLoad) runSecond() {
	const reports = 10
	s := l.script
	for step := range reports {
		s.now += time.Second / reports
		layout := s.view.Layout("s")
		report := Report{Service: "s"}
		answered := make(map[directory.InstanceID]uint32)
		expected := l.rate / reports
		arrived := int(expected + l.random.NormFloat64()*expected/4)
		for range arrived {
			key := directory.Key(l.random.IntN(keyCount))
			report.Keys, report.Counts = append(report.Keys, uint16(key)), append(report.Counts, 1)
			if holding, found := layout.At(key); found {
				answered[holding.Owner]++
			}
		}
		for id, count := range answered {
			report.Instances = append(report.Instances, InstanceReport{ID: id, Answered: count, BusyMs: count * l.busyMs[id], Limit: l.limits[id]})
		}
		s.core.AddReport(s.now, report)
		for index, id := range l.ids {
			if index%reports == step {
				beatWithHoldings(s.t, s, id)
			}
		}
		s.apply(s.core.Tick(s.now, s.view)...)
	}
}

// countOwnerChanges simulates a number of seconds and counts the ranges whose owner changed.
func (l *evenLoad) countOwnerChanges(seconds int) int {
	count := 0
	before := l.script.view.Layout("s")
	for range seconds {
		l.runSecond()
		after := l.script.view.Layout("s")
		for _, holding := range after.Holdings {
			earlier, found := before.At(holding.First)
			if found && earlier.Owner != "" && earlier.Owner != holding.Owner && holding.Owner != "" {
				count++
			}
		}
		before = after
	}
	return count
}

// TestChanceMovesNoKeys checks that random variation moves few keys: instances at half of their capacity that
// answer a few requests per second differ by chance alone. Each move leaves its keys without a holder for a
// moment and gains nothing.
func TestChanceMovesNoKeys(t *testing.T) {
	const instances, busyMs = 100, 160
	load := newEvenLoad(t, instances, busyMs, 0.5)
	load.countOwnerChanges(5)
	const seconds = 20
	if moved := load.countOwnerChanges(seconds); moved > instances/2 {
		t.Errorf("%d ranges of %d instances changed owner in %d s of even load", moved, instances, seconds)
	}
}

// TestSlowInstanceGivesKeysAway checks that a lasting load is distinguished from random variation, even if an
// instance answers only a few requests per second.
func TestSlowInstanceGivesKeysAway(t *testing.T) {
	const instances, busyMs, slowMs = 40, 160, 400
	load := newEvenLoad(t, instances, busyMs, 0.45)
	load.countOwnerChanges(5)
	slow := load.ids[7]
	load.busyMs[slow] = slowMs
	before := load.ownedKeys(slow)
	load.countOwnerChanges(20)
	if after := load.ownedKeys(slow); after > before*3/4 {
		t.Errorf("an instance with a service time of %d ms instead of %d owns %d keys, before %d", slowMs, busyMs, after, before)
	}
}

// TestLimitedInstanceGivesKeysAway checks that an instance that declares a limit below the demand for its keys
// keeps only those that it can serve, and that the limit no longer counts once it declares none.
func TestLimitedInstanceGivesKeysAway(t *testing.T) {
	const instances, busyMs = 40, 160
	load := newEvenLoad(t, instances, busyMs, 0.45)
	load.countOwnerChanges(5)
	limited := load.ids[7]
	demand := load.rate / instances
	load.limits[limited] = demand / 3
	before := load.ownedKeys(limited)
	load.countOwnerChanges(10)
	if after := load.ownedKeys(limited); after > before/2 || after < before/8 {
		t.Errorf("an instance limited to a third of its demand owns %d keys, before %d", after, before)
	}
	delete(load.limits, limited)
	load.countOwnerChanges(int(limitLifetime/time.Second) + 1)
	now := load.script.now
	if serviceTime := load.script.core.demandOf(now, "s").serviceTimeOf(now, limited, evenSlots); serviceTime > 2*busyMs/1000.0 {
		t.Errorf("service time %g s: the expired limit still counts", serviceTime)
	}
}

// ownedKeys returns the number of keys that an instance owns, without revoked ones.
func (l *evenLoad) ownedKeys(id directory.InstanceID) int {
	width := 0
	for _, holding := range l.script.view.Layout("s").Holdings {
		if holding.Owner == id && !holding.Revoked {
			width += holding.Width()
		}
	}
	return width
}
