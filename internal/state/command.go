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

// StorePlan stores the plan made for an intent.
type StorePlan struct {
	Plan Plan
}

// ConfirmPlan applies a stored plan if the state that it depends on has not changed.
type ConfirmPlan struct {
	Plan     PlanID
	Digest   string
	Operator string
}

// OpenSession opens a session for a server process.
type OpenSession struct {
	Server      ServerID
	Incarnation string
	// After is the number of the last closed session; the command fails when
	// another session was opened meanwhile.
	After SessionNumber
}

// OpenSessions opens sessions for several servers. Each is handled independently:
// a server whose session changed in the meantime is skipped.
type OpenSessions struct {
	Sessions []OpenSession
}

// CloseSession closes a session whose lease is certain to have expired. It makes
// the server's shards unowned.
type CloseSession struct {
	Server  ServerID
	Session SessionNumber
}

// CloseSessions closes several sessions whose leases are certain to have expired.
// Each is handled independently: a session that is no longer open is skipped.
type CloseSessions struct {
	Sessions []CloseSession
}

// ShardEpoch identifies a shard at one epoch.
type ShardEpoch struct {
	Shard ShardID `json:"shard"`
	Epoch Epoch   `json:"epoch"`
}

// ReleaseShards records that the owner acknowledged the revocation of shards and
// no longer executes any of their requests.
type ReleaseShards struct {
	Server ServerID
	Shards []ShardEpoch
}

// ShardAssignment assigns an unowned shard, last owned at Epoch, to a server. The
// shard's epoch becomes Epoch + 1.
type ShardAssignment struct {
	Shard   ShardID
	Epoch   Epoch
	Server  ServerID
	Session SessionNumber
}

// AssignShards assigns unowned shards to servers with open sessions.
type AssignShards struct {
	Assignments []ShardAssignment
}

// RevokeShards starts moves that the controllers decided on without a plan, for
// example off a machine that the platform is about to remove.
type RevokeShards struct {
	Moves []MoveShard
}

// SplitShards splits parts off shards, as the service's policy allows. A part that may not be split off is skipped.
type SplitShards struct {
	Parts []ShardPart
}

// ShardPart is a part of a shard at one epoch. If To is set, the part is to move to
// that server.
type ShardPart struct {
	Shard ShardID
	Epoch Epoch
	Range KeyRange
	To    ServerID
}

// MergeShards merges pairs of adjacent shards, as the service's policy allows. It
// fails as a whole, with the kind conflict, unless every pair may be merged.
type MergeShards struct {
	Merges []ShardMerge
}

// ShardMerge merges two shards of one service that have the same owner. The range
// of Second must begin right after that of First. First takes both ranges, at an
// epoch above both, and Second is deleted.
type ShardMerge struct {
	First  ShardEpoch `json:"first"`
	Second ShardEpoch `json:"second"`
	// Owner must own both shards, and Session must be its open session.
	Owner   ServerID      `json:"owner"`
	Session SessionNumber `json:"session"`
}

// SetLeaving records whether the platform reports that a server's machine is leaving.
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

// CloseRouter closes the session of a router whose lease is certain to have expired.
type CloseRouter struct {
	Router  RouterID
	Session SessionNumber
}

// PutPartitions replaces record partitions, each only if the new epoch is the stored
// epoch + 1. At the stored epoch it may only set BackupSynced and drop the former copy.
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

// DecodeCommand decodes a command that Encode encoded.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(encoded, &command); err != nil {
		return Command{}, eris.Wrap(err, "decode command")
	}
	return command, nil
}
