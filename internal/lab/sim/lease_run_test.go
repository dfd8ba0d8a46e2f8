package sim

import (
	"bytes"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/heartbeat"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

const fixedLeaseSeeds = 40

// TestLeaseSeeds: over the same seeds every time no two instances hold one key, and every
// key is held again after the faults.
func TestLeaseSeeds(t *testing.T) {
	summary := RunSeeds(RunLeases, 1, fixedLeaseSeeds, testWorkers, func(failure Failure) { t.Error(failure.Describe()) })
	checked, faults := summary.Checks.Holdings, summary.Faults
	t.Logf("%d grants checked, faults %+v", checked, faults)
	if checked < 1000*fixedLeaseSeeds || faults.Elections < 3*fixedLeaseSeeds || faults.Freezes == 0 || faults.ServerCrashes == 0 {
		t.Errorf("the seeds meet too little: %d grants, faults %+v", checked, faults)
	}
}

// TestLeaseSeedReplays: one seed gives the same trace every time.
func TestLeaseSeedReplays(t *testing.T) {
	var first, second bytes.Buffer
	for seed := uint64(1); seed <= replayedSeeds; seed++ {
		one, two := RunLeases(seed, &first), RunLeases(seed, &second)
		if one != two || !bytes.Equal(first.Bytes(), second.Bytes()) {
			t.Errorf("%+v and %+v, traces of %d and %d bytes", one, two, first.Len(), second.Len())
		}
	}
}

// TestPlantedLeaseFaults: the checker of sole ownership finds each planted fault.
func TestPlantedLeaseFaults(t *testing.T) {
	for name, planted := range map[string]plantedLeases{
		"heartbeats are answered without a quorum": {skipQuorum: true},
		"leases are not waited out": {config: func(config *heartbeat.Config) {
			config.MaxLease, config.Margin = 0, -config.Lease/2
		}},
		"leases of an earlier leader are forgotten": {config: func(config *heartbeat.Config) { config.MaxLease = 100 * time.Millisecond }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= plantedSeeds; seed++ {
				violation := runPlantedLeases(seed, planted, nil).Violation
				if violation == nil {
					continue
				}
				if violation.Guarantee != checker.OneOwner {
					t.Fatalf("seed %d: caught by %s: %s", seed, violation.Guarantee, violation.Detail)
				}
				return
			}
			t.Fatal("no checker found the fault")
		})
	}
}
