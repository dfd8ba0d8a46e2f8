package state

import (
	"cmp"
	"slices"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// transaction collects the changes made by one command.
type transaction struct {
	state    *State
	revision Revision
	changed  []Object
	// repeated is true if an object may have been changed more than once.
	repeated bool
}

// Apply executes the command at a log index. If the result has an error, the
// routing table is unchanged.
func (s *State) Apply(index uint64, command Command) Result {
	tx := &transaction{state: s, revision: Revision(index)}
	s.differences = make(SectionDigests)
	result := tx.execute(command)
	result.Differences = s.differences
	result.Changed = tx.changed
	if tx.repeated {
		result.Changed = newestVersions(tx.changed)
	}
	if len(tx.changed) > 0 {
		s.revision = tx.revision
	}
	return result
}

// objectKey identifies an object as Object.Key does, without allocating a string.
type objectKey struct {
	kind   objectKind
	name   string
	number uint64
}

type objectKind uint8

const (
	kindNone objectKind = iota
	kindService
	kindServer
	kindShard
	kindRouter
	kindPartition
)

func keyOf(object Object) objectKey {
	switch {
	case object.Shard != nil:
		return objectKey{kind: kindShard, number: uint64(object.Shard.ID)}
	case object.Server != nil:
		return objectKey{kind: kindServer, name: string(object.Server.ID)}
	case object.Service != nil:
		return objectKey{kind: kindService, name: string(object.Service.Name)}
	case object.Router != nil:
		return objectKey{kind: kindRouter, name: string(object.Router.ID)}
	case object.Partition != nil:
		return objectKey{kind: kindPartition, number: uint64(object.Partition.Number)}
	default:
		return objectKey{kind: kindNone}
	}
}

// newestVersions keeps only the last version of each object, since a command may
// change an object more than once and a delta must contain each object once.
func newestVersions(changed []Object) []Object {
	last := make(map[objectKey]int, len(changed))
	for position, object := range changed {
		last[keyOf(object)] = position
	}
	if len(last) == len(changed) {
		return changed
	}
	newest := make([]Object, 0, len(last))
	for position, object := range changed {
		if last[keyOf(object)] == position {
			newest = append(newest, object)
		}
	}
	return newest
}

func (tx *transaction) execute(command Command) Result {
	switch {
	case command.StorePlan != nil:
		return tx.storePlan(command.StorePlan)
	case command.ConfirmPlan != nil:
		return tx.confirmPlan(command.ConfirmPlan)
	case command.OpenSession != nil:
		return tx.openSession(command.OpenSession)
	case command.OpenSessions != nil:
		return tx.openSessions(command.OpenSessions)
	case command.CloseSession != nil:
		return tx.closeSession(command.CloseSession)
	case command.CloseSessions != nil:
		return tx.closeSessions(command.CloseSessions)
	case command.ReleaseShards != nil:
		return tx.releaseShards(command.ReleaseShards)
	case command.AssignShards != nil:
		return tx.assignShards(command.AssignShards)
	case command.RevokeShards != nil:
		return tx.revokeShards(command.RevokeShards)
	case command.SplitShards != nil:
		return tx.splitShards(command.SplitShards)
	case command.MergeShards != nil:
		return tx.mergeShards(command.MergeShards)
	case command.SetLeaving != nil:
		return tx.setLeaving(command.SetLeaving)
	case command.RetireServerDone != nil:
		return tx.retireServerDone(command.RetireServerDone)
	case command.PutRouter != nil:
		return tx.putRouter(command.PutRouter)
	case command.CloseRouter != nil:
		return tx.closeRouter(command.CloseRouter)
	case command.PutPartitions != nil:
		return tx.putPartitions(command.PutPartitions)
	case command.Directory != nil:
		return tx.changeDirectory(*command.Directory)
	default:
		return failure(fault.InvalidArgument, "command without content")
	}
}

func failure(kind fault.Kind, detail string) Result {
	return Result{Err: fault.New(kind, detail)}
}

func (tx *transaction) putService(service Service) {
	service.Revision = tx.revision
	tx.put(Object{Service: &service})
}

func (tx *transaction) putServer(server Server) {
	server.Revision = tx.revision
	tx.put(Object{Server: &server})
}

func (tx *transaction) putShard(shard Shard) {
	shard.Revision = tx.revision
	tx.put(Object{Shard: &shard})
}

func (tx *transaction) put(object Object) {
	previous, existed := tx.state.lookup(object)
	if object.Deleted || existed && previous.Revision() == tx.revision {
		tx.repeated = true
	}
	tx.state.put(object)
	tx.changed = append(tx.changed, object)
}

func (tx *transaction) openSession(command *OpenSession) Result {
	server, found := tx.state.Server(command.Server)
	if !found {
		return failure(fault.NotFound, "server "+string(command.Server))
	}
	if server.Session.Open || server.Session.Number != command.After {
		return failure(fault.Conflict, "the server's session changed meanwhile")
	}
	if server.Intent == ServerRetired {
		return failure(fault.Conflict, "the server is retired")
	}
	if tx.state.isObserved(server.Service) {
		return failure(fault.Conflict, "the service is observed: its servers get no leases")
	}
	server.Session = Session{Number: command.After + 1, Incarnation: command.Incarnation, Open: true}
	tx.putServer(server)
	return Result{}
}

func (tx *transaction) openSessions(command *OpenSessions) Result {
	for _, session := range command.Sessions {
		// Each session is handled independently: a rejected one does not affect the others.
		_ = tx.openSession(&session)
	}
	return Result{}
}

func (tx *transaction) closeSession(command *CloseSession) Result {
	server, found := tx.state.Server(command.Server)
	if !found {
		return failure(fault.NotFound, "server "+string(command.Server))
	}
	if !server.Session.Open || server.Session.Number != command.Session {
		return failure(fault.Conflict, "the session is not open")
	}
	server.Session.Open = false
	tx.putServer(server)
	for _, shard := range tx.state.OwnedBy(command.Server) {
		tx.clearOwner(shard)
	}
	return Result{}
}

func (tx *transaction) closeSessions(command *CloseSessions) Result {
	for _, session := range command.Sessions {
		// Each session is handled independently: a rejected one does not affect the others.
		_ = tx.closeSession(&session)
	}
	return Result{}
}

// clearOwner makes a shard unowned. It keeps the epoch, so that the next assignment
// gets a higher one.
func (tx *transaction) clearOwner(shard Shard) {
	shard.Phase = ShardUnowned
	shard.Owner = ""
	tx.putShard(shard)
}

func (tx *transaction) releaseShards(command *ReleaseShards) Result {
	for _, released := range command.Shards {
		shard, found := tx.state.Shard(released.Shard)
		if !found || shard.Phase != ShardRevoking {
			continue
		}
		if shard.Owner != command.Server || shard.Epoch != released.Epoch {
			continue
		}
		tx.clearOwner(shard)
	}
	return Result{}
}

func (tx *transaction) assignShards(command *AssignShards) Result {
	for _, assignment := range command.Assignments {
		shard, found := tx.state.Shard(assignment.Shard)
		if !found || shard.Phase != ShardUnowned || shard.Epoch != assignment.Epoch {
			continue
		}
		server, found := tx.state.Server(assignment.Server)
		if !found || !server.Session.Open || server.Session.Number != assignment.Session {
			continue
		}
		shard.Phase = ShardOwned
		shard.Owner = assignment.Server
		shard.Epoch = assignment.Epoch + 1
		shard.Target = ""
		tx.putShard(shard)
	}
	return Result{}
}

func (tx *transaction) revokeShards(command *RevokeShards) Result {
	for _, move := range command.Moves {
		shard, found := tx.state.Shard(move.Shard)
		if !found || shard.Phase != ShardOwned || shard.Epoch != move.Epoch || tx.state.isObserved(shard.Service) {
			continue
		}
		shard.Phase = ShardRevoking
		shard.Target = move.To
		tx.putShard(shard)
	}
	return Result{}
}

func (tx *transaction) setLeaving(command *SetLeaving) Result {
	server, found := tx.state.Server(command.Server)
	if !found {
		return failure(fault.NotFound, "server "+string(command.Server))
	}
	if server.Leaving == command.Leaving {
		return Result{}
	}
	server.Leaving = command.Leaving
	tx.putServer(server)
	return Result{}
}

func (tx *transaction) retireServerDone(command *RetireServerDone) Result {
	server, found := tx.state.Server(command.Server)
	if !found {
		return failure(fault.NotFound, "server "+string(command.Server))
	}
	if server.Intent != ServerRetiring || tx.state.OwnedCount(server.ID) > 0 {
		return failure(fault.Conflict, "the server is not ready to be retired")
	}
	server.Intent = ServerRetired
	tx.putServer(server)
	return Result{}
}

func (tx *transaction) putRouter(command *PutRouter) Result {
	router := command.Router
	previous, found := tx.state.Router(router.ID)
	if found && previous.Session.Open {
		return failure(fault.Conflict, "the router's session is still open")
	}
	// Revisions increase and are never reused, so an old session of a router whose
	// entry was deleted in the meantime cannot be mistaken for a new one.
	router.Session.Number = SessionNumber(tx.revision)
	router.Session.Open = true
	router.Revision = tx.revision
	tx.put(Object{Router: &router})
	return Result{}
}

func (tx *transaction) closeRouter(command *CloseRouter) Result {
	router, found := tx.state.Router(command.Router)
	if !found || !router.Session.Open || router.Session.Number != command.Session {
		return failure(fault.Conflict, "the router's session is not open")
	}
	router.Session.Open = false
	router.Revision = tx.revision
	tx.put(Object{Router: &router})
	tx.deleteClosedRouters()
	return Result{}
}

// MaxClosedRouters limits the number of routers without an open session that are
// kept. Without a limit they accumulate, because routers are replaced under new
// names over the lifetime of the cluster.
const MaxClosedRouters = 256

// deleteClosedRouters deletes the routers that were closed first until MaxClosedRouters
// remain. Routers that are the primary or the backup of a record partition are
// neither counted nor deleted.
func (tx *transaction) deleteClosedRouters() {
	inPartition := make(map[RouterID]bool)
	for _, partition := range tx.state.partitions {
		inPartition[partition.Primary] = true
		inPartition[partition.Backup] = true
	}
	var closed []Router
	for _, router := range tx.state.Routers() {
		if !router.Session.Open && !inPartition[router.ID] {
			closed = append(closed, router)
		}
	}
	if len(closed) <= MaxClosedRouters {
		return
	}
	slices.SortFunc(closed, func(a, b Router) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, router := range closed[:len(closed)-MaxClosedRouters] {
		tx.put(Object{Router: &Router{ID: router.ID, Revision: tx.revision}, Deleted: true})
	}
}

func (tx *transaction) putPartitions(command *PutPartitions) Result {
	for _, partition := range command.Partitions {
		previous, found := tx.state.partitions[partition.Number]
		if found && previous.Epoch+1 != partition.Epoch && !keepsRoles(*previous, partition) {
			continue
		}
		partition.Revision = tx.revision
		tx.put(Object{Partition: &partition})
	}
	return Result{}
}

// keepsRoles reports whether the partition differs from its previous version only in that its backup
// is now synced, its former copy was dropped, or both.
func keepsRoles(previous, partition RecordPartition) bool {
	wanted := previous
	wanted.Revision = partition.Revision
	if partition.BackupSynced {
		wanted.BackupSynced = true
	}
	if partition.Former == "" {
		wanted.DropFormer()
	}
	previous.Revision = partition.Revision
	return partition != previous && partition == wanted
}
