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

// randomProblem has servers in three zones, some of which do not accept, and
// shards with skewed loads and random owners.
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

// apply carries out a decision's moves and records them in the history.
func apply(problem Problem, decision Decision) Problem {
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
			hot := shards[index]
			hot.ID, hot.Owner, hot.Range, hot.Load = state.ShardID(len(shards)+1), move.To, move.Range, move.Load
			shards[index].Load -= move.Load
			shards[index].HotShare = 0
			shards = append(shards, hot)
			break
		}
		problem.History = append(problem.History, RecentMove{Range: move.Range, From: move.From, At: problem.Now})
	}
	problem.Shards = shards
	return problem
}

func holds(t *testing.T, name string, check func(problem Problem) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(func(seed uint64) bool { return check(randomProblem(seed)) }, gen.UInt64()))
	properties.TestingRun(t)
}

func TestMovesKeepTheLimits(t *testing.T) {
	holds(t, "targets accept, moves fit the budget, shards at rest", func(problem Problem) bool {
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
	holds(t, "benefit exceeds cost and imbalance falls", func(problem Problem) bool {
		for index := range problem.Servers {
			problem.Servers[index].Accepts = true
		}
		problem.Limits.MaxMoves = math.MaxInt
		decision := Decide(problem)
		if len(decision.Moves) == 0 {
			return decision.Before == decision.After
		}
		applied := Decide(apply(problem, decision)).Before
		return decision.Benefit >= problem.Limits.PayFactor*decision.Cost &&
			math.Abs(applied.Imbalance-decision.After.Imbalance) < 1e-9 &&
			decision.After.Imbalance+decision.After.Shortfall <= decision.Before.Imbalance+decision.Before.Shortfall+1e-9
	})
}

func TestNoMovesOnceSettled(t *testing.T) {
	holds(t, "an applied decision leaves nothing to do", func(problem Problem) bool {
		for index := range problem.Shards {
			problem.Shards[index].HotShare = 0
			problem.Shards[index].Moving = false
		}
		problem.Limits.MaxMoves = math.MaxInt
		settled := apply(problem, Decide(problem))
		return len(Decide(settled).Moves) == 0
	})
	holds(t, "limited decisions come to an end", func(problem Problem) bool {
		for index := range problem.Shards {
			problem.Shards[index].Moving = false
		}
		for range len(problem.Shards) {
			decision := Decide(problem)
			if len(decision.Moves) == 0 {
				return true
			}
			problem = apply(problem, decision)
		}
		return false
	})
}

// uniform has the given loads, one server to each row.
func uniform(loads ...[]float64) Problem {
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
	problem := uniform([]float64{0.8, 0.2, 0.2, 0.2}, []float64{0.2, 0.2, 0.1}, []float64{0.2, 0.2, 0.1})
	problem.Weights.Churn = 20
	problem.Shards[0].HotHash, problem.Shards[0].HotShare = 5, 0.6
	decision := Decide(problem)
	if len(decision.Moves) != 1 || !decision.Moves[0].Isolate || decision.Moves[0].Hash != 5 || decision.Churn > 1e-9 {
		t.Fatalf("want the hot key alone to move: %+v", decision)
	}
}

func TestDearChurnKeepsShardsInPlace(t *testing.T) {
	problem := uniform([]float64{0.3, 0.3, 0.2}, []float64{0.1, 0.1, 0.1}, []float64{0.1, 0.1, 0.1})
	if moves := Decide(problem).Moves; len(moves) == 0 {
		t.Fatal("cheap churn: want a move")
	}
	problem.Weights.Churn = 50
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("dear churn: %+v", moves)
	}
}

func TestShardDoesNotReturnWithinTheWindow(t *testing.T) {
	problem := uniform([]float64{0.6, 0.6, 0.6}, []float64{0.1})
	if len(Decide(problem).Moves) == 0 {
		t.Fatal("want a move without history")
	}
	for _, shard := range problem.Shards {
		problem.History = append(problem.History, RecentMove{Range: shard.Range, From: "s1", At: now - 30*time.Minute})
	}
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("a shard returned to the server that it left: %+v", moves)
	}
	problem.History = nil
	problem.Servers[1].ReadyAt = now - time.Second
	if moves := Decide(problem).Moves; len(moves) != 0 {
		t.Fatalf("a cold server was filled at once: %+v", moves)
	}
}

func TestReserveForTheLossOfAZone(t *testing.T) {
	problem := uniform([]float64{1, 1, 0.2}, []float64{0.6}, []float64{0.6})
	decision := Decide(problem)
	if decision.Before.Shortfall == 0 || decision.After.Shortfall >= decision.Before.Shortfall {
		t.Fatalf("want less shortfall: %+v", decision)
	}
}

func TestReshaping(t *testing.T) {
	problem := uniform([]float64{3}, []float64{0.2}, []float64{0.2})
	splits := Decide(problem).Splits
	if len(splits) != 1 || splits[0].Part.Last != problem.Shards[0].Range.Last || splits[0].Part.First == 0 {
		t.Fatalf("want the large shard halved: %+v", splits)
	}
	cold := uniform([]float64{0.01, 0.01, 1}, []float64{0.51, 0.51})
	cold.Limits.ShardsPerServer = 2
	merges := Decide(cold).Merges
	if len(merges) != 1 || merges[0] != (Merge{First: 1, Second: 2}) {
		t.Fatalf("want the cold neighbours merged: %+v", merges)
	}
}

func TestEstimatorBoundsLies(t *testing.T) {
	const interval = 5 * time.Second
	estimator := NewEstimator(DefaultEstimatorConfig())
	observe := func(step int, lying, silent Observation) {
		lying.Shard, silent.Shard = 1, 2
		estimator.Observe(time.Duration(step)*interval, []Observation{lying, silent, {Shard: 3, Routed: 1, RoutedKnown: true}})
	}
	truth := Observation{Routed: 1, RoutedKnown: true, Reported: 1, ReportedKnown: true}
	observe(1, truth, truth)
	for step := 2; step < 40; step++ {
		observe(step, Observation{Routed: 1, RoutedKnown: true, Reported: 10, ReportedKnown: true}, Observation{})
	}
	if load, _ := estimator.ShardLoad(1); load < 1 || load > 1.1+1e-9 {
		t.Errorf("a tenfold report moved the load to %g", load)
	}
	if load, _ := estimator.ShardLoad(2); load != 1 {
		t.Errorf("a silent server's load became %g", load)
	}
	before, _ := estimator.ShardLoad(1)
	observe(40, Observation{Reported: 1000, ReportedKnown: true}, Observation{Reported: math.NaN(), ReportedKnown: true})
	if load, _ := estimator.ShardLoad(1); load > 2*before {
		t.Errorf("one interval changed the load from %g to %g", before, load)
	}
	if load, _ := estimator.ShardLoad(2); load < 0.5 || load > 1 {
		t.Errorf("a report that is no number changed the load to %g", load)
	}
}

func TestAssignSpreads(t *testing.T) {
	takers := make([]Target, 0, 6)
	for number := range 6 {
		takers = append(takers, Target{Server: Server{
			ID: state.ServerID(fmt.Sprintf("s%d", number)), Zone: string(rune('a' + number/2)), Slots: 2, Accepts: number != 5,
		}})
	}
	takers[0].Load = 100
	orphans := []Orphan{{Shard: 1}, {Shard: 2}, {Shard: 3}, {Shard: 4, Load: 10, Except: "s1"}}
	zones := make(map[string]int)
	for _, assignment := range Assign(now, DefaultLimits(), takers, orphans) {
		if assignment.To == "s0" || assignment.To == "s5" || (assignment.Shard == 4 && assignment.To == "s1") {
			t.Errorf("shard %d went to %s", assignment.Shard, assignment.To)
		}
		zones[takers[assignment.To[1]-'0'].Zone]++
	}
	if zones["a"] != 1 || zones["b"] != 2 || zones["c"] != 1 {
		t.Errorf("by zone: %v", zones)
	}
	if got := Assign(now, DefaultLimits(), takers[1:2], []Orphan{{Shard: 1, Except: "s1"}}); len(got) != 0 {
		t.Errorf("the only server was excepted: %v", got)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		var takers []Target
		for number := range 300 {
			takers = append(takers, Target{Server: Server{ID: state.ServerID(fmt.Sprintf("s%03d", number)), Zone: string(rune('a' + number%3)), Slots: 4, Accepts: true}})
		}
		random := rand.New(rand.NewPCG(1, 1))
		orphans := make([]Orphan, count)
		for index := range orphans {
			orphans[index] = Orphan{Shard: state.ShardID(index), Load: random.Float64()}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				Assign(now, DefaultLimits(), takers, orphans)
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

// A service that was idle when it was first seen must not count as idle for
// ever.
func TestEstimatorLeavesZero(t *testing.T) {
	for name, told := range map[string]Observation{
		"routed": {Shard: 1, Routed: 1, RoutedKnown: true}, "reported": {Shard: 1, Reported: 1, ReportedKnown: true},
	} {
		estimator := NewEstimator(DefaultEstimatorConfig())
		idle := told
		idle.Routed, idle.Reported = 0, 0
		estimator.Observe(0, []Observation{idle})
		for step := 1; step < 60; step++ {
			estimator.Observe(time.Duration(step)*5*time.Second, []Observation{told})
		}
		if load, _ := estimator.ShardLoad(1); load < 0.9 {
			t.Errorf("%s: a busy shard counts as %g", name, load)
		}
	}
}

// A rise that lasts is followed faster than one observation that stands alone.
func TestEstimatorFollowsARise(t *testing.T) {
	const interval = 5 * time.Second
	estimator := NewEstimator(DefaultEstimatorConfig())
	told := func(step int, load float64) float64 {
		observations := []Observation{{Shard: 1, Routed: load, RoutedKnown: true}}
		for other := range state.ShardID(200) {
			observations = append(observations, Observation{Shard: 2 + other, Routed: 1, RoutedKnown: true})
		}
		estimator.Observe(time.Duration(step)*interval, observations)
		known, _ := estimator.ShardLoad(1)
		return known
	}
	for step := range 5 {
		told(step, 1)
	}
	if outlier := told(5, 10); outlier > 1.25 {
		t.Errorf("one outlier made the load %g", outlier)
	}
	if after := told(6, 1); after > 1.25 {
		t.Errorf("an outlier that is past left %g", after)
	}
	told(7, 2)
	told(8, 2)
	if risen := told(9, 2); risen < 1.7 {
		t.Errorf("15 s after it doubled the load counts as %g", risen)
	}
}
