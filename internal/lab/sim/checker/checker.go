package checker

import (
	"fmt"
	"time"
)

// Guarantee names what a violation broke.
type Guarantee string

// Guarantees that are checked.
const (
	OneLeader        Guarantee = "one_leader_a_term"
	LogAgreement     Guarantee = "revisions_have_one_content"
	EpochContent     Guarantee = "epochs_have_one_owner"
	Durability       Guarantee = "acknowledged_survives"
	OneOwner         Guarantee = "one_owner"
	EpochOrder       Guarantee = "epochs_rise"
	RefusalTrue      Guarantee = "not_run_is_true"
	AtMostOnce       Guarantee = "at_most_once"
	OwnAnswer        Guarantee = "own_answer"
	NoNewWork        Guarantee = "leaving_gets_no_new_work"
	RevisionOrder    Guarantee = "router_revision_rises"
	Freshness        Guarantee = "fresh_is_true"
	CurrentRead      Guarantee = "confirmed_reads_are_current"
	OwnerLiveness    Guarantee = "every_key_gets_an_owner"
	ConfigLiveness   Guarantee = "configuration_is_in_force"
	IntentHistory    Guarantee = "intents_are_linearizable"
	OwnershipHistory Guarantee = "ownership_is_linearizable"
	ConfigHistory    Guarantee = "configuration_is_linearizable"
	NoPanic          Guarantee = "no_process_fails"
)

// Violation is the first broken guarantee of a run.
type Violation struct {
	Guarantee Guarantee     `json:"guarantee"`
	At        time.Duration `json:"at_ns"`
	Detail    string        `json:"detail"`
}

// Checker gathers what was observed in one run.
type Checker struct {
	now       func() time.Duration
	violation *Violation
	log       logChecker
	owners    ownerChecker
	requests  requestChecker
	routers   routerChecker
	histories histories
}

// New returns a checker that reads the true time from now.
func New(now func() time.Duration) *Checker {
	return &Checker{
		now:       now,
		log:       newLogChecker(),
		owners:    newOwnerChecker(),
		requests:  newRequestChecker(),
		routers:   newRouterChecker(),
		histories: newHistories(),
	}
}

// Violation returns the first violation, or nil.
func (c *Checker) Violation() *Violation { return c.violation }

// Fail records a violation, unless there was one before.
func (c *Checker) Fail(guarantee Guarantee, format string, arguments ...any) {
	if c.violation == nil {
		c.violation = &Violation{Guarantee: guarantee, At: c.now(), Detail: fmt.Sprintf(format, arguments...)}
	}
}
