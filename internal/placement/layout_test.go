package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// buildFromOtherState builds the layout of a problem in two stages: first with other
// loads, owners, servers and shards, then with those of the problem.
func buildFromOtherState(problem Problem, random *rand.Rand) *Layout {
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, position := range random.Perm(len(problem.Shards)) {
		shard := problem.Shards[position]
		shard.Owner, shard.Load, shard.Moving = "gone", 1, false
		layout.PutShard(0, shard)
	}
	extraShard := Shard{ID: 1 << 40, Owner: "gone", Load: 3, Range: state.KeyRange{First: math.MaxUint64, Last: math.MaxUint64}}
	layout.PutShard(0, extraShard)
	layout.PutServer(Server{ID: "gone", Zone: "z", Slots: 1, Accepts: true})
	for _, position := range random.Perm(len(problem.Servers)) {
		layout.PutServer(problem.Servers[position])
	}
	layout.Decide(0)
	for _, position := range random.Perm(len(problem.Shards)) {
		shard := problem.Shards[position]
		layout.PutShard(0, shard)
		layout.SetLoad(shard.ID, shard.Load, shard.HotHash, shard.HotShare)
	}
	layout.RemoveShard(extraShard.ID)
	layout.RemoveServer("gone")
	return layout
}

func TestLayoutFollowsChanges(t *testing.T) {
	checkProperty(t, "a layout that was changed to match a problem decides as a new one", func(problem Problem) bool {
		random := rand.New(rand.NewPCG(uint64(len(problem.Shards)), 1))
		layout := buildFromOtherState(problem, random)
		first, second, whole := layout.Decide(problem.Now), layout.Decide(problem.Now), Decide(problem)
		return reflect.DeepEqual(choices(first), choices(whole)) && reflect.DeepEqual(choices(second), choices(whole))
	})
}

// choices returns the moves and splits of a decision without their floating-point
// values, which depend on the order of additions.
func choices(decision Decision) []string {
	var chosen []string
	for _, move := range decision.Moves {
		chosen = append(chosen, fmt.Sprint(move.Shard, move.From, move.To, move.Isolate, move.Reason))
	}
	for _, split := range decision.Splits {
		chosen = append(chosen, fmt.Sprint(split))
	}
	return chosen
}

func TestLayoutRemembersMoves(t *testing.T) {
	problem := problemWithLoads([]float64{0.6, 0.6, 0.6}, []float64{0.1})
	layout := NewLayout(problem.Weights, problem.Limits)
	for _, server := range problem.Servers {
		layout.PutServer(server)
	}
	for _, shard := range problem.Shards {
		layout.PutShard(now, shard)
	}
	if len(layout.Decide(now).Moves) == 0 {
		t.Fatal("no move without recent moves, want at least one")
	}
	for _, shard := range problem.Shards[:3] {
		for _, step := range []struct {
			owner  state.ServerID
			moving bool
		}{{"s1", false}, {"s1", true}, {"", false}, {"s0", false}} {
			shard.Owner, shard.Moving = step.owner, step.moving
			layout.PutShard(now, shard)
		}
	}
	if moves := layout.Decide(now + 30*time.Minute).Moves; len(moves) != 0 {
		t.Fatalf("30 minutes after the moves: %+v, want no move back to the server that the shards left", moves)
	}
	if moves := layout.Decide(now + 2*time.Hour).Moves; len(moves) == 0 {
		t.Fatal("two hours after the moves: no move, want at least one once they are outside the window")
	}
}

// largeLayout returns a layout with servers in seven zones and skewed loads, whose
// limit on the number of shards is twice the present number.
func largeLayout(servers, shards int) (*Layout, *rand.Rand) {
	random := rand.New(rand.NewPCG(1, 1))
	limits := DefaultLimits()
	limits.ShardsPerServer = shards/servers + 1
	layout := NewLayout(DefaultWeights, limits)
	for number := range servers {
		layout.PutServer(Server{ID: state.ServerID(fmt.Sprintf("s%04d", number)), Zone: string(rune('a' + number%7)), Slots: 4, Accepts: true})
	}
	step := math.MaxUint64 / uint64(shards)
	for number := range shards {
		layout.PutShard(0, Shard{
			ID: state.ShardID(number), Owner: state.ServerID(fmt.Sprintf("s%04d", number%servers)),
			Range: state.KeyRange{First: uint64(number) * step, Last: uint64(number+1)*step - 1},
			Load:  random.ExpFloat64() / 50,
		})
	}
	return layout, random
}

// BenchmarkLayoutDecide measures one round: some loads change, then the layout
// decides. The round in which all loads change is the cost of a full report.
func BenchmarkLayoutDecide(b *testing.B) {
	for _, size := range []struct{ servers, shards int }{{1_000, 50_000}, {3_000, 200_000}, {6_200, 530_000}} {
		layout, random := largeLayout(size.servers, size.shards)
		for _, changed := range []int{30, size.shards / 100, size.shards} {
			b.Run(fmt.Sprintf("servers=%d/shards=%d/changed=%d", size.servers, size.shards, changed), func(b *testing.B) {
				moves := 0
				for b.Loop() {
					for range changed {
						layout.SetLoad(state.ShardID(random.IntN(size.shards)), random.ExpFloat64()/50, 0, 0)
					}
					moves += len(layout.Decide(now).Moves)
				}
				b.ReportMetric(float64(moves)/float64(b.N), "moves/op")
			})
		}
	}
}
