package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestEveryKindIsOnTheOperatorsPage checks that the page documents the status,
// outcome and Retry-After of every kind as in the answer table, and that the
// router resends only requests that are proved not to have run.
func TestEveryKindIsOnTheOperatorsPage(t *testing.T) {
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, kind := range Kinds() {
		answer := AnswerFor(kind)
		wait := "no"
		if answer.RetryAfter > 0 {
			wait = fmt.Sprintf("%g s", answer.RetryAfter.Seconds())
		}
		row := fmt.Sprintf("\n| `%s` | %d | %s | %s |", kind, answer.Status, answer.Outcome, wait)
		if strings.Count(page, row) != 1 {
			t.Errorf("docs/OPERATIONS.md lacks the row %s", row[1:])
		}
		if answer.Resend && answer.Outcome != NotRun {
			t.Errorf("the router may resend after %s although its outcome is %s", kind, answer.Outcome)
		}
	}
	if rows := strings.Count(page, "| not_run |") + strings.Count(page, "| unknown |"); rows != len(Kinds()) {
		t.Errorf("docs/OPERATIONS.md has %d rows of errors for %d kinds", rows, len(Kinds()))
	}
	if AnswerFor("made_up") != AnswerFor(Internal) {
		t.Error("a kind outside the list is not answered as internal")
	}
}
