package durable

import (
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/identity"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// TestJoinedReplicaStartsAgain guards against a replica that joins a group, receives the log from
// its beginning and cannot restart on that log because the membership at index 0 was not stored.
func TestJoinedReplicaStartsAgain(t *testing.T) {
	disk := vfs.NewMemory(nil)
	self, err := LoadIdentity(disk, "/data", false, func() consensus.ReplicaID { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	founders := []consensus.Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
	self = Adopt(self, message.FormationAnswer{Cluster: "group", Founders: founders})
	if err := identity.Save(disk, "/data", self); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		storage, err := Open(disk, "/data", self, Options{})
		if err != nil {
			t.Fatal(err)
		}
		core, err := consensus.New(consensus.Config{
			ID: 7, ElectionTicks: 10, HeartbeatTicks: 1, MaxAppendBytes: 1, MaxInflight: 1, MaxUncommittedBytes: 1,
		}, storage.Initial, storage.Newest)
		if err != nil {
			t.Fatalf("the joined replica does not start: %v", err)
		}
		if members := core.Status().Membership.Members; len(members) != len(founders) {
			t.Fatalf("it starts with %d members at index 0, want the founders", len(members))
		}
		entry := consensus.Entry{Index: 1, Term: 1}
		if err := storage.Log.Save(&consensus.HardState{Term: 1}, []consensus.Entry{entry}); err != nil {
			t.Fatal(err)
		}
		if err := storage.Log.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
