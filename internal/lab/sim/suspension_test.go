package sim

import (
	"bytes"
	"io"
	"regexp"
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

// TestSuspensionsMeetEachRole guards against a search that suspends some machines only.
func TestSuspensionsMeetEachRole(t *testing.T) {
	const runs = 3
	for name, c := range map[string]struct {
		play func(uint64, io.Writer) Result
		// machines are the beginnings of the names of machines of each role.
		machines []string
	}{
		"requests": {Run, []string{"controller-", "server-", "router-"}},
		"leases":   {RunLeases, []string{"controller-", "instance-"}},
	} {
		var trace bytes.Buffer
		suspensions := uint64(0)
		for seed := uint64(1); seed <= runs; seed++ {
			suspensions += c.play(seed, &trace).Faults.Suspensions
		}
		for _, machine := range c.machines {
			if !regexp.MustCompile(machine + `[0-9]+ is suspended`).Match(trace.Bytes()) {
				t.Errorf("%s: no machine %s is suspended in %d suspensions", name, machine, suspensions)
			}
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
