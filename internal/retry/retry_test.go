package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func TestBudgetBoundsResends(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	properties.Property("resends <= burst + ratio x fresh", prop.ForAll(func(events []bool, percent int) bool {
		const burst = 3
		ratio := float64(percent) / 100
		budget := NewBudget(ratio, burst)
		fresh, resends := 0, 0
		for _, isFresh := range events {
			if isFresh {
				budget.Fresh()
				fresh++
				continue
			}
			if budget.TakeResend() {
				resends++
			}
			if float64(resends) > burst+ratio*float64(fresh)+1e-6 {
				return false
			}
		}
		return true
	}, gen.SliceOfN(300, gen.Bool()), gen.IntRange(0, 100)))
	properties.Property("a used-up budget refills by the ratio", prop.ForAll(func(percent int) bool {
		budget := NewBudget(float64(percent)/100, 1)
		budget.TakeResend()
		refused := !budget.TakeResend()
		for range 100/percent + 1 {
			budget.Fresh()
		}
		return refused && budget.TakeResend()
	}, gen.IntRange(1, 100)))
	properties.TestingRun(t)
}

func TestAllowedOverAllKinds(t *testing.T) {
	repeatableOnly := map[fault.Kind]bool{fault.ConnectionLost: true, fault.AnswerTruncated: true, fault.AnswerMismatched: true}
	for _, kind := range fault.Kinds() {
		row := fault.AnswerFor(kind)
		if got := Allowed(kind, false); got != row.Resend || (got && row.Outcome != fault.NotRun) {
			t.Errorf("%s: resend of a request that may not be repeated: %v", kind, got)
		}
		if got := Allowed(kind, true); got != (row.Resend || repeatableOnly[kind]) {
			t.Errorf("%s: resend of a repeatable request: %v", kind, got)
		}
	}
}

func TestDelayDoublesWithinBounds(t *testing.T) {
	policy := Policy{MaxAttempts: 9, BaseDelay: 10 * time.Millisecond, MaxDelay: 35 * time.Millisecond}
	for attempts, longest := range map[int]time.Duration{1: 10, 2: 20, 3: 35, 9: 35} {
		longest *= time.Millisecond
		if low, high := policy.Delay(attempts, 0), policy.Delay(attempts, 0.999); low != longest/2 || high >= longest || high <= low {
			t.Errorf("after %d attempts: %s to %s, want %s to below %s", attempts, low, high, longest/2, longest)
		}
	}
}
