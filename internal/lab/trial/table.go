package trial

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table returns the result as a table for people.
func (r Result) Table() string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	row := func(name string, value any, meaning string) {
		fmt.Fprintf(writer, "%s\t%v\t%s\n", name, value, meaning)
	}
	row("requests", r.Requests, "logical requests that callers made")
	row("answered", r.Answered, "whole answers to the caller's own request")
	row("not_run", r.NotRun, "refused at the end, proved not to have run")
	row("unknown", r.Unknown, "ended with an open outcome")
	row("ran_twice", r.RanTwice, "requests that may not be repeated and ran twice")
	row("not_run_but_ran", r.NotRunButRan, "refused as not run, but a back end ran them")
	row("wrong_answer", r.WrongAnswer, "answers that were cut or another request's")
	row("cut_off", r.CutOff, "requests that a planned stop cut off")
	row("double_owner", r.DoubleOwner, "keys served by two owners at a time")
	row("lost_assignments", r.LostAssignments, "acknowledged assignments that were lost")
	row("config_reverted", r.ConfigReverted, "accepted configurations late or reverted")
	row("late_to_drained", r.LateToDrained, "new work on a leaving server after 5 s")
	row("max_unavailable_ms", fmt.Sprintf("%.0f", r.MaxUnavailableMs), "longest time without success of one service")
	row("ok", r.OK, "all of the above held")
	_ = writer.Flush() // a strings.Builder takes everything
	for _, line := range r.Exceeded {
		fmt.Fprintf(&text, "exceeded: %s\n", line)
	}
	for _, violation := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Fprintf(&text, "broken: %s %s %s %s: %s\n", violation.Count, violation.Service, violation.Server, violation.Request, violation.Detail)
	}
	return text.String()
}
