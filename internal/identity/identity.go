package identity

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/checkedfile"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

const (
	fileName = "identity"

	remedy = "restore the file from an intact copy, or remove the data folder so that this controller " +
		"joins the group again as a new replica"
)

// Identity is the stored identity of a replica.
type Identity struct {
	Replica consensus.ReplicaID
	// Cluster is empty while the replica belongs to no group.
	Cluster message.ClusterID
	// Founders are the group's members at log index 0.
	Founders []consensus.Member
	// MayFound is true for a replica that first started together with the whole
	// system, so that it may form a group. A replica that starts with an empty disk later
	// must find the existing group.
	MayFound bool `msgpack:",omitempty"`
}

// Load returns the identity stored in a data folder, or false if there is none.
func Load(fileSystem vfs.FileSystem, directory string) (Identity, bool, error) {
	loaded, err := checkedfile.Read[Identity](fileSystem, filepath.Join(directory, fileName), remedy)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, eris.Wrap(err, "load the replica's identity")
	}
	return loaded, true, nil
}

// Save stores an identity in a data folder, which is created if missing, and
// returns once it is on stable storage.
func Save(fileSystem vfs.FileSystem, directory string, identity Identity) error {
	if identity.Replica == 0 {
		return eris.New("identity without a replica identifier")
	}
	if err := fileSystem.MkdirAll(directory); err != nil {
		return eris.Wrapf(err, "create %s", directory)
	}
	err := checkedfile.Write(fileSystem, filepath.Join(directory, fileName), &identity)
	return eris.Wrap(err, "save the replica's identity")
}
