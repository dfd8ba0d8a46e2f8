package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTenantFarBelowItsLimitPassesWhenTheLeaderFallsSilent checks that a request that waited
// for the leader without an answer may use the tokens that its gateway accrued since the leader fell silent, and
// that this does not exceed the gateway's part of a small limit.
func TestTenantFarBelowItsLimitPassesWhenTheLeaderFallsSilent(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want Verdict
	}{{1000, Taken}, {2, Rejected}} {
		a := NewAccounts(TenantPolicy(), rand.Float64)
		tenant := Subject{Name: "t", Limit: Limit{Rate: c.rate, Burst: c.rate}, Gateways: 2}
		now := 10 * time.Second
		a.Answered(now, nil)
		now += 2 * advanceWindow
		if verdict, _ := a.Arrive(now, tenant, false); verdict != Wait {
			t.Fatalf("limit %g: verdict %v for a request without a token, want Wait", c.rate, verdict)
		}
		a.AddWaiting(now, tenant, 1)
		a.Asks(now)
		since := now
		now += AnswerTime
		if verdict, _ := a.GiveUp(now, tenant, since); verdict != c.want {
			t.Errorf("limit %g: verdict %v after the leader was silent for %s, want %v", c.rate, verdict, AnswerTime, c.want)
		}
	}
}
