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

// TestBurstsOfAllSendersKeepToTheSlack: when all gateways meet a failing service at the same time, their
// resends beyond the share stay within the slack of the fleet; also with twice as many gateways and twice
// the slack.
func TestBurstsOfAllSendersKeepToTheSlack(t *testing.T) {
	const maxBurst = 2
	for _, fleet := range []struct {
		senders int
		slack   float64
	}{{8, 56}, {500, 540}, {985, 1040}, {1970, 2080}} {
		sent := 0
		for range fleet.senders {
			budget := NewBudget(0, maxBurst)
			budget.SetBurst(BurstOf(fleet.slack, fleet.senders, maxBurst))
			for budget.TakeResend() {
				sent++
			}
		}
		if float64(sent) > fleet.slack || sent < fleet.senders {
			t.Errorf("%d senders: %d resends at once with a slack of %g", fleet.senders, sent, fleet.slack)
		}
	}
	if BurstOf(0, 985, maxBurst) != maxBurst || BurstOf(1040, 0, maxBurst) != maxBurst {
		t.Error("the burst is reduced although the slack or the number of senders is not known")
	}
}
