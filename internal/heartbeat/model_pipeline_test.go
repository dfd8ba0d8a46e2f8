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

// modelProposalTimeout is after how long a controller that does not wait for the end of
// its proposal goes on to the next.
const modelProposalTimeout = 500 * time.Millisecond

// modelDecision is a heartbeat that waits for its batch, or a tick.
type modelDecision struct {
	beat *heldAnswer
}

// modelProposal is a batch on its way through the log of the controllers.
type modelProposal struct {
	commands []directory.Command
	// answers are the heartbeats that are answered once it is applied.
	answers  []heldAnswer
	commitAt time.Duration
	sentAt   time.Duration
}

// decisionPipeline puts decisions in force one batch after the other: the next one is
// decided once the end of the last one is known.
type decisionPipeline struct {
	waiting  []modelDecision
	inFlight *modelProposal
	// abandoned were given up before their end was known; they commit all the same.
	abandoned []*modelProposal
	// abandons is whether proposals are given up, which a controller must not do.
	abandons bool
	// slow chooses proposals that take long to commit; nil for none but by chance.
	slow func([]directory.Command) bool
	// renewsLate is whether a lease counts as renewed only once the answer is given,
	// which leaves a gap in which a batch takes the keys.
	renewsLate bool
	// lastCommitAt is when the newest proposal commits.
	lastCommitAt time.Duration
}

// decide commits what is due, and decides the next batch if none is under way.
func (m *model) decide() {
	m.commitAbandoned()
	pipeline := &m.decisions
	if pipeline.inFlight != nil {
		m.advanceProposal()
	}
	if pipeline.inFlight != nil || len(pipeline.waiting) == 0 {
		return
	}
	batch := m.core.Batch(m.now, m.view)
	var answers []heldAnswer
	for _, decision := range pipeline.waiting {
		if decision.beat == nil {
			batch.Tick()
			continue
		}
		if err := m.receive(batch, decision.beat.beat); err != nil {
			m.note("%s refused: %v", decision.beat.instance.id, err)
			continue
		}
		answers = append(answers, *decision.beat)
	}
	pipeline.waiting = nil
	m.propose(batch.Commands(), answers)
}

// receive takes a heartbeat into a batch.
func (m *model) receive(batch *Batch, beat Beat) error {
	var before time.Duration
	known, met := m.core.contacts[beat.Instance]
	if met {
		before = known.leaseEnd
	}
	err := batch.Receive(beat)
	if known, met = m.core.contacts[beat.Instance]; met && m.decisions.renewsLate {
		known.leaseEnd = before
	}
	return err
}

// propose sends commands into the log. Some take long to commit.
func (m *model) propose(commands []directory.Command, answers []heldAnswer) {
	if len(commands) == 0 {
		m.answerAll(answers)
		return
	}
	delay := time.Duration(m.random.IntN(80)) * time.Millisecond
	if m.chance(10) {
		delay = time.Duration(m.random.IntN(1500)) * time.Millisecond
	}
	if m.decisions.slow != nil && m.decisions.slow(commands) {
		delay = 2 * modelProposalTimeout
	}
	// The log keeps the order in which proposals came.
	commitAt := max(m.now+delay, m.decisions.lastCommitAt)
	m.decisions.lastCommitAt = commitAt
	m.decisions.inFlight = &modelProposal{commands: commands, answers: answers, sentAt: m.now, commitAt: commitAt}
	m.advanceProposal()
}

// advanceProposal applies the proposal under way once it is committed.
func (m *model) advanceProposal() {
	pipeline := &m.decisions
	proposal := pipeline.inFlight
	if proposal.commitAt <= m.now {
		pipeline.inFlight = nil
		if m.commit(proposal) {
			m.answerAll(proposal.answers)
		}
		return
	}
	if pipeline.abandons && m.now-proposal.sentAt >= modelProposalTimeout {
		pipeline.abandoned = append(pipeline.abandoned, proposal)
		pipeline.inFlight = nil
	}
}

// commitAbandoned applies what was given up and is committed all the same.
func (m *model) commitAbandoned() {
	var left []*modelProposal
	for _, proposal := range m.decisions.abandoned {
		if proposal.commitAt > m.now {
			left = append(left, proposal)
			continue
		}
		m.commit(proposal)
	}
	m.decisions.abandoned = left
}

// commit applies a proposal, and reports whether nothing of it was refused.
func (m *model) commit(proposal *modelProposal) bool {
	whole := true
	for _, command := range proposal.commands {
		if command.Layout != nil {
			m.moves++
		}
		whole = m.apply(command) && whole
	}
	return whole
}

// changeLeader begins a term. What the earlier leader proposed last was committed before
// it, or is lost.
func (m *model) changeLeader() {
	pipeline := &m.decisions
	for _, proposal := range append(pipeline.abandoned, pipeline.inFlight) {
		if proposal != nil && m.random.IntN(2) == 0 {
			m.commit(proposal)
		}
	}
	pipeline.inFlight, pipeline.abandoned, pipeline.waiting = nil, nil, nil
	m.held = nil
	m.core.Lead(m.now)
}

func (m *model) answerAll(answers []heldAnswer) {
	for _, answer := range answers {
		m.answerSoon(answer)
	}
}

// answerSoon answers a heartbeat once the controller comes to it, which takes a while
// where it is busy.
func (m *model) answerSoon(answer heldAnswer) {
	answer.notBefore = m.now
	if m.chance(30) {
		answer.notBefore += time.Duration(m.random.IntN(200)) * time.Millisecond
	}
	m.held = append(m.held, answer)
}

// answerHeld gives the answers that wait for nothing any more.
func (m *model) answerHeld() {
	waiting := m.held
	m.held = nil
	for _, due := range waiting {
		if due.notBefore > m.now {
			m.held = append(m.held, due)
			continue
		}
		m.answer(due)
	}
}

// marksSilent reports whether commands say that an instance is silent.
func marksSilent(commands []directory.Command, id directory.InstanceID) bool {
	return slices.ContainsFunc(commands, func(command directory.Command) bool {
		return slices.ContainsFunc(command.Instances, func(instance directory.Instance) bool {
			return instance.ID == id && instance.State == directory.InstanceSilent
		})
	})
}

// silentInstanceReturns lets the lease of an instance end, and its heartbeats come again
// while the batch that passes on its keys takes long to commit.
func silentInstanceReturns(t *testing.T, abandons bool) *model {
	m := newModel(t, 1)
	m.faults = false
	m.withoutDemand = true
	m.decisions.abandons = abandons
	m.run(6 * time.Second)
	returning := m.instances[0]
	returning.cutUntil = m.now + time.Hour
	m.decisions.slow = func(commands []directory.Command) bool { return marksSilent(commands, returning.id) }
	deadline := m.now + 2*m.core.config.Lease
	for m.decisions.inFlight == nil || !marksSilent(m.decisions.inFlight.commands, returning.id) {
		if m.now > deadline {
			t.Fatal("the keys of the instance were not passed on")
		}
		m.step()
	}
	returning.cutUntil = 0
	// The heartbeat is the first that the controller decides after the proposal was given up.
	m.decisions.waiting = nil
	m.now += modelProposalTimeout
	m.beat(returning)
	m.decide()
	m.run(m.now + 4*time.Second)
	return m
}

// TestReturningInstanceWaitsForTheLog: an instance that returns while its keys are being
// passed on does not get them back beside their next holder.
func TestReturningInstanceWaitsForTheLog(t *testing.T) {
	if m := silentInstanceReturns(t, false); m.failure != "" {
		t.Errorf("%s\n%s", m.failure, strings.Join(m.trace, "\n"))
	}
}

// TestModelCatchesLateRenewal: the check sees a controller that may take the keys of an
// instance between its heartbeat and the answer to it.
func TestModelCatchesLateRenewal(t *testing.T) {
	const seeds = 30
	for seed := range uint64(seeds) {
		m := newModel(t, seed)
		m.decisions.renewsLate = true
		m.run(40 * time.Second)
		if strings.Contains(m.failure, "is held by") {
			return
		}
	}
	t.Error("keys that were taken before the answer granted them were not noticed")
}

// TestModelCatchesAbandonedProposals: the check sees a controller that decides its next
// batch before it knows whether the last one was committed.
func TestModelCatchesAbandonedProposals(t *testing.T) {
	if m := silentInstanceReturns(t, true); !strings.Contains(m.failure, "is held by") {
		t.Errorf("failure %q, want two holders", m.failure)
	}
}
