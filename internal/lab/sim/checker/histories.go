package checker

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Bounds of a history, so that its check stays fast.
const (
	maxOwnedOperations  = 200
	maxIntentOperations = 40
	historyTimeout      = 10 * time.Second
)

// IntentAction is what an operator asks of one intent identifier.
type IntentAction int

// Actions on an intent.
const (
	ActionPlan IntentAction = iota
	ActionConfirm
	ActionGet
)

// IntentAnswer is the class of an answer.
type IntentAnswer int

// Classes of answers.
const (
	// AnswerUnknown: no answer came; the call may take effect at any time.
	AnswerUnknown IntentAnswer = iota
	AnswerOK
	AnswerConflict
	AnswerStale
	// AnswerNotFound: the plan did not exist when the call took effect.
	AnswerNotFound
)

// PlanStatus is the step of a plan's life that a read found.
type PlanStatus int

// Steps of a plan's life.
const (
	PlanAbsent PlanStatus = iota
	PlanStored
	PlanConfirmed
	PlanStale
	// planTried: a confirmation without an answer took effect, so the plan is
	// confirmed or stale. Only the model has this step.
	planTried
)

// IntentCall is one call of an operator with its answer.
type IntentCall struct {
	Intent string
	Action IntentAction
	// Content names what a plan asks for; Digest is the plan's digest, as
	// answered or as sent with a confirmation.
	Content string
	Digest  string
	Answer  IntentAnswer
	// Status is what ActionGet found.
	Status PlanStatus
	// Accepted is the answered revision of a confirmed plan.
	Accepted uint64
	Client   int
	Called   time.Duration
	Returned time.Duration
}

// histories holds the operations of each partition, in the order of its first
// operation, so that checks run in the same order on each run.
type histories struct {
	owned   history
	intents history
}

// history is the operations of the partitions of one kind.
type history struct {
	limit      int
	order      []string
	operations map[string][]porcupine.Operation
	// unknown has the calls without an answer that are in the history.
	unknown map[IntentCall]bool
}

func newHistory(limit int) history {
	return history{limit: limit, operations: make(map[string][]porcupine.Operation), unknown: make(map[IntentCall]bool)}
}

// add appends an operation, unless the partition's history is full.
func (h *history) add(partition string, operation porcupine.Operation) {
	known, found := h.operations[partition]
	if !found {
		h.order = append(h.order, partition)
	}
	if len(known) < h.limit {
		h.operations[partition] = append(known, operation)
	}
}

func newHistories() histories {
	return histories{owned: newHistory(maxOwnedOperations), intents: newHistory(maxIntentOperations)}
}

func (h *histories) executed(execution Execution, end time.Duration) {
	h.owned.add(execution.Key, porcupine.Operation{
		Input: ownedInput{epoch: execution.Epoch, incarnation: execution.Incarnation},
		Call:  int64(execution.began), Return: int64(end), Output: struct{}{},
	})
}

// Intent records a call on an intent. The answer is part of the operation's
// input, since the model judges both together.
func (c *Checker) Intent(call IntentCall) {
	end := int64(call.Returned)
	if call.Answer == AnswerUnknown {
		end = math.MaxInt64
		if c.histories.intents.isRepeated(call) {
			return
		}
	}
	c.histories.intents.add(call.Intent, porcupine.Operation{
		ClientId: call.Client, Input: call, Call: int64(call.Called), Output: struct{}{}, Return: end,
	})
}

// isRepeated reports whether the same call without an answer is in the history.
// Both may take effect at any later time and only the first effect counts, so
// that one of them stands for all. Calls come in the order of their timeouts,
// which all are alike, so the first has the earliest call.
func (h *history) isRepeated(call IntentCall) bool {
	kind := IntentCall{Intent: call.Intent, Action: call.Action, Content: call.Content, Digest: call.Digest}
	known := h.unknown[kind]
	h.unknown[kind] = true
	return known
}

// CheckHistories checks every history for linearizability.
func (c *Checker) CheckHistories() {
	for _, key := range c.histories.owned.order {
		c.checkHistory(OwnershipHistory, "key "+key, ownershipModel, c.histories.owned.operations[key])
	}
	for _, intent := range c.histories.intents.order {
		c.checkHistory(IntentHistory, "intent "+intent, intentModel, c.histories.intents.operations[intent])
	}
}

func (c *Checker) checkHistory(guarantee Guarantee, name string, model porcupine.Model, operations []porcupine.Operation) {
	if c.violation != nil {
		return
	}
	c.counts.Operations += len(operations)
	switch porcupine.CheckOperationsTimeout(model, operations, historyTimeout) {
	case porcupine.Illegal:
		c.Fail(guarantee, "the history of %s (%d operations) is not linearizable", name, len(operations))
	case porcupine.Unknown:
		c.Fail(guarantee, "the history of %s (%d operations) was not judged within %v", name, len(operations), historyTimeout)
	default:
	}
}
