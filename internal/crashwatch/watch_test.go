package crashwatch

import (
	"context"
	"io"
	"net"
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
	watch := NewWatch(system, telemetry.New("gateway", "g", "error", io.Discard), func(losses []quarantine.Loss) { found <- losses }, nil)
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
