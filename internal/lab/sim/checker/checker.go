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
	EpochOrder       Guarantee = "epochs_rise"
	Durability       Guarantee = "acknowledged_survives"
	OneOwner         Guarantee = "one_owner"
	QuietElection    Guarantee = "no_quorum_round_in_quiet_time"
	RouterTable      Guarantee = "router_tables_are_whole"
	RevisionOrder    Guarantee = "router_revision_rises"
	CurrentRead      Guarantee = "confirmed_reads_are_current"
	ConfigOrder      Guarantee = "configuration_never_reverts"
	OwnerLiveness    Guarantee = "every_key_gets_an_owner"
	ConfigLiveness   Guarantee = "configuration_is_in_force"
	IntentHistory    Guarantee = "intents_are_linearizable"
	OwnershipHistory Guarantee = "ownership_is_linearizable"
	NoFailure        Guarantee = "no_process_fails"
	NotRunNeverRan   Guarantee = "not_run_never_ran"
	AtMostOnce       Guarantee = "non_repeatable_runs_at_most_once"
	CurrentTable     Guarantee = "requests_follow_a_current_table"
	Drained          Guarantee = "leaving_servers_get_nothing_new"
	BoundedQueue     Guarantee = "queues_are_bounded"
	RetryBudget      Guarantee = "resends_within_budget"
	AnswerAtOnce     Guarantee = "final_answers_go_at_once"
)

// Violation is the first broken guarantee of a run.
type Violation struct {
	Guarantee Guarantee `json:"guarantee"`
	// At is the true time since the start of the run.
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// Counts says how much a run checked.
type Counts struct {
	// Entries counts applied log entries, Reads confirmed reads, Rounds the quorum
	// rounds that renewals rest on, Tables router tables, Holdings lease messages, Executions requests that began, and
	// Operations the operations of histories. Requests counts what routers took
	// in, Attempts what they sent, Runs what back ends executed of that, Answers
	// what callers got.
	Entries    int `json:"entries"`
	Reads      int `json:"reads"`
	Rounds     int `json:"rounds"`
	Tables     int `json:"tables"`
	Holdings   int `json:"holdings"`
	Executions int `json:"executions"`
	Recoveries int `json:"recoveries"`
	Operations int `json:"operations"`
	// Merges counts the shards that were merged into others.
	Merges   int `json:"merges"`
	Requests int `json:"requests"`
	Attempts int `json:"attempts"`
	Runs     int `json:"runs"`
	Answers  int `json:"answers"`
}

// Add adds the counts of another run.
func (c *Counts) Add(other Counts) {
	c.Entries += other.Entries
	c.Reads += other.Reads
	c.Rounds += other.Rounds
	c.Tables += other.Tables
	c.Holdings += other.Holdings
	c.Executions += other.Executions
	c.Recoveries += other.Recoveries
	c.Operations += other.Operations
	c.Merges += other.Merges
	c.Requests += other.Requests
	c.Attempts += other.Attempts
	c.Runs += other.Runs
	c.Answers += other.Answers
}

// Checker gathers what was observed in one run. It is not safe for concurrent
// use.
type Checker struct {
	now       func() time.Duration
	violation *Violation
	counts    Counts
	log       logChecker
	owners    ownerChecker
	rounds    roundChecker
	requests  requestChecker
	routers   map[string]uint64
	histories histories
}

// New returns a checker that reads the true time from now.
func New(now func() time.Duration) *Checker {
	return &Checker{
		now:       now,
		log:       newLogChecker(),
		owners:    newOwnerChecker(),
		rounds:    newRoundChecker(),
		requests:  newRequestChecker(),
		routers:   make(map[string]uint64),
		histories: newHistories(),
	}
}

// Violation returns the first violation, or nil.
func (c *Checker) Violation() *Violation { return c.violation }

// Counts returns how much was checked so far.
func (c *Checker) Counts() Counts { return c.counts }

// Fail records a violation, unless there was one before.
func (c *Checker) Fail(guarantee Guarantee, format string, arguments ...any) {
	if c.violation == nil {
		c.violation = &Violation{Guarantee: guarantee, At: c.now(), Detail: fmt.Sprintf(format, arguments...)}
	}
}
