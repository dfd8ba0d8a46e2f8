package sim

import (
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

// TestSuspensionsMeetEachRole guards against a search that suspends some machines only.
func TestSuspensionsMeetEachRole(t *testing.T) {
	for name, play := range map[string]func(uint64) Counts{
		"requests": func(seed uint64) Counts { return Run(seed, nil).Faults },
		"leases":   func(seed uint64) Counts { return RunLeases(seed, nil).Faults },
	} {
		suspensions := uint64(0)
		for seed := uint64(1); seed <= replayedSeeds; seed++ {
			suspensions += play(seed).Suspensions
		}
		if suspensions == 0 {
			t.Errorf("%s: no machine is suspended", name)
		}
	}
}

// TestClockThatStopsInSuspensionsIsFound plants machines whose clock stands still while they
// are suspended, as CLOCK_MONOTONIC does.
func TestClockThatStopsInSuspensionsIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		play   func(seed uint64) *checker.Violation
		caught []checker.Guarantee
	}{
		"routers": {
			play: func(seed uint64) *checker.Violation {
				return runPlanted(seed, planted{steadyClocks: []machineRole{routerMachine}}, nil).Violation
			},
			caught: []checker.Guarantee{checker.CurrentTable},
		},
		"servers": {
			play: func(seed uint64) *checker.Violation {
				return runPlanted(seed, planted{steadyClocks: []machineRole{serverMachine}}, nil).Violation
			},
			caught: []checker.Guarantee{checker.OneOwner, checker.EpochOrder},
		},
		"instances": {
			play: func(seed uint64) *checker.Violation {
				return runPlantedLeases(seed, plantedLeases{steadyClocks: []machineRole{instanceMachine}}, nil).Violation
			},
			caught: []checker.Guarantee{checker.OneOwner},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= plantedSeeds; seed++ {
				violation := c.play(seed)
				if violation == nil {
					continue
				}
				if !slices.Contains(c.caught, violation.Guarantee) {
					t.Fatalf("seed %d: caught by %s: %s", seed, violation.Guarantee, violation.Detail)
				}
				t.Logf("seed %d: %s: %s", seed, violation.Guarantee, violation.Detail)
				return
			}
			t.Fatal("no checker found the clock")
		})
	}
}
