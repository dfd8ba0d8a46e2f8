package driver

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// envelope is the data of a log entry: a command, with the replica and sequence
// number of the proposal that waits for its result. It is stored on disk under
// these field names.
type envelope struct {
	Replica  consensus.ReplicaID
	Sequence uint64
	Command  state.Command
}

func encodeEnvelope(content envelope) ([]byte, error) {
	encoded, err := codec.Marshal(&content)
	if err != nil {
		return nil, eris.Wrap(err, "encode proposal")
	}
	return encoded, nil
}

func decodeEnvelope(data []byte) (envelope, error) {
	var content envelope
	if err := codec.Unmarshal(data, &content); err != nil {
		return envelope{}, eris.Wrap(err, "decode proposal")
	}
	return content, nil
}

// Outcome is the outcome of a proposal: applied with a result, or an error. Errors
// of the kinds not_leader and queue_full guarantee that the command will not be
// applied; after one of kind unavailable it may or may not be. Other errors are
// the result of the command itself.
type Outcome struct {
	// Index is the log index at which the command was applied, or zero.
	Index  uint64
	Result state.Result
	Err    error
}

// newOutcome returns the outcome of an applied command. It copies result.Err only if
// that is not nil, since a nil pointer in an error interface does not equal nil.
func newOutcome(index uint64, result state.Result) Outcome {
	outcome := Outcome{Index: index, Result: result}
	if result.Err != nil {
		outcome.Err = result.Err
	}
	return outcome
}

// Proposal is a command to be replicated through the log.
type Proposal struct {
	Command state.Command
	// StillValid is called right before the command enters the log. If it returns
	// false, the proposal ends with an error of kind not_leader. Nil means always valid.
	StillValid func() bool
	// Done is called once, with the outcome. It may call Propose.
	Done func(Outcome)
}

// waitingProposal is a proposal of a caller, or of the coordinator. The latter has a
// token instead of Done.
type waitingProposal struct {
	Proposal
	token uint64
}

// Propose appends a command to the log, or rejects it at once.
func (d *Driver) Propose(proposal Proposal) {
	d.propose(waitingProposal{Proposal: proposal})
}

func (d *Driver) propose(proposal waitingProposal) {
	if proposal.StillValid != nil && !proposal.StillValid() {
		d.finish(proposal, Outcome{Err: fault.New(fault.NotLeader, "leadership was lost before the change entered the log")})
		return
	}
	sequence := d.pending.add(proposal)
	data, err := encodeEnvelope(envelope{Replica: d.config.Self, Sequence: sequence, Command: proposal.Command})
	if err == nil {
		err = d.core.Propose(data)
	}
	if err == nil {
		return
	}
	d.pending.take(sequence)
	d.finish(proposal, Outcome{Err: d.rejectionError(err)})
}

// rejectionError returns the error for a proposal that the core rejected. The
// proposal did not enter the log.
func (d *Driver) rejectionError(err error) error {
	if d.core.Status().Role != consensus.RoleLeader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	return fault.Newf(fault.QueueFull, "the log takes no more at present: %v", err)
}

// finish reports a proposal's outcome to its caller or to the coordinator.
func (d *Driver) finish(proposal waitingProposal, outcome Outcome) {
	if proposal.token != 0 {
		d.coordinator.ProposalDone(proposal.token)
		return
	}
	proposal.Done(outcome)
}

// dropPending ends every pending proposal, in the order of their arrival, with an
// unknown outcome: this replica can no longer learn it.
func (d *Driver) dropPending() {
	lost := fault.New(fault.Unavailable, "leadership was lost before the change was acknowledged: ask again with the same identifier")
	for _, sequence := range d.pending.sequences() {
		if waiting, found := d.pending.take(sequence); found {
			d.finish(waiting, Outcome{Err: lost})
		}
	}
}

// pendingProposals holds this replica's proposals that are not applied yet. The
// core's limit on uncommitted bytes limits them.
type pendingProposals struct {
	lastSequence uint64
	waiting      map[uint64]waitingProposal
}

func newPendingProposals(firstSequence uint64) pendingProposals {
	return pendingProposals{lastSequence: firstSequence, waiting: make(map[uint64]waitingProposal)}
}

func (p *pendingProposals) add(waiting waitingProposal) uint64 {
	p.lastSequence++
	p.waiting[p.lastSequence] = waiting
	return p.lastSequence
}

func (p *pendingProposals) take(sequence uint64) (waitingProposal, bool) {
	waiting, found := p.waiting[sequence]
	delete(p.waiting, sequence)
	return waiting, found
}

func (p *pendingProposals) sequences() []uint64 {
	return slices.Sorted(maps.Keys(p.waiting))
}
