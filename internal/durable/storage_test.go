package durable

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestMembershipInForceOutlivesCrash checks that a replica that used a membership still uses it
// after a crash, restored only from the entry in the log's tail, both before and after it knows that
// the change is committed. Otherwise two voters that both crash after a repair may wait for the vote
// of a machine that has been lost since.
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
	removal, err := consensus.EncodeMembershipChange(consensus.MembershipChange{
		Kind: consensus.RemoveMember, Member: consensus.Member{ID: 3},
	})
	if err != nil {
		t.Fatal(err)
	}
	change := consensus.Entry{Index: 1, Term: 1, Kind: consensus.EntryMembership, Data: removal}
	later := consensus.Entry{Index: 2, Term: 1}
	if err := storage.Log.Save(&consensus.HardState{Term: 1}, []consensus.Entry{change, later}); err != nil {
		t.Fatal(err)
	}
	disk.Crash()
	storage = reopen(t, disk, self)
	if err := storage.Applied(change); err != nil {
		t.Fatal(err)
	}
	disk.Crash()
	storage = reopen(t, disk, self)
	if commit := storage.Initial.HardState.Commit; commit != change.Index {
		t.Errorf("after the crash the commit index is %d, want %d of the membership change", commit, change.Index)
	}
}

// reopen reads the data folder after a crash and checks that replica 3 is not
// a member of the group.
func reopen(t *testing.T, disk vfs.FileSystem, self identity.Identity) *Storage {
	t.Helper()
	storage, err := Open(disk, "/data", self, Options{})
	if err != nil {
		t.Fatal(err)
	}
	core, err := consensus.New(consensus.Config{
		ID: 1, ElectionTicks: 10, HeartbeatTicks: 1, MaxAppendBytes: 1, MaxInflight: 1, MaxUncommittedBytes: 1,
	}, storage.Initial, storage.Newest)
	if err != nil {
		t.Fatal(err)
	}
	if members := core.Status().Membership.Members; len(members) != 2 {
		t.Errorf("after the crash the membership has %d members, want 2 without the removed replica 3", len(members))
	}
	return storage
}
