package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

func TestHandoversAreMeasuredFromRevocationToConfirmation(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	if taken, found := b.core.Handovers().Expected("s"); found {
		t.Fatalf("%v was measured before any move", taken)
	}
	shard := b.view.OwnedBy("a")[0]
	started := b.now
	b.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
	for {
		b.run(10 * millisecond)
		if _, found := b.core.Handovers().Expected("s"); found {
			break
		}
		if b.now-started > 5*time.Second {
			t.Fatal("the move was not measured")
		}
	}
	taken, _ := b.core.Handovers().Expected("s")
	if taken <= 0 || taken > b.now-started {
		t.Errorf("%v was measured for a move that took at most %v", taken, b.now-started)
	}
	if moved, _ := b.view.Shard(shard.ID); moved.Owner != "b" {
		t.Errorf("measured although %s owns the shard", moved.Owner)
	}
	if len(b.core.handovers.revoked)+len(b.core.handovers.granted) != 0 {
		t.Error("the finished move is still followed")
	}
}
