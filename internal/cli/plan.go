package cli

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// planFlags are shared by the kinds of intent.
type planFlags struct {
	intentID string
	operator string
}

func newPlanCommand(program *program) *cobra.Command {
	flags := &planFlags{}
	command := group("plan", "State an intent and get a plan; nothing changes until it is confirmed",
		newCreateServiceCommand(program, flags),
		newUpdateServiceCommand(program, flags),
		newAddServersCommand(program, flags),
		newMoveKeyCommand(program, flags),
		newRetireServerCommand(program, flags),
		newRebalanceCommand(program, flags),
		newSetModeCommand(program, flags),
		newMergeShardsCommand(program, flags),
		newReleaseRequestCommand(program, flags),
	)
	program.addClientFlags(command)
	addPlanFlags(command, flags)
	return command
}

// addPlanFlags adds the flags that all kinds of intent share.
func addPlanFlags(command *cobra.Command, flags *planFlags) {
	addOperatorFlag(command, &flags.operator)
	command.PersistentFlags().StringVar(&flags.intentID, "intent-id", "",
		"identifier of the intent; a resend with the same one gets the first answer (default a new UUID)")
}

func newCreateServiceCommand(program *program, flags *planFlags) *cobra.Command {
	return newFileIntentCommand(program, flags, "create-service -f FILE", "Create a service, with its servers if the file names some",
		func(request *state.CreateService) state.Intent {
			return state.Intent{Kind: state.IntentCreateService, CreateService: request}
		})
}

func newUpdateServiceCommand(program *program, flags *planFlags) *cobra.Command {
	return newFileIntentCommand(program, flags, "update-service -f FILE", "Replace the settings of a service",
		func(request *state.UpdateService) state.Intent {
			return state.Intent{Kind: state.IntentUpdateService, UpdateService: request}
		})
}

func newAddServersCommand(program *program, flags *planFlags) *cobra.Command {
	return newFileIntentCommand(program, flags, "add-servers -f FILE", "Add servers to a service",
		func(request *state.AddServers) state.Intent {
			return state.Intent{Kind: state.IntentAddServers, AddServers: request}
		})
}

// newFileIntentCommand returns a command whose intent stands in a YAML file
// with the field names of the intent API.
func newFileIntentCommand[Request any](program *program, flags *planFlags, use, short string, intentOf func(*Request) state.Intent) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			request := new(Request)
			if err := program.readFile(command, path, request); err != nil {
				return err
			}
			return program.plan(command, flags, intentOf(request))
		},
	}
	addFileFlag(command, &path, "YAML file with the fields of the intent; - for the standard input")
	return command
}

func newMoveKeyCommand(program *program, flags *planFlags) *cobra.Command {
	var target string
	command := &cobra.Command{
		Use:   "move-key SERVICE KEY",
		Short: "Give one key an owner of its own",
		Args:  exactly("SERVICE", "KEY"),
		RunE: func(command *cobra.Command, arguments []string) error {
			request := &state.MoveKey{Service: state.ServiceName(arguments[0]), Key: arguments[1], To: state.ServerID(target)}
			return program.plan(command, flags, state.Intent{Kind: state.IntentMoveKey, MoveKey: request})
		},
	}
	command.Flags().StringVar(&target, "to", "", "server that is to own the key (default placement chooses)")
	return command
}

func newRetireServerCommand(program *program, flags *planFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "retire-server SERVER",
		Short: "Take a server's shards away and give it no new work",
		Args:  exactly("SERVER"),
		RunE: func(command *cobra.Command, arguments []string) error {
			request := &state.RetireServer{Server: state.ServerID(arguments[0])}
			return program.plan(command, flags, state.Intent{Kind: state.IntentRetireServer, RetireServer: request})
		},
	}
}

func newRebalanceCommand(program *program, flags *planFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "rebalance SERVICE",
		Short: "Move shards where that pays for itself",
		Args:  exactly("SERVICE"),
		RunE: func(command *cobra.Command, arguments []string) error {
			request := &state.Rebalance{Service: state.ServiceName(arguments[0])}
			return program.plan(command, flags, state.Intent{Kind: state.IntentRebalance, Rebalance: request})
		},
	}
}

// observedMap is the file of set-mode.
type observedMap struct {
	Map state.OwnershipMap `json:"map"`
}

func newSetModeCommand(program *program, flags *planFlags) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "set-mode SERVICE observed|managed",
		Short: "Switch a service between an imported ownership map and the controllers' own",
		Args:  exactly("SERVICE", "MODE"),
		RunE: func(command *cobra.Command, arguments []string) error {
			request := &state.SetMode{Service: state.ServiceName(arguments[0]), Mode: state.ServiceMode(arguments[1])}
			if request.Mode != state.ModeObserved && request.Mode != state.ModeManaged {
				return usage(command, fmt.Sprintf("%q is no mode: use observed or managed", arguments[1]))
			}
			if path != "" {
				var imported observedMap
				if err := program.readFile(command, path, &imported); err != nil {
					return err
				}
				request.Map = imported.Map
			}
			return program.plan(command, flags, state.Intent{Kind: state.IntentSetMode, SetMode: request})
		},
	}
	addFileFlag(command, &path, "YAML file with map: {ranges: [{range: {first, last}, server}], keys: [{key, server}], rest}; - for the standard input")
	return command
}

// plan sends an intent and prints the plan. The identifier is printed first, so
// that an intent whose answer was lost can be sent again.
func (p *program) plan(command *cobra.Command, flags *planFlags, intent state.Intent) error {
	operator, err := operatorOf(flags.operator)
	if err != nil {
		return err
	}
	intent.Operator = operator
	intent.ID = state.IntentID(flags.intentID)
	if intent.ID == "" {
		drawn, err := uuid.NewV7()
		if err != nil {
			return err
		}
		intent.ID = state.IntentID(drawn.String())
	}
	fmt.Fprintf(p.streams.Err, "intent %s; to send it again use --intent-id %s\n", intent.ID, intent.ID)
	return p.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
		plan, err := client.Plan(ctx, intent)
		if err != nil {
			return &writeError{cause: err}
		}
		return p.printPlan(plan)
	})
}
