package controller

import (
	"context"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/quota"
	"github.com/thorntiller/thorntiller/internal/state"
)

// steppedClock is a clock that the test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) Now() time.Duration { return c.now }

// TestFirstAskFindsTheTokensOfTheTerm guards against token buckets that are empty at the first request for
// tokens although the replica has led for a long time. A tenant that used 2 of its 1,000 requests per second
// was occasionally rejected next to other load: its bucket began to fill at the first request for tokens
// instead of at the start of the leadership. The leader answered that no token was available for 1 ms; the
// next request for tokens came 50 ms later, and its answer arrived too late for the call, which was given up
// after 150 ms:
//
//	SHORT tenant-b want 2 got 0 term for 0 bucket -835 out 0
//	GIVEUP tenant-b short over for 87 answered ago 89 asked ago 90 tokens 0
//
// Buckets now fill from the time when the replica began to lead.
func TestFirstAskFindsTheTokensOfTheTerm(t *testing.T) {
	const since, want = 3 * time.Second, 5
	clock := &steppedClock{now: since}
	manager := newQuotaManager(config.Quota{}, clock, func(func(*state.State)) {}, func() time.Duration { return since })
	clock.now = since + 2*time.Second
	report := &message.DemandReport{Instances: []quota.Ask{{Subject: "view-1", Rate: 100, Want: want, Urgency: quota.MostUrgent}}}
	answer := manager.handleReport(context.Background(), "front-1", report)
	if len(answer.Instances) != 1 || answer.Instances[0].Tokens != want {
		t.Errorf("granted %+v, want %d tokens: the term began 2 s ago", answer.Instances, want)
	}
	nextTerm, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock.now = since
	if answer := manager.handleReport(nextTerm, "front-1", report); answer.Instances[0].Tokens != 0 {
		t.Errorf("granted %+v at the beginning of a term, want none", answer.Instances)
	}
}
