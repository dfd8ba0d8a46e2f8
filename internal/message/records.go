package message

import (
	"github.com/thorntiller/thorntiller/internal/record"
	"github.com/thorntiller/thorntiller/internal/state"
)

// RecordCall is a call to another router about idempotency records; exactly one of Claim,
// Completion, Store and Probe is set.
type RecordCall struct {
	// Partition is the number of the record partition.
	Partition int
	// Claim asks the primary for the right to run a request.
	Claim *record.Claim
	// Completion reports to the primary how a claimed request ended.
	Completion *record.Completion
	// Store sends records to a copy of the partition.
	Store *RecordStore
	// Probe asks for any answer, which proves that the router is reachable.
	Probe bool `msgpack:",omitempty"`
}

// RecordStore sends records from a partition's primary to its backup or former copy.
type RecordStore struct {
	Epoch state.Epoch
	// Former is the epoch since which the receiver has every record as the former copy; zero for a
	// backup.
	Former state.Epoch `msgpack:",omitempty"`
	// Incarnation identifies the receiving process that the primary addresses.
	Incarnation string
	Records     []record.Record
}

// RecordAnswer answers a RecordCall.
type RecordAnswer struct {
	// Verdict is the decision on a claim or completion.
	Verdict record.Verdict
	// Answer is the stored answer of a request that ran, if Verdict says so.
	Answer *record.Answer
	// Stored is true if the receiver has stored all records of a Store.
	Stored bool
}
