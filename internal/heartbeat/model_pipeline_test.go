package heartbeat

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// answerTimeout is how long after a heartbeat a controller still answers it.
const answerTimeout = 850 * time.Millisecond

// modelProposalTimeout is the time after which a controller with abandonsProposals continues with its
// next proposal.
const modelProposalTimeout = 500 * time.Millisecond

// modelDecision is a heartbeat that waits for its batch, or a tick if answer is nil.
type modelDecision struct {
	answer *pendingAnswer
}

// modelProposal is a batch that is being committed to the log of the controllers.
type modelProposal struct {
	commands []directory.Command
	// answers are sent once the proposal is applied.
	answers  []pendingAnswer
	commitAt time.Duration
	sentAt   time.Duration
}

// decisionPipeline commits one batch at a time: the next one is decided once the outcome of the previous
// one is known.
type decisionPipeline struct {
	pending  []modelDecision
	inFlight *modelProposal
	// abandoned are proposals that were given up before their outcome was known; they commit nevertheless.
	abandoned []*modelProposal
	// abandonsProposals makes the controller give up slow proposals, which a correct one must not do.
	abandonsProposals bool
	// slowToCommit selects proposals that take long to commit; if nil, this happens only by chance.
	slowToCommit func([]directory.Command) bool
	// renewsLate makes a lease count as renewed only once the answer is sent. This leaves a gap in
	// which a batch may reassign the keys.
	renewsLate bool
	// sendsUnrecorded is an instance whose heartbeats record nothing in the layout, though its answers contain keys.
	sendsUnrecorded *modelInstance
	// lastCommitAt is when the newest proposal commits.
	lastCommitAt time.Duration
}

// decide applies proposals that have committed, and decides the next batch if none is in flight.
func (m *model) decide() {
	m.commitAbandoned()
	pipeline := &m.pipeline
	if pipeline.inFlight != nil {
		m.advanceProposal()
	}
	if pipeline.inFlight != nil || len(pipeline.pending) == 0 {
		return
	}
	batch := m.core.Batch(m.now, m.view)
	var answers []pendingAnswer
	for _, decision := range pipeline.pending {
		if decision.answer == nil {
			batch.Tick()
			continue
		}
		if err := m.receive(batch, decision.answer.beat); err != nil {
			m.tracef("heartbeat of %s rejected: %v", decision.answer.instance.id, err)
			continue
		}
		answers = append(answers, *decision.answer)
	}
	pipeline.pending = nil
	m.propose(batch.Commands(), answers)
}

// receive adds a heartbeat to a batch.
func (m *model) receive(batch *Batch, beat Beat) error {
	var leaseEnd time.Duration
	state, tracked := m.core.heartbeats[beat.Instance]
	if tracked {
		leaseEnd = state.leaseEnd
	}
	err := batch.Receive(beat)
	if state, tracked = m.core.heartbeats[beat.Instance]; tracked && m.pipeline.renewsLate {
		state.leaseEnd = leaseEnd
	}
	return err
}

// propose submits commands to the log. Some take long to commit.
func (m *model) propose(commands []directory.Command, answers []pendingAnswer) {
	unrecorded := func(answer pendingAnswer) bool { return answer.instance == m.pipeline.sendsUnrecorded }
	if slices.ContainsFunc(answers, unrecorded) {
		commands = slices.DeleteFunc(commands, func(command directory.Command) bool { return command.Layout != nil })
	}
	if len(commands) == 0 {
		m.queueAnswers(answers)
		return
	}
	delay := time.Duration(m.random.IntN(80)) * time.Millisecond
	if m.faultChance(10) {
		delay = time.Duration(m.random.IntN(1500)) * time.Millisecond
	}
	if m.pipeline.slowToCommit != nil && m.pipeline.slowToCommit(commands) {
		delay = 2 * modelProposalTimeout
	}
	// The log commits proposals in the order in which they were submitted.
	commitAt := max(m.now+delay, m.pipeline.lastCommitAt)
	m.pipeline.lastCommitAt = commitAt
	m.pipeline.inFlight = &modelProposal{commands: commands, answers: answers, sentAt: m.now, commitAt: commitAt}
	m.advanceProposal()
}

// advanceProposal applies the proposal in flight once it is committed.
func (m *model) advanceProposal() {
	pipeline := &m.pipeline
	proposal := pipeline.inFlight
	if proposal.commitAt <= m.now {
		pipeline.inFlight = nil
		if m.commit(proposal) {
			m.queueAnswers(proposal.answers)
		}
		return
	}
	if pipeline.abandonsProposals && m.now-proposal.sentAt >= modelProposalTimeout {
		pipeline.abandoned = append(pipeline.abandoned, proposal)
		pipeline.inFlight = nil
	}
}

// answer returns the grant for a heartbeat.
func (p *decisionPipeline) answer(m *model, due pendingAnswer) Grant {
	if state := m.core.heartbeats[due.instance.id]; p.sendsUnrecorded == due.instance {
		defer func(sequence uint64) { state.sequence = sequence }(state.sequence)
		state.sequence = 0
	}
	return m.core.Answer(due.instance.id, due.receivedAt, m.view)
}

// commitAbandoned applies the abandoned proposals that have committed.
func (m *model) commitAbandoned() {
	var remaining []*modelProposal
	for _, proposal := range m.pipeline.abandoned {
		if proposal.commitAt > m.now {
			remaining = append(remaining, proposal)
			continue
		}
		m.commit(proposal)
	}
	m.pipeline.abandoned = remaining
}

// commit applies a proposal, and reports whether all of its commands were accepted.
func (m *model) commit(proposal *modelProposal) bool {
	allApplied := true
	for _, command := range proposal.commands {
		if command.Layout != nil {
			m.layoutChanges++
		}
		allApplied = m.apply(command) && allApplied
	}
	return allApplied
}

// changeLeader starts a new term. The last proposals of the earlier leader are committed before it, or lost.
func (m *model) changeLeader() {
	pipeline := &m.pipeline
	for _, proposal := range append(pipeline.abandoned, pipeline.inFlight) {
		if proposal != nil && m.random.IntN(2) == 0 {
			m.commit(proposal)
		}
	}
	pipeline.inFlight, pipeline.abandoned, pipeline.pending = nil, nil, nil
	m.pendingAnswers = nil
	m.core.Lead(m.now)
}

func (m *model) queueAnswers(answers []pendingAnswer) {
	for _, answer := range answers {
		m.queueAnswer(answer)
	}
}

// queueAnswer queues the answer to a heartbeat. A busy controller sends it after a delay.
func (m *model) queueAnswer(answer pendingAnswer) {
	answer.notBefore = m.now
	if m.faultChance(30) {
		answer.notBefore += time.Duration(m.random.IntN(200)) * time.Millisecond
	}
	m.pendingAnswers = append(m.pendingAnswers, answer)
}

// sendDueAnswers sends the queued answers that are due.
func (m *model) sendDueAnswers() {
	pending := m.pendingAnswers
	m.pendingAnswers = nil
	for _, due := range pending {
		if due.notBefore > m.now {
			m.pendingAnswers = append(m.pendingAnswers, due)
			continue
		}
		m.answer(due)
	}
}

// marksSilent reports whether commands mark an instance as silent.
func marksSilent(commands []directory.Command, id directory.InstanceID) bool {
	return slices.ContainsFunc(commands, func(command directory.Command) bool {
		return slices.ContainsFunc(command.Instances, func(instance directory.Instance) bool {
			return instance.ID == id && instance.State == directory.InstanceSilent
		})
	})
}

// silentInstanceReturns lets the lease of an instance expire, and lets its heartbeats arrive again while the
// batch that reassigns its keys takes long to commit.
func silentInstanceReturns(t *testing.T, abandons, sendsUnrecorded bool) *model {
	m := newModel(t, 1)
	m.faults = false
	m.withoutDemand = true
	m.pipeline.abandonsProposals = abandons
	m.run(6 * time.Second)
	returning := m.instances[0]
	returning.unreachableUntil = m.now + time.Hour
	m.pipeline.slowToCommit = func(commands []directory.Command) bool { return marksSilent(commands, returning.id) }
	deadline := m.now + 2*m.core.config.Lease
	for m.pipeline.inFlight == nil || !marksSilent(m.pipeline.inFlight.commands, returning.id) {
		if m.now > deadline {
			t.Fatal("the keys of the instance were not reassigned")
		}
		m.step()
	}
	returning.unreachableUntil = 0
	// The heartbeat is the first one that the controller decides on after the proposal was given up.
	m.pipeline.pending = nil
	m.now += modelProposalTimeout
	if sendsUnrecorded {
		m.pipeline.sendsUnrecorded = returning
	}
	m.beat(returning)
	m.decide()
	m.run(m.now + 4*time.Second)
	return m
}

// TestReturningInstanceWaitsForTheLog checks that an instance that returns while its keys are being
// reassigned does not get them back in addition to their next holder.
func TestReturningInstanceWaitsForTheLog(t *testing.T) {
	if m := silentInstanceReturns(t, false, false); m.failure != "" {
		t.Errorf("%s\n%s", m.failure, strings.Join(m.trace, "\n"))
	}
}

// TestModelCatchesLateRenewal checks that the model detects a controller that may reassign the keys of an
// instance between its heartbeat and the answer.
func TestModelCatchesLateRenewal(t *testing.T) {
	const seeds = 30
	for seed := range uint64(seeds) {
		m := newModel(t, seed)
		m.pipeline.renewsLate = true
		m.run(40 * time.Second)
		if strings.Contains(m.failure, "is held by") {
			return
		}
	}
	t.Error("the model did not detect keys that were reassigned before the answer granted them")
}

// TestAbandonedProposalsGrantNothing checks that a controller that decides its next batch before the outcome of the
// previous one is known gives no key a second holder: it grants keys by a change of the layout that it knows.
func TestAbandonedProposalsGrantNothing(t *testing.T) {
	if m := silentInstanceReturns(t, true, false); m.failure != "" {
		t.Errorf("%s\n%s", m.failure, strings.Join(m.trace, "\n"))
	}
}

// TestModelCatchesAbandonedProposals checks that the model detects such a controller if it also grants keys without
// recording that.
func TestModelCatchesAbandonedProposals(t *testing.T) {
	m := silentInstanceReturns(t, true, true)
	if !strings.Contains(m.failure, "is held by") {
		t.Errorf("failure %q, want two holders", m.failure)
	}
}
