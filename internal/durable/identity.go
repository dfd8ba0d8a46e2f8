package durable

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// LoadIdentity reads the replica's identity from a data folder. If there is
// none it takes an identifier from draw, never zero, and makes it durable
// before anyone hears of it. The parameter mayFound is kept with it.
func LoadIdentity(files vfs.FileSystem, folder string, mayFound bool, draw func() consensus.ReplicaID) (identity.Identity, error) {
	known, found, err := identity.Load(files, folder)
	if err != nil || found {
		return known, err
	}
	if err := CreateLog(files, folder); err != nil {
		return identity.Identity{}, err
	}
	fresh := identity.Identity{Replica: draw(), MayFound: mayFound}
	return fresh, identity.Save(files, folder, fresh)
}

// Adopt returns the identity of a replica without a group that joins the group
// of an answering controller. It keeps the founders also when it is none of
// them: they are the membership at log index 0, from which it must apply the
// log, before and after a restart.
func Adopt(own identity.Identity, answer message.FormationAnswer) identity.Identity {
	own.Cluster = answer.Cluster
	own.Founders = answer.Founders
	return own
}
