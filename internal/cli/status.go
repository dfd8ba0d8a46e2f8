package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

// replicaStatus is what one endpoint answered.
type replicaStatus struct {
	Endpoint string            `json:"endpoint"`
	Status   *intentapi.Status `json:"status,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// clusterStatus is the output of status.
type clusterStatus struct {
	Replicas []replicaStatus `json:"replicas"`
	// Cluster is the answer that a quorum confirmed; nil if there is none.
	Cluster *intentapi.Status `json:"cluster,omitempty"`
}

func newStatusCommand(program *program) *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the replicas, and what is in force",
		Long: "Show the replicas, and what is in force.\n\nThe exit code is 5 if no answer is confirmed by a quorum; what the\n" +
			"replicas say by themselves is shown then, and may be old.",
		Args: exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			return program.withClient(command, program.status)
		},
	}
	program.addClientFlags(command)
	return command
}

func (p *program) status(ctx context.Context, client *intentapi.Client) error {
	endpoints, err := p.client.addresses()
	if err != nil {
		return err
	}
	found := clusterStatus{Replicas: askEach(ctx, client, endpoints)}
	found.Cluster = newestCurrent(found.Replicas)
	if found.Cluster == nil {
		found.Replicas = append(found.Replicas, askLeader(ctx, client, found.Replicas)...)
		found.Cluster = newestCurrent(found.Replicas)
	}
	tables := []*table{replicaTable(found.Replicas)}
	if found.Cluster != nil {
		tables = append(tables, summaryTable(found.Cluster), serviceStatusTable(found.Cluster), serverStatusTable(found.Cluster), routerTable(found.Cluster.Routers))
		if problems := problemTable(found.Cluster.Routers); problems != nil {
			tables = append(tables, problems)
		}
	}
	if err := p.print(found, tables...); err != nil {
		return err
	}
	if found.Cluster == nil {
		return fault.New(fault.Unavailable, "no replica gave an answer that a quorum confirmed; check that a majority of the controllers runs")
	}
	return nil
}

func askEach(ctx context.Context, client *intentapi.Client, endpoints []string) []replicaStatus {
	return iter.Map(endpoints, func(endpoint *string) replicaStatus {
		status, err := client.Status(ctx, *endpoint)
		if err != nil {
			return replicaStatus{Endpoint: *endpoint, Error: err.Error()}
		}
		return replicaStatus{Endpoint: *endpoint, Status: &status}
	})
}

// askLeader asks the leader that a replica names, unless it was asked before.
func askLeader(ctx context.Context, client *intentapi.Client, asked []replicaStatus) []replicaStatus {
	known := map[string]bool{}
	for _, replica := range asked {
		known[replica.Endpoint] = true
	}
	for _, replica := range asked {
		if replica.Status != nil && replica.Status.LeaderAPI != "" && !known[replica.Status.LeaderAPI] {
			return askEach(ctx, client, []string{replica.Status.LeaderAPI})
		}
	}
	return nil
}

// newestCurrent returns the confirmed answer of the highest term and revision.
func newestCurrent(replicas []replicaStatus) *intentapi.Status {
	var newest *intentapi.Status
	for _, replica := range replicas {
		status := replica.Status
		if status == nil || !status.Current {
			continue
		}
		if newest == nil || status.Term > newest.Term || (status.Term == newest.Term && status.Revision > newest.Revision) {
			newest = status
		}
	}
	return newest
}

func replicaTable(replicas []replicaStatus) *table {
	rows := newTable("ENDPOINT", "REPLICA", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "REVISION", "CURRENT", "ERROR")
	for _, replica := range replicas {
		status := replica.Status
		if status == nil {
			rows.add(replica.Endpoint, "", "", "", "", "", "", "", "", replica.Error)
			continue
		}
		rows.add(replica.Endpoint, status.Replica, status.Role, fmt.Sprint(status.Term), status.LeaderName, fmt.Sprint(status.Commit),
			fmt.Sprint(status.Applied), fmt.Sprint(status.Revision), yesNo(status.Current), "")
	}
	return rows
}

func serviceStatusTable(status *intentapi.Status) *table {
	rows := newTable("SERVICE", "MODE", "KEYED", "SHARDS", "OWNED", "REVOKING", "UNOWNED")
	for _, service := range status.Services {
		rows.add(string(service.Name), string(service.Mode), yesNo(service.Keyed), fmt.Sprint(service.Shards),
			fmt.Sprint(service.Owned), fmt.Sprint(service.Revoking), fmt.Sprint(service.Unowned))
	}
	return rows
}

func serverStatusTable(status *intentapi.Status) *table {
	rows := newTable("SERVER", "SERVICE", "ADDRESS", "ZONE", "INTENT", "SESSION OPEN", "SHARDS", "IN FORCE", "CLAIMS DIFFER")
	for _, server := range status.Servers {
		rows.add(string(server.ID), string(server.Service), server.Address, server.Zone, string(server.Intent),
			yesNo(server.Open), fmt.Sprint(server.Shards), yesNo(server.InForce), differenceText(server))
	}
	return rows
}

// differenceText counts the key ranges in which a server of an observed service
// and the imported map differ.
func differenceText(server intentapi.ServerStatus) string {
	if !server.Observed {
		return "-"
	}
	return fmt.Sprint(server.Differences)
}

func routerTable(routers []intentapi.RouterStatus) *table {
	rows := newTable("ROUTER", "ADDRESS", "ZONE", "CONNECTED", "REVISION", "LAG", "IN FORCE", "SERVICES")
	for _, router := range routers {
		lag := time.Duration(router.LagMs) * time.Millisecond
		rows.add(string(router.ID), router.Address, router.Zone, yesNo(router.Open), fmt.Sprint(router.Revision), lag.String(), yesNo(router.InForce), servicesText(router.Services))
	}
	return rows
}

// problemTable lists the settings that do not fit, and is nil if all do.
func problemTable(routers []intentapi.RouterStatus) *table {
	var rows *table
	for _, router := range routers {
		for _, problem := range router.Problems {
			if rows == nil {
				rows = newTable("ROUTER", "PROBLEM")
			}
			rows.add(string(router.ID), problem)
		}
	}
	return rows
}

// servicesText says which services a router routes.
func servicesText(services []state.ServiceName) string {
	const named = 3
	if len(services) == 0 {
		return "all"
	}
	var names []string
	for _, service := range services[:min(len(services), named)] {
		names = append(names, string(service))
	}
	text := strings.Join(names, ", ")
	if more := len(services) - named; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// laggardsNamed bounds the names in the summary.
const laggardsNamed = 5

// summaryTable answers the first question of an operator: is what was accepted
// in force everywhere, and if not, who lags.
func summaryTable(status *intentapi.Status) *table {
	shards, owned := 0, 0
	for _, service := range status.Services {
		shards += service.Shards
		owned += service.Owned
	}
	lagging := laggards(status)
	named := strings.Join(lagging[:min(len(lagging), laggardsNamed)], ", ")
	if more := len(lagging) - laggardsNamed; more > 0 {
		named += fmt.Sprintf(" and %d more", more)
	}
	rows := newTable("IN FORCE EVERYWHERE", "REVISION", "SHARDS OWNED", "LAGGING")
	rows.add(yesNo(len(lagging) == 0), fmt.Sprint(status.Revision), fmt.Sprintf("%d of %d", owned, shards), named)
	return rows
}

// laggards names the servers and routers in which the newest revision is not in
// force.
func laggards(status *intentapi.Status) []string {
	var lagging []string
	for _, server := range status.Servers {
		if !server.InForce && !server.Observed && server.Intent != state.ServerRetired {
			lagging = append(lagging, string(server.ID))
		}
	}
	for _, router := range status.Routers {
		if !router.InForce {
			lagging = append(lagging, string(router.ID))
		}
	}
	return lagging
}
