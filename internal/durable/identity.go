package durable

import (
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// LoadIdentity reads the replica's identity from a data folder. If there is none, it
// creates the log and then an identity with an identifier from newID, which must not
// return zero. The new identity is on stable storage before LoadIdentity returns, hence
// before any other process can learn the identifier. mayFound is stored in it as
// Identity.MayFound.
func LoadIdentity(files vfs.FileSystem, folder string, mayFound bool, newID func() consensus.ReplicaID) (identity.Identity, error) {
	stored, found, err := identity.Load(files, folder)
	if err != nil || found {
		return stored, err
	}
	if err := CreateLog(files, folder); err != nil {
		return identity.Identity{}, err
	}
	created := identity.Identity{Replica: newID(), MayFound: mayFound}
	return created, identity.Save(files, folder, created)
}

// Adopt returns the identity of a replica that belongs to no group and joins the group of
// the controller that sent answer. The replica stores the founders even if it is not one
// of them: they are the membership at log index 0, from which it must apply the log,
// both before and after a restart.
func Adopt(own identity.Identity, answer message.FormationAnswer) identity.Identity {
	own.Cluster = answer.Cluster
	own.Founders = answer.Founders
	return own
}
