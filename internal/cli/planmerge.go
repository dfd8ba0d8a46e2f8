package cli

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/state"
)

func newMergeShardsCommand(program *program, flags *planFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "merge-shards SERVICE SHARD SHARD",
		Short: "Make one shard of two neighbours with the same owner",
		Args:  exactly("SERVICE", "SHARD", "SHARD"),
		RunE: func(command *cobra.Command, arguments []string) error {
			request := &state.MergeNeighbours{Service: state.ServiceName(arguments[0])}
			for position, into := range []*state.ShardID{&request.First, &request.Second} {
				text := arguments[position+1]
				number, err := strconv.ParseUint(text, 10, 64)
				if err != nil {
					return usage(command, fmt.Sprintf("%q is no shard: use the number that get shards shows", text))
				}
				*into = state.ShardID(number)
			}
			return program.plan(command, flags, state.Intent{Kind: state.IntentMergeShards, MergeShards: request})
		},
	}
}
