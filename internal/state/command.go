package state

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/directory"
)

// Command changes the state; exactly one field is set.
type Command struct {
	StorePlan        *StorePlan
	ConfirmPlan      *ConfirmPlan
	OpenSession      *OpenSession
	OpenSessions     *OpenSessions
	CloseSession     *CloseSession
	CloseSessions    *CloseSessions
	ReleaseShards    *ReleaseShards
	AssignShards     *AssignShards
	RevokeShards     *RevokeShards
	SplitShards      *SplitShards
	MergeShards      *MergeShards
	SetLeaving       *SetLeaving
	RetireServerDone *RetireServerDone
	PutRouter        *PutRouter
	CloseRouter      *CloseRouter
	PutPartitions    *PutPartitions
	// Directory changes the directory of items and instances.
	Directory *directory.Command `msgpack:",omitempty"`
}

// StorePlan stores the plan that answers an intent.
type StorePlan struct {
	Plan Plan
}

// ConfirmPlan applies a stored plan if the state that it rests on still holds.
type ConfirmPlan struct {
	Plan     PlanID
	Digest   string
	Operator string
}

// OpenSession begins contact with a server process.
type OpenSession struct {
	Server      ServerID
	Incarnation string
	// After is the number of the last closed session; the command fails when
	// another session was opened meanwhile.
	After SessionNumber
}

// OpenSessions does so for several servers. One whose session changed meanwhile
// is left out: each stands for itself.
type OpenSessions struct {
	Sessions []OpenSession
}

// CloseSession says that the lease of a session has surely ended. It makes the
// server's shards unowned.
type CloseSession struct {
	Server  ServerID
	Session SessionNumber
}

// CloseSessions says the same of several sessions. One that is not open any
// more is left out: each stands for itself.
type CloseSessions struct {
	Sessions []CloseSession
}

// ShardEpoch names a shard at one epoch.
type ShardEpoch struct {
	Shard ShardID `json:"shard"`
	Epoch Epoch   `json:"epoch"`
}

// ReleaseShards says that the owner acknowledged the revocation of shards and
// executes none of their requests.
type ReleaseShards struct {
	Server ServerID
	Shards []ShardEpoch
}

// ShardAssignment gives an unowned shard, last owned at Epoch, to a server. The
// shard's epoch becomes Epoch + 1.
type ShardAssignment struct {
	Shard   ShardID
	Epoch   Epoch
	Server  ServerID
	Session SessionNumber
}

// AssignShards gives unowned shards to servers with open sessions.
type AssignShards struct {
	Assignments []ShardAssignment
}

// RevokeShards begins moves that the controllers decided on by themselves, as
// for a machine that the platform says is leaving.
type RevokeShards struct {
	Moves []MoveShard
}

// SplitShards cuts parts off shards, as the service's policy allows. A part that may not be cut is left out.
type SplitShards struct {
	Parts []ShardPart
}

// ShardPart is a part of a shard at one epoch. With To set, the part is to move
// there.
type ShardPart struct {
	Shard ShardID
	Epoch Epoch
	Range KeyRange
	To    ServerID
}

// MergeShards joins pairs of neighbours, as the service's policy allows. It is
// refused as a whole, with the kind conflict, unless every pair may be merged.
type MergeShards struct {
	Merges []ShardMerge
}

// ShardMerge joins two shards of one service that one server owns: the range of
// Second begins right after that of First. First stays, at an epoch above both,
// and Second is gone.
type ShardMerge struct {
	First  ShardEpoch `json:"first"`
	Second ShardEpoch `json:"second"`
	// Owner must own both, in its open session Session.
	Owner   ServerID      `json:"owner"`
	Session SessionNumber `json:"session"`
}

// SetLeaving records the platform's word on a server's machine.
type SetLeaving struct {
	Server  ServerID
	Leaving bool
}

// RetireServerDone marks a retiring server without shards as retired.
type RetireServerDone struct {
	Server ServerID
}

// PutRouter opens a session for a router process.
type PutRouter struct {
	Router Router
}

// CloseRouter says that a router's lease has surely ended.
type CloseRouter struct {
	Router  RouterID
	Session SessionNumber
}

// PutPartitions replaces record partitions, each only if its epoch is still
// the one before. At the same epoch it may only set BackupSynced and drop the former copy.
type PutPartitions struct {
	Partitions []RecordPartition
}

// Encode returns the command's msgpack encoding.
func (c Command) Encode() ([]byte, error) {
	encoded, err := codec.Marshal(&c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return encoded, nil
}

// DecodeCommand reverses Encode.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(encoded, &command); err != nil {
		return Command{}, eris.Wrap(err, "decode command")
	}
	return command, nil
}
