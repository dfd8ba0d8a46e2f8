package platform

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/platformapi"
)

func TestChangesLag(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	live := platformapi.Machine{ID: "a", Address: "127.0.0.1:1", State: platformapi.MachineLive}
	platform, err := New(Config{Address: "127.0.0.1:0", Lag: time.Minute, Machines: []platformapi.Machine{live}}, logger)
	if err != nil {
		t.Fatal(err)
	}
	var current atomic.Int64
	platform.now = func() time.Time { return time.Unix(current.Load(), 0) }
	if err := platform.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := platform.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	client := NewClient(platform.Address(), 20*time.Second)
	defer client.client.CloseIdleConnections()
	leaving := live
	leaving.State = platformapi.MachineLeaving
	if err := client.Change(leaving); err != nil {
		t.Fatal(err)
	}
	wantState(t, client, platformapi.MachineLive)
	current.Add(60)
	wantState(t, client, platformapi.MachineLeaving)
	if err := client.Change(platformapi.Machine{ID: "a", State: "asleep"}); err == nil {
		t.Error("an unknown state was taken")
	}
}

func wantState(t *testing.T, client *Client, want platformapi.MachineState) {
	t.Helper()
	machines, err := client.Machines()
	if err != nil || len(machines) != 1 || machines[0].State != want {
		t.Errorf("machines %+v, %v: want one that is %s", machines, err, want)
	}
}
