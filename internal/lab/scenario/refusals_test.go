package scenario

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

// TestLateOrSilentRefusalIsCaught plants attempts that were not refused at once
// with Retry-After.
func TestLateOrSilentRefusalIsCaught(t *testing.T) {
	within := span{from: time.Second, to: 10 * time.Second}
	refusal := func(lasting time.Duration, retryAfterMs int64) record.Attempt {
		refused := attemptAt(2*time.Second, 2*time.Second+lasting, fault.NotRun)
		refused.Service, refused.ErrorKind, refused.RetryAfterMs = string(keyedService), fault.NoOwner, retryAfterMs
		return refused
	}
	lost := refusal(time.Second, 1000)
	lost.Transport = record.TransportLost
	other := refusal(patientTimeout, 0)
	other.Service = "other"
	tests := []struct {
		name    string
		planted record.Attempt
		late    bool
		silent  int
	}{
		{"in time, with advice", refusal(time.Second, 1000), false, 0},
		{"late", refusal(patientTimeout, 1000), true, 0},
		{"without advice", refusal(time.Second, 0), false, 1},
		{"connection lost", lost, false, 1},
		{"another service", other, false, 0},
	}
	for _, test := range tests {
		failed := givenUp([]record.Attempt{test.planted}, within, keyedService)
		if late := longestRefusal(failed) > refusalLimit; late != test.late {
			t.Errorf("%s: late is %t, want %t", test.name, late, test.late)
		}
		if silent := withoutAdvice(failed); silent != test.silent {
			t.Errorf("%s: %d without advice, want %d", test.name, silent, test.silent)
		}
	}
}
