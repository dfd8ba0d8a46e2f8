package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestPanicOfALoopIsToldAndTheLoopGoesOn guards against a gateway that lives on without its subscription after a panic,
// and tells of it only when it stops.
func TestPanicOfALoopIsToldAndTheLoopGoesOn(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Name, settings.Seeds = "g", []string{"127.0.0.1:1"}
	var dials atomic.Int64
	logger, hook := logtest.NewNullLogger()
	gateway, err := New(settings, logrus.NewEntry(logger), Options{
		DialPeer: func(context.Context, string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				panic("planted panic")
			}
			return nil, errors.New("planted error")
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { gateway.keep(ctx, "subscription", gateway.subscription.run) })
	eventually(t, "the panic is logged", func() bool {
		for _, entry := range hook.AllEntries() {
			if fmt.Sprint(entry.Data[telemetry.FieldEvent]) == string(telemetry.EventPanicked) {
				return true
			}
		}
		return false
	})
	eventually(t, "the subscription goes on", func() bool { return dials.Load() > 1 })
}
