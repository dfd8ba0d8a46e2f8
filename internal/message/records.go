package message

import (
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
)

// RecordCall asks another router about idempotency records; exactly one of
// Claim, Completion and Store is set.
type RecordCall struct {
	// Partition is the number of the record partition.
	Partition int
	// Claim asks the primary for the right to run a request.
	Claim *record.Claim
	// Completion tells the primary how a claimed request ended.
	Completion *record.Completion
	// Store gives records to the backup.
	Store *RecordStore
	// Probe asks for any answer, which shows that the router is reached.
	Probe bool `msgpack:",omitempty"`
}

// RecordStore gives records from a partition's primary to its backup.
type RecordStore struct {
	Epoch state.Epoch
	// Former is the epoch since which the receiver holds every record as the former copy; zero for a
	// backup.
	Former state.Epoch `msgpack:",omitempty"`
	// Incarnation is the backup process that the primary means.
	Incarnation string
	Records     []record.Record
}

// RecordAnswer answers a RecordCall.
type RecordAnswer struct {
	// Verdict answers a claim or a completion.
	Verdict record.Verdict
	// Answer is the kept answer of a request that ran, if Verdict says so.
	Answer *record.Answer
	// Stored is true when the backup holds all the records of a Store.
	Stored bool
}
