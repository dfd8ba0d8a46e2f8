package record

// Count names one broken guarantee.
type Count string

// Counts that must be zero.
const (
	CountRanTwice        Count = "ran_twice"
	CountNotRunButRan    Count = "not_run_but_ran"
	CountWrongAnswer     Count = "wrong_answer"
	CountCutOff          Count = "cut_off"
	CountDoubleOwner     Count = "double_owner"
	CountLostAssignments Count = "lost_assignments"
	CountConfigReverted  Count = "config_reverted"
	CountLateToDrained   Count = "late_to_drained"
)

// Violation is one case of a broken guarantee.
type Violation struct {
	Count   Count  `json:"count"`
	Service string `json:"service,omitempty"`
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	Server  string `json:"server,omitempty"`
	// AtNs is on the machine's monotonic clock.
	AtNs   int64  `json:"at_ns,omitempty"`
	Detail string `json:"detail"`
}

// Summary counts what a run did and which guarantees it broke.
type Summary struct {
	// Requests are logical requests; each is Answered, NotRun or Unknown.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Attempts and Executions are what the counts rest on.
	Attempts   int `json:"attempts"`
	Executions int `json:"executions"`
	// UntracedExecutions reached a back end without HeaderAttempt. For them the
	// check of not_run goes by the logical request alone.
	UntracedExecutions int `json:"untraced_executions"`
	// Refusals are the requests that back ends refused.
	Refusals int `json:"refusals"`

	RanTwice        int `json:"ran_twice"`
	NotRunButRan    int `json:"not_run_but_ran"`
	WrongAnswer     int `json:"wrong_answer"`
	CutOff          int `json:"cut_off"`
	DoubleOwner     int `json:"double_owner"`
	LostAssignments int `json:"lost_assignments"`
	ConfigReverted  int `json:"config_reverted"`
	LateToDrained   int `json:"late_to_drained"`

	// FinishedAfterLease counts executions that began under a lease and
	// finished after its end, as those of a frozen server do. It is told, not
	// judged: the effect took place at the start.
	FinishedAfterLease int `json:"finished_after_lease"`
	// MaxUnavailableMs is the longest outage of any service, and
	// MaxKeyUnavailableMs that of any one key; see Outage.
	MaxUnavailableMs    float64 `json:"max_unavailable_ms"`
	MaxKeyUnavailableMs float64 `json:"max_key_unavailable_ms"`
	// OK is true when every guarantee held and requests were made.
	OK bool `json:"ok"`
}

// add counts a violation.
func (s *Summary) add(count Count) {
	switch count {
	case CountRanTwice:
		s.RanTwice++
	case CountNotRunButRan:
		s.NotRunButRan++
	case CountWrongAnswer:
		s.WrongAnswer++
	case CountCutOff:
		s.CutOff++
	case CountDoubleOwner:
		s.DoubleOwner++
	case CountLostAssignments:
		s.LostAssignments++
	case CountConfigReverted:
		s.ConfigReverted++
	case CountLateToDrained:
		s.LateToDrained++
	}
}
