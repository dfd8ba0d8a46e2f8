package sim

import (
	"fmt"
	"io"
	"reflect"
	"runtime/debug"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
)

// Counts says what happened in runs: injected faults, and what they met.
type Counts struct {
	Pauses            uint64 `json:"pauses"`
	Suspensions       uint64 `json:"suspensions"`
	Crashes           uint64 `json:"crashes"`
	TornWrites        uint64 `json:"crashes_in_write"`
	FlippedBits       uint64 `json:"flipped_bits"`
	LostDisks         uint64 `json:"lost_disks"`
	SlowSyncs         uint64 `json:"slow_syncs"`
	LossesAfterRepair uint64 `json:"losses_after_repair"`
	RefusedStarts     uint64 `json:"refused_starts"`
	Cuts              uint64 `json:"cuts"`
	Splits            uint64 `json:"splits"`
	NetworkChanges    uint64 `json:"network_changes"`
	Freezes           uint64 `json:"server_freezes"`
	ServerCrashes     uint64 `json:"server_crashes"`
	LateHeartbeats    uint64 `json:"late_heartbeats"`
	RouterCrashes     uint64 `json:"router_crashes"`
	Transfers         uint64 `json:"transfers"`
	Leaving           uint64 `json:"servers_listed_leaving"`
	MissedChanges     uint64 `json:"missed_changes"`
	Races             uint64 `json:"operator_races"`
	Resends           uint64 `json:"operator_resends"`
	Elections         uint64 `json:"elections"`
	Snapshots         uint64 `json:"snapshots_received"`
	Resyncs           uint64 `json:"table_resyncs"`
	Drains            uint64 `json:"servers_drained"`
	Misled            uint64 `json:"servers_misleading"`
	Bursts            uint64 `json:"request_bursts"`
	Requests          uint64 `json:"requests"`
	Stale             uint64 `json:"requests_refused_as_stale"`
	Limited           uint64 `json:"requests_refused_by_limit"`
	Queued            uint64 `json:"requests_queued"`
	OwnerWaits        uint64 `json:"requests_that_waited"`
	Attempts          uint64 `json:"attempts"`
	Withdrawn         uint64 `json:"attempts_withdrawn"`
	Resent            uint64 `json:"attempts_resent"`
	ConnectFailures   uint64 `json:"connects_failed"`
	ConnectionsCut    uint64 `json:"connections_cut"`
	AnswersCut        uint64 `json:"answers_cut"`
	TimedOut          uint64 `json:"attempts_timed_out"`
	Cancels           uint64 `json:"cancels"`
	NeverStarted      uint64 `json:"cancels_before_start"`
	Completed         uint64 `json:"answered_completed"`
	NotRun            uint64 `json:"answered_not_run"`
	Unknown           uint64 `json:"answered_unknown"`
	Refusals          uint64 `json:"refusals"`
}

// add adds the counts of another run. All fields are of one type.
func (c *Counts) add(other Counts) {
	sum, added := reflect.ValueOf(c).Elem(), reflect.ValueOf(other)
	for field := range sum.NumField() {
		sum.Field(field).SetUint(sum.Field(field).Uint() + added.Field(field).Uint())
	}
}

// Result is the outcome of one seed.
type Result struct {
	Seed      uint64             `json:"seed"`
	Violation *checker.Violation `json:"violation"`
	// Steps counts the events of the run.
	Steps uint64 `json:"steps"`
	// Digest is over every log entry that was applied, in order, so that runs
	// which differ in content alone are told apart.
	Digest uint64         `json:"digest,string"`
	Faults Counts         `json:"faults"`
	Checks checker.Counts `json:"checks"`
}

// Run runs one seed. The trace, if wanted, is the same bytes on each run.
func Run(seed uint64, traceTo io.Writer) Result {
	return runPlanted(seed, planted{}, traceTo)
}

func runPlanted(seed uint64, faults planted, traceTo io.Writer) Result {
	s := newSimulation(seed, faults, traceTo)
	return s.play(func() { s.run() })
}

// play runs to the end, or to a panic, and returns the outcome.
func (s *simulation) play(run func()) (result Result) {
	defer func() {
		if cause := recover(); cause != nil {
			s.checker.Fail(checker.NoFailure, "panic: %v\n%s", cause, debug.Stack())
		}
		result = Result{
			Seed: s.seed, Violation: s.checker.Violation(), Steps: s.queue.Steps(), Digest: s.digest,
			Faults: s.counts, Checks: s.checker.Counts(),
		}
	}()
	run()
	return result
}

// Failure is a failed seed.
type Failure struct {
	Seed      uint64            `json:"seed"`
	Guarantee checker.Guarantee `json:"guarantee"`
	AtMs      float64           `json:"at_ms"`
	Detail    string            `json:"detail"`
}

// Summary is the outcome of many seeds.
type Summary struct {
	Seeds  uint64   `json:"seeds"`
	Failed []uint64 `json:"failed"`
	// Failures describes the first failed seeds, by seed.
	Failures []Failure      `json:"failures,omitempty"`
	Steps    uint64         `json:"steps"`
	Faults   Counts         `json:"faults"`
	Checks   checker.Counts `json:"checks"`
}

// maxFailures bounds the failures that a summary describes.
const maxFailures = 20

// Runner runs one seed: Run or RunLeases.
type Runner func(seed uint64, traceTo io.Writer) Result

// RunSeeds runs the seeds from first to last, several at a time, and calls
// report with each failure, in the order in which they are found.
func RunSeeds(run Runner, first, last uint64, workers int, report func(Failure)) Summary {
	var mutex sync.Mutex
	results := make([]*Failure, last-first+1)
	summary := Summary{Seeds: last - first + 1, Failed: []uint64{}}
	group := pool.New().WithMaxGoroutines(workers)
	for seed := first; seed <= last; seed++ {
		group.Go(func() {
			result := run(seed, nil)
			mutex.Lock()
			defer mutex.Unlock()
			summary.Steps += result.Steps
			summary.Faults.add(result.Faults)
			summary.Checks.Add(result.Checks)
			if result.Violation != nil {
				failure := failureOf(result)
				results[seed-first] = &failure
				report(failure)
			}
		})
	}
	group.Wait()
	for _, failure := range results {
		summary.addFailure(failure)
	}
	return summary
}

func (s *Summary) addFailure(failure *Failure) {
	if failure == nil {
		return
	}
	s.Failed = append(s.Failed, failure.Seed)
	if len(s.Failures) < maxFailures {
		s.Failures = append(s.Failures, *failure)
	}
}

func failureOf(result Result) Failure {
	return Failure{
		Seed: result.Seed, Guarantee: result.Violation.Guarantee,
		AtMs: float64(result.Violation.At.Microseconds()) / 1000, Detail: result.Violation.Detail,
	}
}

// Describe returns the failure as one line for people.
func (f Failure) Describe() string {
	return fmt.Sprintf("seed %d failed after %.3f ms: %s: %s", f.Seed, f.AtMs, f.Guarantee, f.Detail)
}
