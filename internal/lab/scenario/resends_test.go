package scenario

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// TestRunWithoutResendsProvesNothing plants pairs of attempts that are no resend
// of the wanted kind beside one that is.
func TestRunWithoutResendsProvesNothing(t *testing.T) {
	attempt := func(router string, sent, received time.Duration, outcome fault.Outcome) record.Attempt {
		made := attemptAt(sent, received, outcome)
		made.Request, made.Router, made.Key = "request", router, "key"
		return made
	}
	lost := attempt("first", time.Second, 2*time.Second, fault.Unknown)
	lost.Transport = record.TransportLost
	repeatable := attempt("second", 3*time.Second, 4*time.Second, fault.Completed)
	repeatable.Repeatable = true
	moved := afterMove("key", (2500 * time.Millisecond).Nanoseconds())
	tests := []struct {
		name           string
		earlier, later record.Attempt
		selects        func(earlier, later record.Attempt) bool
		want           int
	}{
		{"running", attempt("first", 1, 9, fault.Completed), attempt("second", 5, 9, fault.Completed), whileRunning, 1},
		{"ended before", attempt("first", 1, 4, fault.Completed), attempt("second", 5, 9, fault.Completed), whileRunning, 0},
		{"same router", attempt("first", 1, 9, fault.Completed), attempt("first", 5, 9, fault.Completed), whileRunning, 0},
		{"router died", lost, attempt("second", 3*time.Second, 4*time.Second, fault.Unknown), afterLossOf("first"), 1},
		{"another router died", lost, attempt("second", 3*time.Second, 4*time.Second, fault.Unknown), afterLossOf("second"), 0},
		{"after the move", lost, attempt("second", 3*time.Second, 4*time.Second, fault.Unknown), moved, 1},
		{"before the move", lost, attempt("second", 2200*time.Millisecond, 4*time.Second, fault.Unknown), moved, 0},
		{"may be repeated", lost, repeatable, moved, 0},
	}
	for _, test := range tests {
		if got := resent([]record.Attempt{test.earlier, test.later}, test.selects); got != test.want {
			t.Errorf("%s: %d resends, want %d", test.name, got, test.want)
		}
	}
}
