package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func newZoneCommand(program *program) *cobra.Command {
	flags := &planFlags{}
	command := group("zone", "Empty a zone and take it back; each prints a plan that is to be confirmed",
		newZoneChange(program, flags, "evacuate", "Send nothing more to a zone, and move its keys to the others",
			func(request *state.ZoneRequest) state.Intent {
				return state.Intent{Kind: state.IntentEvacuateZone, EvacuateZone: request}
			}),
		newZoneChange(program, flags, "restore", "Take a zone back that was evacuated",
			func(request *state.ZoneRequest) state.Intent {
				return state.Intent{Kind: state.IntentRestoreZone, RestoreZone: request}
			}),
		newZoneStatus(program),
	)
	program.addClientFlags(command)
	addPlanFlags(command, flags)
	return command
}

func newZoneChange(program *program, flags *planFlags, verb, short string, intentOf func(*state.ZoneRequest) state.Intent) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " ZONE",
		Short: short,
		Args:  exactly("ZONE"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return program.plan(command, flags, intentOf(&state.ZoneRequest{Zone: arguments[0]}))
		},
	}
}

func newZoneStatus(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the zones, their instances and the keys that these hold",
		Args:  exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			return program.withClient(command, program.zoneStatus)
		},
	}
}

// zoneLine is what the command shows of a zone.
type zoneLine struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	Instances int    `json:"instances"`
	// Cold counts the instances that are slow from their start.
	Cold int `json:"cold"`
	// Keys counts the keys that instances of the zone hold, over all services.
	Keys int `json:"keys"`
	// Servers are those of services whose leases the controllers push.
	Servers int `json:"servers"`
}

func (p *program) zoneStatus(ctx context.Context, client *intentapi.Client) error {
	content, err := client.Directory(ctx)
	if err != nil {
		return err
	}
	servers, err := client.Servers(ctx)
	if err != nil {
		return err
	}
	lines := zoneLines(content, servers)
	rows := newTable("ZONE", "STATE", "INSTANCES", "COLD", "KEYS", "SERVERS")
	for _, line := range lines {
		rows.add(line.Zone, map[bool]string{true: "evacuated", false: "in service"}[line.Evacuated], fmt.Sprint(line.Instances),
			fmt.Sprint(line.Cold), fmt.Sprint(line.Keys), fmt.Sprint(line.Servers))
	}
	return p.print(lines, rows)
}

// zoneLines sums what is in each zone, by name.
func zoneLines(content directory.Content, servers []state.Server) []zoneLine {
	lines := newZoneSums()
	for _, zone := range content.Zones {
		lines.of(zone.Name).Evacuated = zone.Evacuated
	}
	zoneOf := make(map[directory.InstanceID]string)
	for _, instance := range content.Instances {
		zoneOf[instance.ID] = instance.Zone
		if instance.State == directory.InstanceGone {
			continue
		}
		line := lines.of(instance.Zone)
		line.Instances++
		if instance.WarmUp > 0 {
			line.Cold++
		}
	}
	for _, layout := range content.Layouts {
		for _, holding := range layout.Holdings {
			if zone, found := zoneOf[holding.Owner]; found {
				lines.of(zone).Keys += holding.Width()
			}
		}
	}
	for _, server := range servers {
		lines.of(server.Zone).Servers++
	}
	return lines.sorted()
}
