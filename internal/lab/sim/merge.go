package sim

import (
	"fmt"

	"github.com/thorntiller/thorntiller/internal/state"
)

// mergeIntent asks for the merge of two neighbours that had one owner a moment
// ago, by what the leader knows. The shards may move, be split or lose their
// owner before the plan is confirmed.
func (s *simulation) mergeIntent() (state.Intent, bool) {
	leader, found := s.leader()
	if !found {
		return state.Intent{}, false
	}
	var pairs []state.MergeNeighbours
	shards := leader.state.ShardsOf(serviceName)
	for position := 1; position < len(shards); position++ {
		first, second := shards[position-1], shards[position]
		if first.Owner != "" && first.Owner == second.Owner {
			pairs = append(pairs, state.MergeNeighbours{Service: serviceName, First: first.ID, Second: second.ID})
		}
	}
	if len(pairs) == 0 {
		return state.Intent{}, false
	}
	return state.Intent{Kind: state.IntentMergeShards, MergeShards: &pairs[s.random.IntN(len(pairs))]}, true
}

func mergeContent(asked state.MergeNeighbours) string {
	return fmt.Sprintf("merge %d and %d", asked.First, asked.Second)
}
