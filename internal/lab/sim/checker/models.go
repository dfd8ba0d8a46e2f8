package checker

import "github.com/anishathalye/porcupine"

// ownedInput is one execution: who ran it, at which epoch.
type ownedInput struct {
	epoch       uint64
	incarnation string
}

// ownershipModel is a key whose owner changes only to a higher epoch.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownedInput{} },
	Step: func(state, input, _ any) (bool, any) {
		owner, next := state.(ownedInput), input.(ownedInput)
		if next.epoch > owner.epoch {
			return true, next
		}
		return next == owner, owner
	},
	Equal: func(first, second any) bool { return first.(ownedInput) == second.(ownedInput) },
}

// planStatus is the step of a plan's life in the model.
type planStatus int

const (
	planAbsent planStatus = iota
	planStored
	planConfirmed
	planStale
	// planTried: a confirmation without an answer took effect, so the plan is
	// confirmed or stale.
	planTried
)

// intentState is one intent identifier. An empty digest and an accepted
// revision of zero are not known yet.
type intentState struct {
	status   planStatus
	content  string
	digest   string
	accepted uint64
}

// intentModel is an intent that the first plan settles and that is confirmed at
// most once.
var intentModel = porcupine.Model{
	Init: func() any { return intentState{} },
	Step: func(state, input, _ any) (bool, any) {
		known, call := state.(intentState), input.(IntentCall)
		if call.Action == ActionPlan {
			return stepPlan(known, call)
		}
		return stepConfirm(known, call)
	},
	Equal: func(first, second any) bool { return first.(intentState) == second.(intentState) },
}

func stepPlan(known intentState, call IntentCall) (bool, any) {
	switch call.Answer {
	case AnswerOK:
		if known.status == planAbsent {
			return true, intentState{status: planStored, content: call.Content, digest: call.Digest}
		}
		matches := known.content == call.Content && (known.digest == "" || known.digest == call.Digest)
		known.digest = call.Digest
		return matches, known
	case AnswerUnknown:
		if known.status == planAbsent {
			return true, intentState{status: planStored, content: call.Content}
		}
		return true, known
	case AnswerConflict:
		return known.status != planAbsent && known.content != call.Content, known
	default:
		return false, known
	}
}

func stepConfirm(known intentState, call IntentCall) (bool, any) {
	matches := known.digest == "" || known.digest == call.Digest
	switch call.Answer {
	case AnswerOK:
		return confirmOK(known, call, matches)
	case AnswerStale:
		legal := known.status == planStored || known.status == planStale || known.status == planTried
		known.status = planStale
		return legal && matches, known
	case AnswerConflict:
		return known.status != planAbsent && known.digest != call.Digest, known
	case AnswerNotFound:
		return known.status == planAbsent, known
	default:
		if known.status == planStored && matches {
			known.status = planTried
		}
		return true, known
	}
}

func confirmOK(known intentState, call IntentCall, matches bool) (bool, any) {
	legal := known.status == planStored || known.status == planTried || known.status == planConfirmed
	settled := known.status == planConfirmed && known.accepted != call.Accepted
	known.status = planConfirmed
	known.accepted = call.Accepted
	return legal && matches && !settled, known
}

// configModel is a register that holds a service's settings.
var configModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		call := input.(ConfigCall)
		if call.Write {
			return true, call.Settings
		}
		return call.Settings == state.(int), state
	},
	Equal: func(first, second any) bool { return first.(int) == second.(int) },
}
