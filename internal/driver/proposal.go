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

// envelope is the data of a log entry: a command and the proposer that waits
// for its result. Its fields are a format on disk.
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

// Outcome is the end of a proposal: applied with a result, or an error. Errors
// of the kinds not_leader and queue_full prove that the command will not be
// applied, one of kind unavailable leaves it open; others are the command's own.
type Outcome struct {
	// Index is the log index at which the command was applied, or zero.
	Index  uint64
	Result state.Result
	Err    error
}

// outcomeOf keeps a command without an error from becoming an error that holds
// a nil pointer.
func outcomeOf(index uint64, result state.Result) Outcome {
	end := Outcome{Index: index, Result: result}
	if result.Err != nil {
		end.Err = result.Err
	}
	return end
}

// Proposal is a command on its way through the log.
type Proposal struct {
	Command state.Command
	// StillValid is asked right before the command enters the log; one that is not
	// valid any more ends with an error of kind not_leader. Nil stands for always.
	StillValid func() bool
	// Done is called once. It may propose again.
	Done func(Outcome)
}

// waitingProposal is a proposal of a caller, or one of the coordinator, which
// has a token in place of Done.
type waitingProposal struct {
	Proposal
	token uint64
}

// Propose appends a command to the log, or refuses it at once.
func (d *Driver) Propose(input Proposal) {
	d.propose(waitingProposal{Proposal: input})
}

func (d *Driver) propose(input waitingProposal) {
	if input.StillValid != nil && !input.StillValid() {
		d.finish(input, Outcome{Err: fault.New(fault.NotLeader, "leadership was lost before the change entered the log")})
		return
	}
	sequence := d.pending.add(input)
	data, err := encodeEnvelope(envelope{Replica: d.config.Self, Sequence: sequence, Command: input.Command})
	if err == nil {
		err = d.core.Propose(data)
	}
	if err == nil {
		return
	}
	d.pending.take(sequence)
	d.finish(input, Outcome{Err: d.refusalOf(err)})
}

// refusalOf turns the core's refusal of a proposal into an error kind. The
// proposal did not enter the log.
func (d *Driver) refusalOf(err error) error {
	if d.core.Status().Role != consensus.RoleLeader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	return fault.Newf(fault.QueueFull, "the log takes no more at present: %v", err)
}

// finish reports the end of a proposal to whoever waits for it.
func (d *Driver) finish(ended waitingProposal, end Outcome) {
	if ended.token != 0 {
		d.coordinator.ProposalDone(ended.token)
		return
	}
	ended.Done(end)
}

// dropPending ends every waiting proposal, in the order in which they came: its
// outcome can no longer be learnt here.
func (d *Driver) dropPending() {
	lost := fault.New(fault.Unavailable, "leadership was lost before the change was acknowledged: ask again with the same identifier")
	for _, sequence := range d.pending.sequences() {
		if waiting, found := d.pending.take(sequence); found {
			d.finish(waiting, Outcome{Err: lost})
		}
	}
}

// pendingProposals are the proposals of this replica that wait to be applied.
// The core's bound on uncommitted bytes bounds them.
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
