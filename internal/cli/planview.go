package cli

import (
	"fmt"

	"github.com/thorntiller/thorntiller/internal/state"
)

// printPlan shows a plan with what it does, what that is expected to cost and
// how to confirm it.
func (p *program) printPlan(plan state.Plan) error {
	summary := newTable("PLAN", "INTENT", "STATUS", "BASE", "ACCEPTED", "DIGEST")
	summary.add(string(plan.ID), string(plan.Intent.Kind), string(plan.Status), fmt.Sprint(plan.Base), acceptedText(plan), plan.Digest)
	prediction := newTable("MOVES", "IMBALANCE BEFORE", "IMBALANCE AFTER", "CHURN", "UNAVAILABLE PER SHARD")
	expected := plan.Prediction
	prediction.add(fmt.Sprint(expected.Moves), fmt.Sprintf("%.3f", expected.ImbalanceBefore), fmt.Sprintf("%.3f", expected.ImbalanceAfter),
		fmt.Sprintf("%.2f%%", 100*expected.Churn), unavailableText(expected))
	operations := newTable("OPERATION", "OBJECT", "DETAIL")
	for _, operation := range plan.Operations {
		operations.add(describeOperation(operation)...)
	}
	tables := []*table{summary, prediction, operations}
	if len(plan.Operations) == 0 {
		tables = tables[:1]
	}
	if err := p.print(plan, tables...); err != nil || p.output == outputJSON {
		return err
	}
	if len(plan.Operations) == 0 {
		fmt.Fprintln(p.streams.Out, "\nnothing would change")
		return nil
	}
	fmt.Fprintln(p.streams.Out)
	for _, reason := range plan.Reasons {
		fmt.Fprintln(p.streams.Out, "reason:", reason)
	}
	if plan.Status == state.PlanStored {
		fmt.Fprintf(p.streams.Out, "\nconfirm with: thorntiller confirm %s --digest %s\n", plan.ID, plan.Digest)
	}
	return nil
}

func acceptedText(plan state.Plan) string {
	if plan.Accepted == 0 {
		return ""
	}
	return fmt.Sprint(plan.Accepted)
}

// unavailableText marks a predicted time that no measured move stands behind.
func unavailableText(expected state.Prediction) string {
	if expected.Moves > 0 && !expected.Measured {
		return expected.Unavailable.String() + " (assumed)"
	}
	return expected.Unavailable.String()
}

// describeOperation returns the cells of one operation's row.
func describeOperation(operation state.Operation) []string {
	switch {
	case operation.PutService != nil:
		service := operation.PutService
		return []string{"put service", string(service.Name), string(service.Mode)}
	case operation.PutServer != nil:
		server := operation.PutServer
		return []string{"put server", string(server.ID), fmt.Sprintf("%s %s", server.Address, server.Intent)}
	case operation.CreateShards != nil:
		return []string{"create shards", string(operation.CreateShards.Service), fmt.Sprint(operation.CreateShards.Count)}
	case operation.IsolateKey != nil:
		isolate := operation.IsolateKey
		return []string{"isolate key", fmt.Sprintf("shard %d", isolate.Shard), fmt.Sprintf("hash %016x to %s", isolate.Hash, isolate.To)}
	case operation.MoveShard != nil:
		move := operation.MoveShard
		return []string{"move shard", fmt.Sprintf("shard %d", move.Shard), fmt.Sprintf("%s to %s", move.From, move.To)}
	case operation.ObserveRanges != nil:
		observe := operation.ObserveRanges
		return []string{"observe ranges", string(observe.Service), fmt.Sprintf("%d ranges", len(observe.Ranges))}
	case operation.ChangeMode != nil:
		return []string{"change mode", string(operation.ChangeMode.Service), string(operation.ChangeMode.Mode)}
	case operation.PutZone != nil:
		zone := operation.PutZone
		return []string{"put zone", zone.Name, map[bool]string{true: "evacuated", false: "in service"}[zone.Evacuated]}
	case operation.Release != nil:
		return []string{"release request", operation.Release.Fingerprint, "sent to servers again"}
	case operation.MergeShards != nil:
		merge := operation.MergeShards
		return []string{"merge shards", fmt.Sprintf("shard %d", merge.First.Shard), fmt.Sprintf("with shard %d on %s", merge.Second.Shard, merge.Owner)}
	default:
		return []string{"unknown", "", "this program is older than the controllers"}
	}
}
