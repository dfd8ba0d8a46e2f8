package crashwatch

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

const crashTimeout = 30 * time.Second

// TestLostConnectionsAreProbed: an instance has crashed if it refuses connections, at once or a little
// later, or if its address belongs to another instance. An instance that only closed a connection has not.
func TestLostConnectionsAreProbed(t *testing.T) {
	found := make(chan []quarantine.Loss, 8)
	system := clock.NewSystem()
	watch := NewWatch(system, telemetry.New("gateway", "g", "error", io.Discard), Options{OnCrash: func(losses []quarantine.Loss) { found <- losses }})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { watch.Run(ctx) })
	lose := func(id directory.InstanceID, address string, probe bool) {
		now := system.Now()
		watch.Lost(quarantine.Loss{Fingerprint: 1, Instance: id, Began: now - time.Millisecond, Ended: now}, address, probe)
	}
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ending, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ended.Close()
	expect := func(want directory.InstanceID) {
		t.Helper()
		select {
		case losses := <-found:
			if len(losses) != 1 || losses[0].Instance != want {
				t.Errorf("crashes %+v, want of %s", losses, want)
			}
		case <-time.After(crashTimeout):
			t.Errorf("no crash of %s", want)
		}
	}
	lose("ended", ended.Addr().String(), true)
	expect("ended")
	lose("ending", ending.Addr().String(), true)
	time.Sleep(probeInterval / 4)
	_ = ending.Close()
	expect("ending")
	lose("replaced", alive.Addr().String(), false)
	watch.Check(func(id directory.InstanceID) bool { return id == "replaced" })
	expect("replaced")
	lose("alive", alive.Addr().String(), true)
	time.Sleep(probeInterval + probeTimeout)
	watch.Check(func(id directory.InstanceID) bool { return id != "alive" })
	select {
	case losses := <-found:
		t.Errorf("crashes %+v of an instance that is alive", losses)
	default:
	}
	_ = alive.Close()
}

// TestRefusalsOfACutAreNoCrash checks that a refused connection proves no crash while other instances refuse
// connections too, and that it does as soon as one of them accepts.
func TestRefusalsOfACutAreNoCrash(t *testing.T) {
	found := make(chan []quarantine.Loss, 1)
	system := clock.NewSystem()
	var healed atomic.Bool
	watch := NewWatch(system, telemetry.New("gateway", "g", "error", io.Discard), Options{
		OnCrash: func(losses []quarantine.Loss) { found <- losses },
		Dial: func(address string, _ time.Duration) (net.Conn, error) {
			if address == "ended" || !healed.Load() {
				return nil, syscall.ECONNREFUSED
			}
			near, far := net.Pipe()
			return near, far.Close()
		},
		Others: func(directory.InstanceID) []string { return []string{"other"} },
	})
	target := probeTarget{"ended", "ended"}
	watch.Lost(quarantine.Loss{Fingerprint: 1, Instance: target.id}, target.address, false)
	watch.probe(t.Context(), target)
	if len(found) > 0 {
		t.Error("a refusal counts as a crash though others refuse as well")
	}
	healed.Store(true)
	watch.probe(t.Context(), target)
	if len(found) != 1 {
		t.Error("a refusal does not count as a crash though others accept connections")
	}
}

// TestOthersAreASample checks that few addresses are kept, and that none is left out always.
func TestOthersAreASample(t *testing.T) {
	chosen := make(map[string]int)
	for range 300 {
		var others Others
		for _, address := range []string{"a", "b", "c", "d", "e", "f"} {
			others.Add(address)
		}
		if len(others.Addresses()) != maxOthers {
			t.Fatalf("sample %v", others.Addresses())
		}
		for _, address := range others.Addresses() {
			chosen[address]++
		}
	}
	if len(chosen) != 6 {
		t.Errorf("chosen: %v", chosen)
	}
}
