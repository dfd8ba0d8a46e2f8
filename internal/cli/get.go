package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func newGetCommand(program *program) *cobra.Command {
	command := group("get", "Show objects of the cluster",
		newListCommand(program, "services", "Show the services", program.getServices),
		newListCommand(program, "servers", "Show the servers", program.getServers),
		newListCommand(program, "routers", "Show the routers", program.getRouters),
		newListCommand(program, "members", "Show the replicas of the controllers", program.getMembers),
		newListCommand(program, "plans", "Show the stored plans", program.getPlans),
		newGetPlanCommand(program),
		newListCommand(program, "items", "Show routes, services and limits with their versions", program.getItems),
		newListCommand(program, "instances", "Show the servers that announced themselves, with the keys that they hold", program.getInstances),
		newListCommand(program, "tenants", "Show the tenants with their limits and what they use", program.getTenants),
		newListCommand(program, "suspects", "Show the requests under which servers crashed, and which are in quarantine", program.getSuspects),
		newGetHolderCommand(program),
		newGetShardsCommand(program),
		newGetOwnerCommand(program),
	)
	program.addClientFlags(command)
	return command
}

func newListCommand(program *program, use, short string, list apiCall) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			return program.withClient(command, list)
		},
	}
}

func newGetPlanCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "plan PLAN",
		Short: "Show a stored plan",
		Args:  exactly("PLAN"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				plan, err := client.GetPlan(ctx, state.PlanID(arguments[0]))
				if err != nil {
					return err
				}
				return program.printPlan(plan)
			})
		},
	}
}

func newGetShardsCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "shards SERVICE",
		Short: "Show the shards of a service",
		Args:  exactly("SERVICE"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				shards, err := client.Shards(ctx, state.ServiceName(arguments[0]))
				if err != nil {
					return err
				}
				return program.print(shards, shardTable(shards))
			})
		},
	}
}

func newGetOwnerCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "owner SERVICE KEY",
		Short: "Show which server owns a key",
		Args:  exactly("SERVICE", "KEY"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				shards, err := client.Shards(ctx, state.ServiceName(arguments[0]))
				if err != nil {
					return err
				}
				hash := state.HashKey(arguments[1])
				for _, shard := range shards {
					if shard.Range.Contains(hash) {
						return program.print(shard, shardTable([]state.Shard{shard}))
					}
				}
				return fault.Newf(fault.NotFound, "service %q has no shard for the key; services without keys have no owners", arguments[0])
			})
		},
	}
}

func shardTable(shards []state.Shard) *table {
	rows := newTable("SHARD", "FIRST", "LAST", "PHASE", "OWNER", "EPOCH", "TARGET", "REVISION")
	for _, shard := range shards {
		rows.add(fmt.Sprint(shard.ID), fmt.Sprintf("%016x", shard.Range.First), fmt.Sprintf("%016x", shard.Range.Last),
			string(shard.Phase), string(shard.Owner), fmt.Sprint(shard.Epoch), string(shard.Target), fmt.Sprint(shard.Revision))
	}
	return rows
}

func (p *program) getServices(ctx context.Context, client *intentapi.Client) error {
	services, err := client.Services(ctx)
	if err != nil {
		return err
	}
	rows := newTable("SERVICE", "KEYED", "MODE", "TIMEOUT", "QUEUE", "REQUESTS", "RETRY RATIO", "MAX MOVES", "REVISION")
	for _, service := range services {
		rows.add(string(service.Name), yesNo(service.Keyed), string(service.Mode), service.DefaultTimeout.String(), fmt.Sprint(service.QueueLimit),
			fmt.Sprint(service.RequestLimit), fmt.Sprint(service.RetryRatio), fmt.Sprint(service.MaxMoves), fmt.Sprint(service.Revision))
	}
	return p.print(services, rows)
}

func (p *program) getServers(ctx context.Context, client *intentapi.Client) error {
	servers, err := client.Servers(ctx)
	if err != nil {
		return err
	}
	rows := newTable("SERVER", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS", "INTENT", "LEAVING", "SESSION", "OPEN", "REVISION")
	for _, server := range servers {
		rows.add(string(server.ID), string(server.Service), server.Address, server.Zone, fmt.Sprint(server.Slots), fmt.Sprint(server.Connections),
			string(server.Intent), yesNo(server.Leaving), fmt.Sprint(server.Session.Number), yesNo(server.Session.Open), fmt.Sprint(server.Revision))
	}
	return p.print(servers, rows)
}

func (p *program) getRouters(ctx context.Context, client *intentapi.Client) error {
	routers, err := client.Routers(ctx)
	if err != nil {
		return err
	}
	return p.print(routers, routerTable(routers))
}

func (p *program) getMembers(ctx context.Context, client *intentapi.Client) error {
	members, err := client.Members(ctx)
	if err != nil {
		return err
	}
	rows := newTable("REPLICA", "NAME", "PEER ADDRESS", "API ADDRESS", "LEARNER")
	for _, member := range members {
		rows.add(fmt.Sprintf("%016x", uint64(member.ID)), member.Name, member.Address, member.APIAddress, yesNo(member.Learner))
	}
	return p.print(members, rows)
}

func (p *program) getPlans(ctx context.Context, client *intentapi.Client) error {
	plans, err := client.Plans(ctx)
	if err != nil {
		return err
	}
	rows := newTable("PLAN", "INTENT", "OPERATOR", "STATUS", "BASE", "ACCEPTED", "MOVES", "DIGEST")
	for _, plan := range plans {
		rows.add(string(plan.ID), string(plan.Intent.Kind), plan.Intent.Operator, string(plan.Status), fmt.Sprint(plan.Base),
			acceptedText(plan), fmt.Sprint(plan.Prediction.Moves), plan.Digest)
	}
	return p.print(plans, rows)
}
