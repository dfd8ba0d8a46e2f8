package durable

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestMembershipInForceOutlivesCrash: a replica that went by a membership goes
// by it after a crash. Else two voters that both crash after a repair may wait
// for the vote of the machine that was lost since.
func TestMembershipInForceOutlivesCrash(t *testing.T) {
	disk := vfs.NewMemory(nil)
	self := identity.Identity{Replica: 1, Cluster: "group", Founders: []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	if err := CreateLog(disk, "/data"); err != nil {
		t.Fatal(err)
	}
	storage, err := Open(disk, "/data", self, Options{})
	if err != nil {
		t.Fatal(err)
	}
	change := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryMembership}
	later := consensus.Entry{Index: 2, Term: 1}
	if err := storage.Log.Save(&consensus.HardState{Term: 1}, []consensus.Entry{change, later}); err != nil {
		t.Fatal(err)
	}
	if err := storage.Applied(change); err != nil {
		t.Fatal(err)
	}
	disk.Crash()
	storage, err = Open(disk, "/data", self, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if commit := storage.Initial.HardState.Commit; commit != change.Index {
		t.Errorf("after the crash the commit index is %d, a change at %d was in force", commit, change.Index)
	}
}
