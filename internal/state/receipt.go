package state

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// MaxReceipts limits the number of receipts kept for intents whose plans were
// discarded; the oldest are discarded first. Together with MaxPlans it covers 3 days
// and 8 hours at 11,000 intents a day.
const MaxReceipts = 32768

// Receipt is the summary of an intent that is kept after its plan was discarded.
type Receipt struct {
	Plan PlanID `msgpack:"p"`
	// Content is the hash of the intent without its operator.
	Content uint64 `msgpack:"c"`
	// Status, Digest, Accepted and ConfirmedBy are those of the plan. A plan that
	// was never confirmed counts as stale, because its operations are discarded.
	Status      PlanStatus `msgpack:"s"`
	Digest      string     `msgpack:"d"`
	Accepted    Revision   `msgpack:"a,omitempty"`
	ConfirmedBy string     `msgpack:"o,omitempty"`
}

// receipts holds the receipts and a summary of the identifiers whose receipts were
// discarded. It is not safe for concurrent use.
type receipts struct {
	byPlan map[PlanID]*Receipt
	// order lists the receipts, oldest first. Its elements are never modified.
	order     []*Receipt
	discarded discardedIDs
}

// discardedIDs records which unknown identifiers may belong to discarded receipts.
type discardedIDs struct {
	// NewestMs is the newest timestamp of a discarded identifier that contains one,
	// in Unix milliseconds.
	NewestMs int64 `msgpack:",omitempty"`
	// Untimed is true once an identifier without a timestamp was discarded.
	Untimed bool `msgpack:",omitempty"`
}

func (f *discardedIDs) add(id PlanID) {
	drawnMs, timed := idTimestamp(id)
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
		r.discarded.add(oldest.Plan)
	}
}

// receiptOf returns the receipt to keep when a plan is discarded.
func receiptOf(plan *Plan) *Receipt {
	receipt := &Receipt{
		Plan: plan.ID, Content: intentHash(plan.Intent), Status: plan.Status, Digest: plan.Digest,
		Accepted: plan.Accepted, ConfirmedBy: plan.ConfirmedBy,
	}
	if plan.Status == PlanStored {
		receipt.Status = PlanStale
	}
	return receipt
}

// intentHash returns the hash of an intent without its operator.
func intentHash(intent Intent) uint64 {
	intent.Operator = ""
	encoded, err := codec.Marshal(&intent)
	if err != nil {
		// Unreachable: an intent from the log has been encoded before.
		return 0
	}
	return xxhash.Sum64(encoded)
}

// timestampUUIDVersion is the UUID version that begins with a Unix timestamp.
const timestampUUIDVersion = 7

// idTimestamp returns the timestamp of an identifier in Unix milliseconds. Only a UUID
// of version 7 contains one.
func idTimestamp(id PlanID) (int64, bool) {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.Version() != timestampUUIDVersion {
		return 0, false
	}
	const timeBytes = 6
	var milliseconds int64
	for _, part := range parsed[:timeBytes] {
		milliseconds = milliseconds<<8 | int64(part)
	}
	return milliseconds, true
}

// Receipt returns the receipt of a discarded plan.
func (s *State) Receipt(id PlanID) (Receipt, bool) {
	receipt, found := s.receipts.byPlan[id]
	if !found {
		return Receipt{}, false
	}
	return *receipt, true
}

// Expired reports whether an unknown identifier may belong to a discarded receipt:
// its timestamp is not after the newest discarded one, or it has no timestamp and
// identifiers without one have been discarded.
func (s *State) Expired(id PlanID) bool {
	drawnMs, timed := idTimestamp(id)
	if !timed {
		return s.receipts.discarded.Untimed
	}
	return drawnMs <= s.receipts.discarded.NewestMs
}

// DrawnAfter reports whether an identifier contains a timestamp later than the given
// time in Unix milliseconds.
func DrawnAfter(id IntentID, unixMs int64) bool {
	drawnMs, timed := idTimestamp(PlanID(id))
	return timed && drawnMs > unixMs
}

// answerFromReceipt answers a retry of an intent whose plan was discarded. The answer
// is the original one without the plan's operations. It returns false if the
// identifier is new, so that the intent is to be planned.
func (tx *transaction) answerFromReceipt(id PlanID, intent Intent) (Result, bool) {
	receipt, found := tx.state.Receipt(id)
	switch {
	case found && receipt.Content != intentHash(intent):
		return intentConflict(intent.ID), true
	case found:
		return Result{Plan: receipt.plan(intent)}, true
	case tx.state.Expired(id):
		return failure(fault.IntentExpired, "intent_id "+string(id)+" cannot be told from identifiers that are forgotten: "+
			"look whether it was carried out, and use a new UUID of version 7 for a new intent"), true
	default:
		return Result{}, false
	}
}

// Known returns a plan with the fields that the receipt preserves.
func (r Receipt) Known() *Plan {
	return r.plan(Intent{ID: IntentID(r.Plan)})
}

func (r Receipt) plan(intent Intent) *Plan {
	return &Plan{
		ID: r.Plan, Intent: intent, Status: r.Status, Digest: r.Digest, Accepted: r.Accepted, ConfirmedBy: r.ConfirmedBy,
		Forgotten: true,
	}
}

// confirmFromReceipt answers the confirmation of a plan that is no longer stored. It
// never changes the state.
func (tx *transaction) confirmFromReceipt(command *ConfirmPlan) Result {
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

func intentConflict(id IntentID) Result {
	return failure(fault.Conflict, "intent_id "+string(id)+" was used before with other content: choose a new intent_id")
}
