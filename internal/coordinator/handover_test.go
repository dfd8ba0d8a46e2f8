package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

func TestHandoversAreMeasuredFromRevocationToConfirmation(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	if taken, found := h.core.Handovers().Expected("s"); found {
		t.Fatalf("a duration of %v is reported before any move", taken)
	}
	shard := h.view.OwnedBy("a")[0]
	started := h.now
	h.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
	for {
		h.run(10 * millisecond)
		if _, found := h.core.Handovers().Expected("s"); found {
			break
		}
		if h.now-started > 5*time.Second {
			t.Fatal("the duration of the move was not measured")
		}
	}
	taken, _ := h.core.Handovers().Expected("s")
	if taken <= 0 || taken > h.now-started {
		t.Errorf("measured %v for a move that took at most %v", taken, h.now-started)
	}
	if moved, _ := h.view.Shard(shard.ID); moved.Owner != "b" {
		t.Errorf("the move was measured although %s owns the shard", moved.Owner)
	}
	if len(h.core.handovers.revokedAt)+len(h.core.handovers.unconfirmed) != 0 {
		t.Error("the finished move is still tracked")
	}
}
