package state

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// MaxReceipts bounds the receipts of intents whose plans were forgotten; the
// oldest are forgotten first. With MaxPlans it covers 3 days and 8 hours at
// 11,000 intents a day.
const MaxReceipts = 32768

// Receipt is what is kept of an intent once its plan is forgotten.
type Receipt struct {
	Plan PlanID `msgpack:"p"`
	// Content is the hash of what was asked for.
	Content uint64 `msgpack:"c"`
	// Status, Digest, Accepted and ConfirmedBy are those of the plan. A plan that
	// was only stored is stale: what it would have done is forgotten.
	Status      PlanStatus `msgpack:"s"`
	Digest      string     `msgpack:"d"`
	Accepted    Revision   `msgpack:"a,omitempty"`
	ConfirmedBy string     `msgpack:"o,omitempty"`
}

// receipts holds the receipts and what is known of forgotten ones. It is not safe
// for concurrent use.
type receipts struct {
	byPlan map[PlanID]*Receipt
	// order has the oldest first. Its elements are never changed.
	order     []*Receipt
	forgotten forgottenIDs
}

// forgottenIDs tells which unknown identifiers may be forgotten ones.
type forgottenIDs struct {
	// NewestMs is the time of the newest one that tells its time, in Unix
	// milliseconds.
	NewestMs int64 `msgpack:",omitempty"`
	// Untimed is true once one was forgotten that tells no time.
	Untimed bool `msgpack:",omitempty"`
}

func (f *forgottenIDs) add(id PlanID) {
	drawnMs, timed := drawnAt(id)
	f.NewestMs = max(f.NewestMs, drawnMs)
	f.Untimed = f.Untimed || !timed
}

func newReceipts() receipts {
	return receipts{byPlan: make(map[PlanID]*Receipt)}
}

func (r *receipts) add(receipt *Receipt) {
	r.byPlan[receipt.Plan] = receipt
	r.order = append(r.order, receipt)
	for len(r.order) > MaxReceipts {
		oldest := r.order[0]
		r.order = r.order[1:]
		delete(r.byPlan, oldest.Plan)
		r.forgotten.add(oldest.Plan)
	}
}

// receiptOf returns what is kept of a plan that is forgotten.
func receiptOf(plan *Plan) *Receipt {
	receipt := &Receipt{
		Plan: plan.ID, Content: contentOf(plan.Intent), Status: plan.Status, Digest: plan.Digest,
		Accepted: plan.Accepted, ConfirmedBy: plan.ConfirmedBy,
	}
	if plan.Status == PlanStored {
		receipt.Status = PlanStale
	}
	return receipt
}

// contentOf hashes what is asked for, whoever asks.
func contentOf(intent Intent) uint64 {
	intent.Operator = ""
	encoded, err := codec.Marshal(&intent)
	if err != nil {
		// An intent that came by the log was encoded before.
		return 0
	}
	return xxhash.Sum64(encoded)
}

// timedVersion is the UUID version that begins with a Unix time.
const timedVersion = 7

// drawnAt returns the time that an identifier tells, in Unix milliseconds; only a
// UUID of version 7 does.
func drawnAt(id PlanID) (int64, bool) {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.Version() != timedVersion {
		return 0, false
	}
	const timeBytes = 6
	var milliseconds int64
	for _, part := range parsed[:timeBytes] {
		milliseconds = milliseconds<<8 | int64(part)
	}
	return milliseconds, true
}

// Receipt returns what is kept of a plan that is forgotten.
func (s *State) Receipt(id PlanID) (Receipt, bool) {
	receipt, found := s.receipts.byPlan[id]
	if !found {
		return Receipt{}, false
	}
	return *receipt, true
}

// Expired reports whether an identifier that is not known may be one that is
// forgotten: its time is not after the newest forgotten one, or it tells none, as
// forgotten ones.
func (s *State) Expired(id PlanID) bool {
	drawnMs, timed := drawnAt(id)
	if !timed {
		return s.receipts.forgotten.Untimed
	}
	return drawnMs <= s.receipts.forgotten.NewestMs
}

// DrawnAfter reports whether an identifier tells a time after the given one, in
// Unix milliseconds.
func DrawnAfter(id IntentID, unixMs int64) bool {
	drawnMs, timed := drawnAt(PlanID(id))
	return timed && drawnMs > unixMs
}

// answerForgotten answers a resend of an intent whose plan is forgotten as the
// first time, without what the plan did. It reports whether it is one.
func (tx *transaction) answerForgotten(id PlanID, intent Intent) (Result, bool) {
	receipt, found := tx.state.Receipt(id)
	switch {
	case found && receipt.Content != contentOf(intent):
		return reusedIntent(intent.ID), true
	case found:
		return Result{Plan: receipt.plan(intent)}, true
	case tx.state.Expired(id):
		return failure(fault.IntentExpired, "intent_id "+string(id)+" cannot be told from identifiers that are forgotten: "+
			"look whether it was carried out, and use a new UUID of version 7 for a new intent"), true
	default:
		return Result{}, false
	}
}

// Known returns the plan as far as it is known.
func (r Receipt) Known() *Plan {
	return r.plan(Intent{ID: IntentID(r.Plan)})
}

func (r Receipt) plan(intent Intent) *Plan {
	return &Plan{
		ID: r.Plan, Intent: intent, Status: r.Status, Digest: r.Digest, Accepted: r.Accepted, ConfirmedBy: r.ConfirmedBy,
		Forgotten: true,
	}
}

// confirmForgotten answers the confirmation of a plan that is forgotten. It never
// changes anything.
func (tx *transaction) confirmForgotten(command *ConfirmPlan) Result {
	receipt, found := tx.state.Receipt(command.Plan)
	switch {
	case !found && tx.state.Expired(command.Plan):
		return failure(fault.IntentExpired, "plan "+string(command.Plan)+" is forgotten: look its effect up")
	case !found:
		return failure(fault.NotFound, "plan "+string(command.Plan)+": plan again")
	case receipt.Digest != command.Digest:
		return failure(fault.Conflict, "digest differs from the stored plan's: look at the plan again")
	case receipt.Status != PlanConfirmed:
		return failure(fault.StalePlan, "the plan was not confirmed in time and is forgotten: plan again under a new intent_id")
	default:
		return Result{Plan: receipt.Known()}
	}
}

func reusedIntent(id IntentID) Result {
	return failure(fault.Conflict, "intent_id "+string(id)+" was used before with other content: choose a new intent_id")
}
