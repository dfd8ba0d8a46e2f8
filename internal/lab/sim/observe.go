package sim

import (
	"github.com/thorntiller/thorntiller/internal/state"
)

// applied traces what a command did, when the first replica applies it.
func (s *simulation) applied(index uint64, command state.Command, result state.Result) {
	if s.traceTo == nil || index <= s.observed {
		return
	}
	s.observed = index
	switch {
	case command.OpenSession != nil:
		s.trace("%d opens session %d of %s", index, command.OpenSession.After+1, command.OpenSession.Incarnation)
	case command.OpenSessions != nil:
		s.trace("%d opens %v: %d objects change", index, command.OpenSessions.Sessions, len(result.Changed))
	case command.CloseSession != nil:
		s.trace("%d closes session %d of %s: %d objects change", index, command.CloseSession.Session, command.CloseSession.Server, len(result.Changed))
	case command.CloseSessions != nil:
		s.trace("%d closes %v: %d objects change", index, command.CloseSessions.Sessions, len(result.Changed))
	case command.AssignShards != nil, command.ReleaseShards != nil, command.RevokeShards != nil:
		for _, object := range result.Changed {
			s.traceShard(index, object)
		}
	case command.ConfirmPlan != nil && result.Err == nil:
		s.trace("%d confirms plan %s: %d objects change", index, command.ConfirmPlan.Plan, len(result.Changed))
	case command.RetireServerDone != nil && result.Err == nil:
		s.trace("%d retires %s", index, command.RetireServerDone.Server)
	}
}

func (s *simulation) traceShard(index uint64, object state.Object) {
	if shard := object.Shard; shard != nil {
		s.trace("%d shard %d epoch %d is %s, owner %q, target %q", index, shard.ID, shard.Epoch, shard.Phase, shard.Owner, shard.Target)
	}
}
