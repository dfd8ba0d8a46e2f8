package state

import (
	"strconv"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// checkObserveRanges verifies that the service is observed and that each owner is
// one of its servers. In a plan that creates the service, the servers may not
// exist yet; the planner has checked them.
func (tx *transaction) checkObserveRanges(command *ObserveRanges, created bool) *fault.Error {
	if created {
		return nil
	}
	service, found := tx.state.Service(command.Service)
	if !found || service.Mode != ModeObserved {
		return stalePlan("service " + string(command.Service) + " is not observed")
	}
	for _, owned := range command.Ranges {
		server, found := tx.state.Server(owned.Server)
		if !found || server.Service != command.Service {
			return stalePlan("server " + string(owned.Server) + " is not one of the service")
		}
	}
	return nil
}

// observeRanges applies an imported ownership map. Shards are split at the map's
// boundaries and change owner immediately, without revocation, because the team's
// scripts have already made the change.
func (tx *transaction) observeRanges(command *ObserveRanges) {
	if len(tx.state.shardsByRange[command.Service]) == 0 {
		for _, owned := range command.Ranges {
			tx.newShard(command.Service, owned.Range, Shard{Phase: ShardOwned, Owner: owned.Server, Epoch: 1})
		}
		return
	}
	for _, owned := range command.Ranges {
		tx.splitAt(command.Service, owned.Range.First)
	}
	for _, owned := range command.Ranges {
		tx.setObservedOwner(command.Service, owned)
	}
}

// setObservedOwner assigns every shard within a range to its observed owner.
func (tx *transaction) setObservedOwner(service ServiceName, owned OwnedRange) {
	for _, shard := range tx.state.ShardsWithin(service, owned.Range) {
		if shard.Owner == owned.Server {
			continue
		}
		shard.Owner = owned.Server
		shard.Epoch++
		tx.putShard(shard)
	}
}

// checkChangeMode verifies that no shard of the service is moving or unowned, so
// that no shard changes its owner and its managing authority at the same time.
func (tx *transaction) checkChangeMode(command *ChangeMode) *fault.Error {
	service, found := tx.state.Service(command.Service)
	if !found || service.Revision != command.Revision {
		return stalePlan("service " + string(command.Service) + " changed")
	}
	if shard, found := tx.state.Unsettled(command.Service); found {
		return stalePlan("shard " + strconv.FormatUint(uint64(shard), 10) + " is moving or has no owner")
	}
	return nil
}

// changeMode switches a service between observed and managed. Shards keep their
// owners, but every open session is closed: a session opened after the switch is
// new, and nothing granted before the switch is valid for it.
func (tx *transaction) changeMode(command *ChangeMode) {
	service, _ := tx.state.Service(command.Service)
	service.Mode = command.Mode
	service.Adopted = true
	if command.Mode == ModeObserved {
		service.HandedBack = tx.revision
	}
	tx.putService(service)
	for _, server := range tx.state.ServersOf(command.Service) {
		if server.Session.Open {
			server.Session.Open = false
			tx.putServer(server)
		}
	}
}
