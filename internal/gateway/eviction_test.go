package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/overload"
)

// TestAnswerThatWaitsForItsTurnIsNotEvicted guards against the loss of answers that wait for this machine's own link while
// memory is short: their callers would read them.
func TestAnswerThatWaitsForItsTurnIsNotEvicted(t *testing.T) {
	const (
		bytes = 1 << 20
		later = time.Minute
	)
	budget := overload.NewBudget(overload.Limits{Bytes: bytes, Connections: 10})
	granted, asked := make(chan struct{}), make(chan struct{}, 1)
	dialled, accepted := net.Pipe()
	waiting := &meteredConnection{
		Connection: intake.Admit(accepted, budget, testClock), traffic: connectionTraffic{&link.Meter{}},
		turn: func(int) {
			asked <- struct{}{}
			<-granted
		},
	}
	defer func() { _ = waiting.Close() }()
	waiting.Load().Take(testClock.Now(), bytes)
	waiting.Load().Enter(testClock.Now(), overload.Writing)
	var group conc.WaitGroup
	defer group.Wait()
	defer func() {
		_ = dialled.Close() // the write fails
		close(granted)
	}()
	group.Go(func() { _, _ = waiting.Write([]byte("answer")) })
	<-asked
	otherEnd, other := net.Pipe()
	defer func() { _ = otherEnd.Close() }()
	next := intake.Admit(other, budget, testClock)
	defer func() { _ = next.Close() }()
	if next.Load().Reserve(testClock.Now()+later, bytes/2) {
		t.Error("reserved beyond the limit")
	}
	if waiting.Load().Evicted() {
		t.Error("the connection was evicted while its answer waits for a turn")
	}
}
