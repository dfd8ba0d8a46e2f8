package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
)

func (p *program) getItems(ctx context.Context, client *intentapi.Client) error {
	content, err := client.Directory(ctx)
	if err != nil {
		return err
	}
	rows := newTable("KIND", "NAME", "VERSION", "STANDS", "CONTENT", "REVISION")
	for _, item := range content.Items {
		rows.add(string(item.Key.Kind), item.Key.Name, fmt.Sprint(item.Version), yesNo(!item.Dropped), itemText(item), fmt.Sprint(item.Revision))
	}
	return p.print(content.Items, rows)
}

// itemText tells of an item what fits a line.
func itemText(item directory.Item) string {
	if item.Dropped || item.Key.Kind != directory.KindRoute {
		return string(item.Content)
	}
	route, err := item.Route()
	if err != nil {
		return string(item.Content)
	}
	text := fmt.Sprintf("%s%s to", route.Host, route.Prefix)
	if len(route.Split) == 0 {
		return text + " " + route.Service
	}
	for _, share := range route.Split {
		text += fmt.Sprintf(" %s (%g)", share.Service, share.Weight)
	}
	return text
}

func (p *program) getInstances(ctx context.Context, client *intentapi.Client) error {
	content, err := client.Directory(ctx)
	if err != nil {
		return err
	}
	keys := make(map[directory.InstanceID]int)
	for _, layout := range content.Layouts {
		for _, holding := range layout.Holdings {
			keys[holding.Owner] += holding.Width()
		}
	}
	rows := newTable("INSTANCE", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "KEYS", "REVISION")
	for _, instance := range content.Instances {
		rows.add(string(instance.ID), instance.Service, instance.Address, instance.Zone, fmt.Sprint(instance.Slots),
			string(instance.State), fmt.Sprint(keys[instance.ID]), fmt.Sprint(instance.Revision))
	}
	return p.print(content.Instances, rows)
}

func (p *program) getTenants(ctx context.Context, client *intentapi.Client) error {
	tenants, err := client.Tenants(ctx)
	if err != nil {
		return err
	}
	rows := newTable("TENANT", "KEYS", "PRIORITY", "RATE LIMIT", "BURST", "USE A SECOND", "REGIONS")
	for _, tenant := range tenants {
		priority := ""
		if tenant.Priority != nil {
			priority = fmt.Sprint(*tenant.Priority)
		}
		limit, burst := "none", ""
		if tenant.RatePerSecond > 0 {
			limit, burst = fmt.Sprint(tenant.RatePerSecond), fmt.Sprint(tenant.Burst)
		}
		rows.add(tenant.Name, fmt.Sprint(tenant.Keys), priority, limit, burst, fmt.Sprintf("%.1f", tenant.UsePerSecond), strings.Join(tenant.AllowedRegions, ", "))
	}
	return p.print(tenants, rows)
}

func newGetHolderCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "holder SERVICE KEY",
		Short: "Show which instance holds a key of a service whose keys are numbers in order",
		Args:  exactly("SERVICE", "KEY"),
		RunE: func(command *cobra.Command, arguments []string) error {
			key, err := strconv.Atoi(arguments[1])
			if err != nil || key < 0 || directory.Key(key) > directory.MaxKey {
				return usage(command, fmt.Sprintf("the key %q is no number from 0 to %d", arguments[1], directory.MaxKey))
			}
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				return program.getHolder(ctx, client, arguments[0], directory.Key(key))
			})
		},
	}
}

func (p *program) getHolder(ctx context.Context, client *intentapi.Client, service string, key directory.Key) error {
	content, err := client.Directory(ctx)
	if err != nil {
		return err
	}
	for _, layout := range content.Layouts {
		if holding, found := layout.At(key); found && layout.Service == service {
			rows := newTable("FIRST", "LAST", "HOLDER", "FENCE", "GRANTED", "REVOKED", "REVISION")
			rows.add(fmt.Sprint(holding.First), fmt.Sprint(holding.Last), string(holding.Owner), fmt.Sprint(holding.Fence),
				yesNo(holding.Granted), yesNo(holding.Revoked), fmt.Sprint(holding.Revision))
			return p.print(holding, rows)
		}
	}
	return fault.Newf(fault.NotFound, "service %q has no holder for the key: list services with get items", service)
}
