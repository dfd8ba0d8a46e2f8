package record

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// keyGeneratedAt returns a key generated at a Unix time, in milliseconds.
func keyGeneratedAt(drawnMs int64) Key {
	var key Key
	binary.BigEndian.PutUint64(key[:8], uint64(drawnMs)<<16)
	return key
}

// TestRefusalAfterALossIsTheLeastThatIsSafe has a primary, whose clock is ahead by the maximum skew,
// grant the latest key that it may at the end of its lease, and then loses both copies. The time up to
// which keys are rejected must cover that key, and exceed it by no more than the time until the lease
// had certainly ended.
func TestRefusalAfterALossIsTheLeastThatIsSafe(t *testing.T) {
	// backupOutlives is how much longer the backup runs than the primary. It may become the
	// primary before its end is noticed.
	const backupOutlives = 2 * tick
	h := newPlacementHarness(t, "a", "b", "c")
	placed, _ := h.state.Partition(0)
	primary := NewPartition(placed.Primary, Settings{Lifetime: testLifetime, MaxRecords: 1, MaxAnswerBytes: 1})
	primary.Place(placed, placed.PrimarySession)
	leaseEnd := h.now - tick + testLease
	last := Moment{Now: leaseEnd - 1, UnixMs: startMs + (leaseEnd + ClockSkew).Milliseconds()}
	key := keyGeneratedAt(last.UnixMs + ClockSkew.Milliseconds())
	verdict, _ := primary.Claim(last, leaseEnd, Claim{Key: key, Attempt: "first"}, nil)
	if verdict != Granted {
		t.Fatalf("claim of the latest key: %s", verdict)
	}
	delete(h.reports, placed.Primary)
	h.run(backupOutlives)
	delete(h.reports, placed.Backup)
	h.run(testLease + lastCopyWait + time.Second)
	after, _ := h.state.Partition(0)
	if after.LostBefore <= key.UnixMs() {
		t.Errorf("key %d runs again, keys are rejected only up to %d", key.UnixMs(), after.LostBefore)
	}
	slack := time.Duration(float64(testLease)*testRate) + backupOutlives + 3*tick
	if most := key.UnixMs() + slack.Milliseconds(); after.LostBefore > most {
		t.Errorf("keys are rejected up to %d, %d would be safe", after.LostBefore, most)
	}
}

// TestRefusalCountsFromTheRestartWhereTheEndIsNotKnown lists what the leader must know to
// count from the end of the lease rather than from the restart of the partition.
func TestRefusalCountsFromTheRestartWhereTheEndIsNotKnown(t *testing.T) {
	const endedMs, nowMs = startMs, startMs + 4000
	ended := leaseEnding{session: 2, revision: 7, endedMs: endedMs}
	cases := map[string]struct {
		newest, previous leaseEnding
		closed           bool
		from             int64
	}{
		"the end is known":                    {newest: ended, from: endedMs},
		"another session began since":         {newest: leaseEnding{session: 3, revision: 9, endedMs: nowMs}, previous: ended, from: endedMs},
		"the lease of another session":        {newest: leaseEnding{session: 1, revision: 7, endedMs: endedMs}, from: nowMs},
		"the lease has not surely ended":      {newest: leaseEnding{session: 2, revision: 7}, from: nowMs},
		"the primary did not follow the move": {newest: leaseEnding{session: 2, revision: 6, endedMs: endedMs}, from: nowMs},
		"the primary before was closed":       {newest: leaseEnding{session: 2, endedMs: endedMs}, closed: true, from: endedMs},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			placement := NewPlacement(PlacementSettings{Count: 1, LeaseDuration: testLease})
			status := placement.status("a")
			status.leaseEnd, status.previousLeaseEnd = example.newest, example.previous
			placed := state.RecordPartition{Primary: "a", PrimarySession: 2, Revision: 7}
			if example.closed {
				placement.primaryStarts[0] = primaryStart{primary: "a", session: 2}
			}
			placement.notePrimaryStart(placed)
			placed.Revision++
			round := &placementRound{placement: placement, moment: Moment{UnixMs: nowMs}}
			before := round.lostBefore(placed)
			if want := example.from + lossSkew.Milliseconds() + 1; before != want {
				t.Errorf("keys up to %d are rejected, want %d", before, want)
			}
		})
	}
}
