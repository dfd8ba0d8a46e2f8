package controller

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/state"
)

// envelope is the data of a log entry: a command and the proposer that waits
// for its result.
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

// outcome is the end of a proposal: applied with a result, or an error. An
// error of kind unavailable leaves open whether the command will be applied.
type outcome struct {
	result state.Result
	err    error
}

// proposal is a command on its way through the log. Exactly one of done and
// token is set: done for callers that wait, token for the coordinator.
type proposal struct {
	command state.Command
	done    chan outcome
	token   uint64
}

// pendingProposals are the proposals of this replica that wait to be applied.
type pendingProposals struct {
	nextSequence uint64
	waiting      map[uint64]proposal
}

func newPendingProposals(firstSequence uint64) *pendingProposals {
	return &pendingProposals{nextSequence: firstSequence, waiting: make(map[uint64]proposal)}
}

func (p *pendingProposals) add(waiting proposal) uint64 {
	p.nextSequence++
	p.waiting[p.nextSequence] = waiting
	return p.nextSequence
}

func (p *pendingProposals) take(sequence uint64) (proposal, bool) {
	waiting, found := p.waiting[sequence]
	delete(p.waiting, sequence)
	return waiting, found
}

// drop ends every waiting proposal: its outcome can no longer be learnt here.
func (p *pendingProposals) drop(finish func(proposal, outcome)) {
	lost := fault.New(fault.Unavailable, "leadership was lost before the change was acknowledged: ask again with the same identifier")
	for sequence, waiting := range p.waiting {
		delete(p.waiting, sequence)
		finish(waiting, outcome{err: lost})
	}
}
