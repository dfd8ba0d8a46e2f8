package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/state"
)

const now = 10 * time.Hour

// randomProblem returns a problem with servers in three zones, some of which do not
// accept shards, and shards with skewed loads and random owners.
func randomProblem(seed uint64) Problem {
	random := rand.New(rand.NewPCG(seed, 1))
	problem := Problem{
		Weights: state.Weights{Imbalance: 1, Churn: 20 * random.Float64(), Unavailable: 20 * random.Float64()},
		Limits:  DefaultLimits(), Now: now,
	}
	servers := 3 + random.IntN(18)
	for number := range servers {
		problem.Servers = append(problem.Servers, Server{
			ID: state.ServerID(fmt.Sprintf("s%02d", number)), Zone: string(rune('a' + number%3)), Slots: 1 + random.IntN(4),
			Accepts: number < 2 || random.IntN(6) > 0,
		})
	}
	count := uint64(servers * (1 + random.IntN(12)))
	step := math.MaxUint64 / count
	for number := range count {
		keys := state.KeyRange{First: number * step, Last: (number+1)*step - 1}
		problem.Shards = append(problem.Shards, Shard{
			ID: state.ShardID(number + 1), Range: keys, Owner: problem.Servers[random.IntN(servers)].ID, Epoch: 1,
			Moving: random.IntN(20) == 0, Load: math.Pow(random.Float64(), 4),
			HotHash: keys.First + random.Uint64N(step), HotShare: random.Float64(),
		})
	}
	return problem
}

// applyMoves returns the problem after a decision's moves, which are added to its
// history.
func applyMoves(problem Problem, decision Decision) Problem {
	shards := append([]Shard(nil), problem.Shards...)
	for _, move := range decision.Moves {
		for index := range shards {
			if shards[index].ID != move.Shard {
				continue
			}
			if !move.Isolate {
				shards[index].Owner = move.To
				break
			}
			created := shards[index]
			created.ID, created.Owner, created.Range, created.Load = state.ShardID(len(shards)+1), move.To, move.Range, move.Load
			shards[index].Load -= move.Load
			shards[index].HotShare = 0
			shards = append(shards, created)
			break
		}
		problem.History = append(problem.History, RecentMove{Range: move.Range, From: move.From, At: problem.Now})
	}
	problem.Shards = shards
	return problem
}

// checkProperty checks a property of 200 random problems.
func checkProperty(t *testing.T, name string, check func(problem Problem) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(func(seed uint64) bool { return check(randomProblem(seed)) }, gen.UInt64()))
	properties.TestingRun(t)
}

func TestMovesKeepTheLimits(t *testing.T) {
	checkProperty(t, "targets accept shards, moving shards stay, and the limits hold", func(problem Problem) bool {
		problem.Limits.MaxChurn = 0.2
		accepts, moving := make(map[state.ServerID]bool), make(map[state.ShardID]bool)
		for _, server := range problem.Servers {
			accepts[server.ID] = server.Accepts
		}
		inFlight, churn := 0, 0.0
		for _, shard := range problem.Shards {
			moving[shard.ID] = shard.Moving
			if shard.Moving {
				inFlight++
			}
		}
		decision := Decide(problem)
		for _, move := range decision.Moves {
			if !accepts[move.To] || move.To == move.From || moving[move.Shard] {
				return false
			}
			if move.Reason != ReasonEvacuate {
				churn += move.Range.Width()
			}
		}
		return len(decision.Moves) <= max(problem.Limits.MaxMoves-inFlight, 0) && churn <= 0.2
	})
}

func TestMovesPayForThemselves(t *testing.T) {
	checkProperty(t, "the benefit exceeds the cost, and imbalance and shortfall do not rise", func(problem Problem) bool {
		for index := range problem.Servers {
			problem.Servers[index].Accepts = true
		}
		problem.Limits.MaxMoves = math.MaxInt
		decision := Decide(problem)
		if len(decision.Moves) == 0 {
			return decision.Before == decision.After
		}
		applied := Decide(applyMoves(problem, decision)).Before
		return decision.Benefit >= problem.Limits.MinBenefitRatio*decision.Cost &&
			math.Abs(applied.Imbalance-decision.After.Imbalance) < 1e-9 &&
			decision.After.Imbalance+decision.After.Shortfall <= decision.Before.Imbalance+decision.Before.Shortfall+1e-9
	})
}

func TestNoMovesOnceSettled(t *testing.T) {
	checkProperty(t, "no moves are proposed after a decision is applied", func(problem Problem) bool {
		for index := range problem.Shards {
			problem.Shards[index].HotShare = 0
			problem.Shards[index].Moving = false
		}
		problem.Limits.MaxMoves = math.MaxInt
		settled := applyMoves(problem, Decide(problem))
		return len(Decide(settled).Moves) == 0
	})
	checkProperty(t, "repeated decisions within MaxMoves come to an end", func(problem Problem) bool {
		for index := range problem.Shards {
			problem.Shards[index].Moving = false
		}
		for range len(problem.Shards) {
			decision := Decide(problem)
			if len(decision.Moves) == 0 {
				return true
			}
			problem = applyMoves(problem, decision)
		}
		return false
	})
}

// problemWithLoads returns a problem with one server for each row, which owns shards
// of equal width with the loads of the row.
func problemWithLoads(loads ...[]float64) Problem {
	problem := Problem{Weights: state.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}, Limits: DefaultLimits(), Now: now}
	problem.Limits.Horizon = time.Hour
	total := 0
	for _, row := range loads {
		total += len(row)
	}
	step := math.MaxUint64 / uint64(total)
	for number, row := range loads {
		id := state.ServerID(fmt.Sprintf("s%d", number))
		problem.Servers = append(problem.Servers, Server{ID: id, Zone: string(rune('a' + number%3)), Slots: 2, Accepts: true})
		for _, load := range row {
			first := uint64(len(problem.Shards)) * step
			problem.Shards = append(problem.Shards, Shard{
				ID: state.ShardID(len(problem.Shards) + 1), Owner: id, Load: load,
				Range: state.KeyRange{First: first, Last: first + step - 1},
			})
		}
	}
	return problem
}

func TestHotKeyMovesAlone(t *testing.T) {
	problem := problemWithLoads([]float64{0.8, 0.2, 0.2, 0.2}, []float64{0.2, 0.2, 0.1}, []float64{0.2, 0.2, 0.1})
	problem.Weights.Churn = 20
	problem.Shards[0].HotHash, problem.Shards[0].HotShare = 5, 0.6
	decision := Decide(problem)
	if len(decision.Moves) != 1 || !decision.Moves[0].Isolate || decision.Moves[0].Hash != 5 || decision.Churn > 1e-9 {
		t.Fatalf("%+v, want one move of the hot key alone", decision)
	}
}

func TestDearChurnKeepsShardsInPlace(t *testing.T) {
	problem := problemWithLoads([]float64{0.3, 0.3, 0.2}, []float64{0.1, 0.1, 0.1}, []float64{0.1, 0.1, 0.1})
	if moves := Decide(problem).Moves; len(moves) == 0 {
		t.Fatal("churn of weight 1: no move, want at least one")
	}
	problem.Weights.Churn = 50
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("churn of weight 50: %+v, want no move", moves)
	}
}

func TestShardDoesNotReturnWithinTheWindow(t *testing.T) {
	problem := problemWithLoads([]float64{0.6, 0.6, 0.6}, []float64{0.1})
	if len(Decide(problem).Moves) == 0 {
		t.Fatal("no move without history, want at least one")
	}
	for _, shard := range problem.Shards {
		problem.History = append(problem.History, RecentMove{Range: shard.Range, From: "s1", At: now - 30*time.Minute})
	}
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("a shard moved back to the server that it left within the window: %+v", moves)
	}
	problem.History = nil
	problem.Servers[1].ReadyAt = now - time.Second
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("a server that had just become ready got shards: %+v", moves)
	}
}

func TestReserveForTheLossOfAZone(t *testing.T) {
	problem := problemWithLoads([]float64{1, 1, 0.2}, []float64{0.6}, []float64{0.6})
	decision := Decide(problem)
	if decision.Before.Shortfall == 0 || decision.After.Shortfall >= decision.Before.Shortfall {
		t.Fatalf("%+v, want the shortfall to fall", decision)
	}
}

func TestReshaping(t *testing.T) {
	problem := problemWithLoads([]float64{3}, []float64{0.2}, []float64{0.2})
	splits := Decide(problem).Splits
	if len(splits) != 1 || splits[0].Part.Last != problem.Shards[0].Range.Last || splits[0].Part.First == 0 {
		t.Fatalf("splits %+v, want the upper half of the large shard split off", splits)
	}
	cold := problemWithLoads([]float64{0.01, 0.01, 1}, []float64{0.51, 0.51})
	cold.Limits.ShardsPerServer = 2
	merges := Decide(cold).Merges
	if len(merges) != 1 || merges[0] != (Merge{First: 1, Second: 2}) {
		t.Fatalf("merges %+v, want shards 1 and 2 merged", merges)
	}
}

func TestEstimatorBoundsLies(t *testing.T) {
	const interval = 5 * time.Second
	estimator := NewEstimator(DefaultEstimatorConfig())
	observe := func(step int, misreported, unreported Observation) {
		misreported.Shard, unreported.Shard = 1, 2
		estimator.Observe(time.Duration(step)*interval, []Observation{misreported, unreported, {Shard: 3, Routed: 1, RoutedKnown: true}})
	}
	accurate := Observation{Routed: 1, RoutedKnown: true, Reported: 1, ReportedKnown: true}
	observe(1, accurate, accurate)
	for step := 2; step < 40; step++ {
		observe(step, Observation{Routed: 1, RoutedKnown: true, Reported: 10, ReportedKnown: true}, Observation{})
	}
	if load, _ := estimator.ShardLoad(1); load < 1 || load > 1.1+1e-9 {
		t.Errorf("reports of ten times the load: estimate %g, want 1 to 1.1", load)
	}
	if load, _ := estimator.ShardLoad(2); load != 1 {
		t.Errorf("a server that does not report: estimate %g, want 1", load)
	}
	before, _ := estimator.ShardLoad(1)
	observe(40, Observation{Reported: 1000, ReportedKnown: true}, Observation{Reported: math.NaN(), ReportedKnown: true})
	if load, _ := estimator.ShardLoad(1); load > 2*before {
		t.Errorf("one interval changed the estimate from %g to %g, want at most the double", before, load)
	}
	if load, _ := estimator.ShardLoad(2); load < 0.5 || load > 1 {
		t.Errorf("a report of NaN: estimate %g, want 0.5 to 1", load)
	}
}

func TestAssignSpreads(t *testing.T) {
	targets := make([]Target, 0, 6)
	for number := range 6 {
		targets = append(targets, Target{Server: Server{
			ID: state.ServerID(fmt.Sprintf("s%d", number)), Zone: string(rune('a' + number/2)), Slots: 2, Accepts: number != 5,
		}})
	}
	targets[0].Load = 100
	orphans := []Orphan{{Shard: 1}, {Shard: 2}, {Shard: 3}, {Shard: 4, Load: 10, Except: "s1"}}
	zones := make(map[string]int)
	for _, assignment := range Assign(now, DefaultLimits(), targets, orphans) {
		if assignment.To == "s0" || assignment.To == "s5" || (assignment.Shard == 4 && assignment.To == "s1") {
			t.Errorf("shard %d is assigned to %s, which is overloaded, does not accept shards or is excepted", assignment.Shard, assignment.To)
		}
		zones[targets[assignment.To[1]-'0'].Zone]++
	}
	if zones["a"] != 1 || zones["b"] != 2 || zones["c"] != 1 {
		t.Errorf("assignments by zone: %v, want 1 in a, 2 in b and 1 in c", zones)
	}
	if got := Assign(now, DefaultLimits(), targets[1:2], []Orphan{{Shard: 1, Except: "s1"}}); len(got) != 0 {
		t.Errorf("assignments %v to the only server, which is excepted", got)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		var targets []Target
		for number := range 300 {
			targets = append(targets, Target{Server: Server{ID: state.ServerID(fmt.Sprintf("s%03d", number)), Zone: string(rune('a' + number%3)), Slots: 4, Accepts: true}})
		}
		random := rand.New(rand.NewPCG(1, 1))
		orphans := make([]Orphan, count)
		for index := range orphans {
			orphans[index] = Orphan{Shard: state.ShardID(index), Load: random.Float64()}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				Assign(now, DefaultLimits(), targets, orphans)
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	problem := randomProblem(3)
	b.ReportMetric(float64(len(problem.Shards)), "shards")
	for b.Loop() {
		Decide(problem)
	}
}

// The estimate of a service that was idle at its first observation must be able to
// rise above zero, although MaxChange is a ratio.
func TestEstimatorLeavesZero(t *testing.T) {
	for name, busy := range map[string]Observation{
		"routed": {Shard: 1, Routed: 1, RoutedKnown: true}, "reported": {Shard: 1, Reported: 1, ReportedKnown: true},
	} {
		estimator := NewEstimator(DefaultEstimatorConfig())
		idle := busy
		idle.Routed, idle.Reported = 0, 0
		estimator.Observe(0, []Observation{idle})
		for step := 1; step < 60; step++ {
			estimator.Observe(time.Duration(step)*5*time.Second, []Observation{busy})
		}
		if load, _ := estimator.ShardLoad(1); load < 0.9 {
			t.Errorf("%s: the estimate of a busy shard is %g, want at least 0.9", name, load)
		}
	}
}

// The estimate follows a lasting rise quickly, and a single outlier slowly.
func TestEstimatorFollowsARise(t *testing.T) {
	const interval = 5 * time.Second
	estimator := NewEstimator(DefaultEstimatorConfig())
	observe := func(step int, load float64) float64 {
		observations := []Observation{{Shard: 1, Routed: load, RoutedKnown: true}}
		for other := range state.ShardID(200) {
			observations = append(observations, Observation{Shard: 2 + other, Routed: 1, RoutedKnown: true})
		}
		estimator.Observe(time.Duration(step)*interval, observations)
		estimated, _ := estimator.ShardLoad(1)
		return estimated
	}
	for step := range 5 {
		observe(step, 1)
	}
	if outlier := observe(5, 10); outlier > 1.25 {
		t.Errorf("estimate %g after one outlier, want at most 1.25", outlier)
	}
	if after := observe(6, 1); after > 1.25 {
		t.Errorf("estimate %g one interval after an outlier, want at most 1.25", after)
	}
	observe(7, 2)
	observe(8, 2)
	if risen := observe(9, 2); risen < 1.7 {
		t.Errorf("estimate %g 15 s after the load doubled, want at least 1.7", risen)
	}
}
