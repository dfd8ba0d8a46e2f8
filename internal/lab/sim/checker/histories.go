package checker

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Bounds of a history, so that its check stays fast.
const (
	maxOwnedOperations  = 400
	maxIntentOperations = 60
	maxConfigOperations = 120
	historyTimeout      = 10 * time.Second
)

// IntentAction is what an operator asks of one intent identifier.
type IntentAction int

// Actions on an intent.
const (
	ActionPlan IntentAction = iota
	ActionConfirm
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

// IntentCall is one call of an operator with its answer.
type IntentCall struct {
	Intent string
	Action IntentAction
	// Content names what a plan asks for; Digest is the plan's digest, as
	// answered or as sent with a confirmation.
	Content string
	Digest  string
	Answer  IntentAnswer
	// Accepted is the answered revision of a confirmed plan.
	Accepted uint64
	Client   int
	Called   time.Duration
	Returned time.Duration
}

// ConfigCall writes a service's settings, or reads them from a controller that
// claims to be current. A write without an answer may take effect at any time.
type ConfigCall struct {
	Service  string
	Write    bool
	Settings int
	Unknown  bool
	Client   int
	Called   time.Duration
	Returned time.Duration
}

// histories holds the operations of each partition, in the order of its first
// operation, so that checks run in the same order on each run.
type histories struct {
	owned   history[serviceKey]
	intents history[string]
	configs history[string]
}

// history is the operations of the partitions of one kind.
type history[K comparable] struct {
	limit      int
	order      []K
	operations map[K][]porcupine.Operation
}

func newHistory[K comparable](limit int) history[K] {
	return history[K]{limit: limit, operations: make(map[K][]porcupine.Operation)}
}

// add appends an operation, unless the partition's history is full.
func (h *history[K]) add(partition K, operation porcupine.Operation) {
	known, found := h.operations[partition]
	if !found {
		h.order = append(h.order, partition)
	}
	if len(known) < h.limit {
		h.operations[partition] = append(known, operation)
	}
}

func newHistories() histories {
	return histories{
		owned:   newHistory[serviceKey](maxOwnedOperations),
		intents: newHistory[string](maxIntentOperations),
		configs: newHistory[string](maxConfigOperations),
	}
}

func (h *histories) executed(key serviceKey, execution Execution, end time.Duration) {
	h.owned.add(key, porcupine.Operation{
		Input: ownedInput{epoch: execution.Epoch, incarnation: execution.Incarnation},
		Call:  int64(execution.began), Return: int64(end), Output: struct{}{},
	})
}

// Intent records a call on an intent.
func (c *Checker) Intent(call IntentCall) {
	c.histories.intents.add(call.Intent, operation(call.Client, call, call.Called, call.Returned, call.Answer == AnswerUnknown))
}

// Config records a write or read of a service's settings.
func (c *Checker) Config(call ConfigCall) {
	c.histories.configs.add(call.Service, operation(call.Client, call, call.Called, call.Returned, call.Unknown))
}

// operation returns an operation whose output is part of its input, since the
// models judge both together. One without an answer may take effect until the
// end of the history.
func operation(client int, input any, called, returned time.Duration, unknown bool) porcupine.Operation {
	end := int64(returned)
	if unknown {
		end = math.MaxInt64
	}
	return porcupine.Operation{ClientId: client, Input: input, Call: int64(called), Output: struct{}{}, Return: end}
}

// CheckHistories checks every history for linearizability.
func (c *Checker) CheckHistories() {
	for _, key := range c.histories.owned.order {
		c.checkHistory(OwnershipHistory, "key "+key.key, ownershipModel, c.histories.owned.operations[key])
	}
	for _, intent := range c.histories.intents.order {
		c.checkHistory(IntentHistory, "intent "+intent, intentModel, c.histories.intents.operations[intent])
	}
	for _, service := range c.histories.configs.order {
		c.checkHistory(ConfigHistory, "service "+service, configModel, c.histories.configs.operations[service])
	}
}

func (c *Checker) checkHistory(guarantee Guarantee, name string, model porcupine.Model, operations []porcupine.Operation) {
	if c.violation != nil {
		return
	}
	if porcupine.CheckOperationsTimeout(model, operations, historyTimeout) == porcupine.Illegal {
		c.Fail(guarantee, "the history of %s (%d operations) is not linearizable", name, len(operations))
	}
}
