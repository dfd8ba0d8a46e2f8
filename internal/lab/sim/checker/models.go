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

// intentState is one intent identifier. An empty digest and an accepted
// revision of zero are not known yet.
type intentState struct {
	status   PlanStatus
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
		switch call.Action {
		case ActionPlan:
			return stepPlan(known, call)
		case ActionConfirm:
			return stepConfirm(known, call)
		default:
			return stepGet(known, call)
		}
	},
	Equal: func(first, second any) bool { return first.(intentState) == second.(intentState) },
}

func stepPlan(known intentState, call IntentCall) (bool, any) {
	switch call.Answer {
	case AnswerOK:
		if known.status == PlanAbsent {
			return true, intentState{status: PlanStored, content: call.Content, digest: call.Digest}
		}
		matches := known.content == call.Content && (known.digest == "" || known.digest == call.Digest)
		known.digest = call.Digest
		return matches, known
	case AnswerUnknown:
		if known.status == PlanAbsent {
			return true, intentState{status: PlanStored, content: call.Content}
		}
		return true, known
	case AnswerConflict:
		return known.status != PlanAbsent && known.content != call.Content, known
	default:
		return false, known
	}
}

func stepConfirm(known intentState, call IntentCall) (bool, any) {
	matches := known.digest == "" || known.digest == call.Digest
	switch call.Answer {
	case AnswerOK:
		legal := known.status == PlanStored || known.status == planTried || known.status == PlanConfirmed
		return settle(known, call, PlanConfirmed, legal && matches)
	case AnswerStale:
		legal := known.status == PlanStored || known.status == PlanStale || known.status == planTried
		return settle(known, call, PlanStale, legal && matches)
	case AnswerConflict:
		return known.status != PlanAbsent && known.digest != call.Digest, known
	case AnswerNotFound:
		return known.status == PlanAbsent, known
	default:
		if known.status == PlanStored && matches {
			known.status = planTried
		}
		return true, known
	}
}

func stepGet(known intentState, call IntentCall) (bool, any) {
	if call.Answer == AnswerUnknown {
		return true, known
	}
	if call.Status == PlanAbsent {
		return known.status == PlanAbsent, known
	}
	matches := known.digest == "" || known.digest == call.Digest
	tried := known.status == planTried && call.Status != PlanStored
	legal := matches && (known.status == call.Status || tried)
	return settle(known, call, call.Status, legal)
}

// settle takes over what an answer says of the plan, if it is legal.
func settle(known intentState, call IntentCall, status PlanStatus, legal bool) (bool, any) {
	differs := known.status == PlanConfirmed && status == PlanConfirmed && known.accepted != call.Accepted
	known.status = status
	known.digest = call.Digest
	known.accepted = call.Accepted
	return legal && !differs, known
}
