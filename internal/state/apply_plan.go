package state

import (
	"bytes"
	"math/bits"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// storePlan stores the plan for an intent. A retry with the same content gets the
// stored plan; the same identifier with different content is a conflict.
func (tx *transaction) storePlan(command *StorePlan) Result {
	existing, found := tx.state.Plan(command.Plan.ID)
	if !found {
		if answer, forgotten := tx.answerFromReceipt(command.Plan.ID, command.Plan.Intent); forgotten {
			return answer
		}
		plan := command.Plan
		plan.Status = PlanStored
		tx.state.storePlan(plan)
		return Result{Plan: &plan}
	}
	if !sameIntent(existing.Intent, command.Plan.Intent) {
		return intentConflict(command.Plan.Intent.ID)
	}
	return Result{Plan: &existing}
}

// sameIntent compares two intents, ignoring the operator: two operators who submit
// the same content under one identifier get the same plan.
func sameIntent(first, second Intent) bool {
	first.Operator, second.Operator = "", ""
	encodedFirst, errFirst := codec.Marshal(&first)
	encodedSecond, errSecond := codec.Marshal(&second)
	return errFirst == nil && errSecond == nil && bytes.Equal(encodedFirst, encodedSecond)
}

// confirmPlan applies a stored plan atomically.
func (tx *transaction) confirmPlan(command *ConfirmPlan) Result {
	plan, found := tx.state.Plan(command.Plan)
	if !found {
		return tx.confirmFromReceipt(command)
	}
	if plan.Digest != command.Digest {
		return failure(fault.Conflict, "digest differs from the stored plan's: look at the plan again")
	}
	switch plan.Status {
	case PlanConfirmed:
		return Result{Plan: &plan}
	case PlanStale:
		return failure(fault.StalePlan, "the state that the plan rests on has changed: plan again")
	case PlanStored:
	}
	if err := tx.checkPlan(plan); err != nil {
		plan.Status = PlanStale
		tx.state.storePlan(plan)
		return Result{Err: err}
	}
	for _, operation := range plan.Operations {
		tx.applyOperation(operation)
	}
	plan.Status = PlanConfirmed
	plan.Accepted = tx.revision
	plan.ConfirmedBy = command.Operator
	tx.state.storePlan(plan)
	return Result{Plan: &plan}
}

// checkPlan verifies that the state the plan depends on has not changed since planning.
func (tx *transaction) checkPlan(plan Plan) *fault.Error {
	created := false
	for _, operation := range plan.Operations {
		if operation.PutService != nil && operation.PutService.Revision == 0 {
			created = true
		}
		if err := tx.checkOperation(operation, created); err != nil {
			return err
		}
	}
	return nil
}

func (tx *transaction) checkOperation(operation Operation, created bool) *fault.Error {
	switch {
	case operation.PutService != nil:
		current := tx.state.services[operation.PutService.Name]
		if revisionOf(current) != operation.PutService.Revision {
			return stalePlan("service " + string(operation.PutService.Name) + " changed")
		}
	case operation.PutServer != nil:
		return tx.checkServer(operation.PutServer)
	case operation.CreateShards != nil:
		service := operation.CreateShards.Service
		if !created || len(tx.state.shardsByRange[service]) > 0 {
			return stalePlan("service " + string(service) + " already has shards")
		}
	case operation.IsolateKey != nil:
		isolate := operation.IsolateKey
		return tx.checkMove(MoveShard{Shard: isolate.Shard, Epoch: isolate.Epoch, To: isolate.To})
	case operation.MoveShard != nil:
		return tx.checkMove(*operation.MoveShard)
	case operation.ObserveRanges != nil:
		return tx.checkObserveRanges(operation.ObserveRanges, created)
	case operation.ChangeMode != nil:
		return tx.checkChangeMode(operation.ChangeMode)
	case operation.PutZone != nil:
		if tx.state.directory.Evacuated(operation.PutZone.Name) == operation.PutZone.Evacuated {
			return stalePlan("zone " + operation.PutZone.Name + " changed")
		}
	case operation.Release != nil:
		return tx.checkRelease(*operation.Release)
	case operation.MergeShards != nil:
		if problem := tx.mergeProblem(*operation.MergeShards); problem != "" {
			return stalePlan(problem)
		}
	}
	return nil
}

func revisionOf(service *Service) Revision {
	if service == nil {
		return 0
	}
	return service.Revision
}

func (tx *transaction) checkServer(planned *Server) *fault.Error {
	current, found := tx.state.Server(planned.ID)
	if !found && planned.ConfigRevision == 0 {
		return nil
	}
	if !found || current.ConfigRevision != planned.ConfigRevision {
		return stalePlan("server " + string(planned.ID) + " changed")
	}
	return nil
}

func (tx *transaction) checkMove(move MoveShard) *fault.Error {
	shard, found := tx.state.Shard(move.Shard)
	if !found || shard.Epoch != move.Epoch || shard.Phase != ShardOwned || shard.Target != "" {
		return stalePlan("a shard of the plan changed its owner or is moving")
	}
	if tx.state.isObserved(shard.Service) {
		return stalePlan("service " + string(shard.Service) + " is observed")
	}
	if move.From != "" && shard.Owner != move.From {
		return stalePlan("a shard of the plan changed its owner")
	}
	target, found := tx.state.Server(move.To)
	if !found || !target.Session.Open || target.Intent != ServerActive {
		return stalePlan("server " + string(move.To) + " can no longer take shards")
	}
	return nil
}

func stalePlan(detail string) *fault.Error {
	return fault.New(fault.StalePlan, detail+": plan again")
}

func (tx *transaction) applyOperation(operation Operation) {
	switch {
	case operation.PutService != nil:
		tx.putService(*operation.PutService)
	case operation.PutServer != nil:
		tx.applyServer(*operation.PutServer)
	case operation.CreateShards != nil:
		tx.createShards(operation.CreateShards)
	case operation.IsolateKey != nil:
		tx.isolateKey(operation.IsolateKey)
	case operation.MoveShard != nil:
		shard, _ := tx.state.Shard(operation.MoveShard.Shard)
		shard.Target = operation.MoveShard.To
		tx.putShard(shard)
	case operation.ObserveRanges != nil:
		tx.observeRanges(operation.ObserveRanges)
	case operation.ChangeMode != nil:
		tx.changeMode(operation.ChangeMode)
	case operation.PutZone != nil:
		tx.changeDirectory(directory.Command{Zone: operation.PutZone})
	case operation.Release != nil:
		tx.releaseFromQuarantine(*operation.Release)
	case operation.MergeShards != nil:
		tx.merge(*operation.MergeShards)
	}
}

// applyServer replaces the configuration of a server. It keeps the session and Leaving, which
// operators do not set, and takes Evacuated from the zone.
func (tx *transaction) applyServer(planned Server) {
	current, found := tx.state.Server(planned.ID)
	if found {
		planned.Session = current.Session
		planned.Leaving = current.Leaving
	}
	planned.Evacuated = tx.state.directory.Evacuated(planned.Zone)
	planned.ConfigRevision = tx.revision
	tx.putServer(planned)
}

// createShards divides the key space into equal, unowned shards.
func (tx *transaction) createShards(command *CreateShards) {
	count := uint64(command.Count)
	for position := range count {
		tx.newShard(command.Service, KeyRange{
			First: rangeStart(position, count),
			Last:  rangeStart(position+1, count) - 1,
		}, Shard{Phase: ShardUnowned})
	}
}

// rangeStart returns position/count of the 64-bit key space. For position =
// count the result wraps to zero, so that start - 1 is the highest hash.
func rangeStart(position, count uint64) uint64 {
	if position == count {
		return 0
	}
	quotient, _ := bits.Div64(position, 0, count)
	return quotient
}

func (tx *transaction) newShard(service ServiceName, keys KeyRange, template Shard) ShardID {
	template.ID = tx.state.nextShard
	template.Service = service
	template.Range = keys
	tx.state.nextShard++
	tx.putShard(template)
	return template.ID
}

// isolateKey splits a shard so that one hash gets a shard of its own, and sets that
// shard's target. The parts keep owner and epoch, since the owner does not change
// yet.
func (tx *transaction) isolateKey(command *IsolateKey) {
	whole, _ := tx.state.Shard(command.Shard)
	tx.splitAt(whole.Service, command.Hash)
	if command.Hash < whole.Range.Last {
		tx.splitAt(whole.Service, command.Hash+1)
	}
	isolated, _ := tx.state.ShardAt(whole.Service, command.Hash)
	isolated.Target = command.To
	tx.putShard(isolated)
}

// splitAt splits the shard that contains a hash so that a shard begins at the hash.
// The lower part keeps the identifier.
func (tx *transaction) splitAt(service ServiceName, first uint64) {
	shard, found := tx.state.ShardAt(service, first)
	if !found || shard.Range.First == first {
		return
	}
	upper := shard
	shard.Range.Last = first - 1
	tx.putShard(shard)
	tx.newShard(service, KeyRange{First: first, Last: upper.Range.Last}, upper)
}
