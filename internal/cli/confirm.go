package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func newConfirmCommand(program *program) *cobra.Command {
	var digest, operator string
	var yes bool
	command := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Put a plan into force",
		Long: "Put a plan into force.\n\nThe digest says which operations you saw. With --yes the digest of the stored\n" +
			"plan is taken. To repeat a confirmation whose answer was lost is safe.",
		Args: exactly("PLAN"),
		RunE: func(command *cobra.Command, arguments []string) error {
			if (digest == "") == !yes {
				return usage(command, "give either --digest, as the plan shows it, or --yes")
			}
			name, err := operatorOf(operator)
			if err != nil {
				return err
			}
			request := intentapi.ConfirmRequest{Operator: name, Digest: digest}
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				return program.confirm(ctx, client, state.PlanID(arguments[0]), request)
			})
		},
	}
	command.Flags().StringVar(&digest, "digest", "", "digest of the plan, as it was shown")
	command.Flags().BoolVar(&yes, "yes", false, "take the digest of the stored plan")
	program.addClientFlags(command)
	addOperatorFlag(command, &operator)
	return command
}

func (p *program) confirm(ctx context.Context, client *intentapi.Client, id state.PlanID, request intentapi.ConfirmRequest) error {
	if request.Digest == "" {
		stored, err := client.GetPlan(ctx, id)
		if err != nil {
			return err
		}
		request.Digest = stored.Digest
	}
	plan, err := client.Confirm(ctx, id, request)
	if err != nil {
		return &writeError{cause: err}
	}
	return p.printPlan(plan)
}
