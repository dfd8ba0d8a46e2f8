package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// The tests of this file lose trials of a released request without a proof of a crash at the gateway.

// trialInstance is the instance at which trials are lost.
const trialInstance = directory.InstanceID("trial")

// heartbeatsAt reports the state of an instance that is alive and was heard last some time after a loss.
func heartbeatsAt(lostAt, after time.Duration) InstanceState {
	return InstanceState{HeardAt: lostAt + after}
}

// loseUnproved makes a gateway lose a trial of the released request, and returns when.
func (b *orderBench) loseUnproved(g *Guard) time.Duration {
	b.t.Helper()
	b.endLostTrial(g, b.grantTrial(g), trialInstance)
	lostAt := b.now
	b.tell(g)
	b.decide()
	return lostAt
}

// observe tells the leader the state of an instance at each tick until some time has passed.
func (b *orderBench) observe(length time.Duration, state InstanceState) {
	b.t.Helper()
	for end := b.now + length; b.now <= end; b.wait(decisionTick) {
		b.ledger.HandleInstance(b.now, trialInstance, state)
		b.decide()
	}
}

// maySendNext reports whether a gateway is granted a trial.
func (b *orderBench) maySendNext(g *Guard) bool {
	b.t.Helper()
	b.update(g)
	number, opened := g.Ask(poison, b.now+time.Second, b.now+time.Second)
	if !opened {
		return false
	}
	b.tell(g)
	b.decide()
	b.update(g)
	granted := g.TakeTrial(b.now, poison, number)
	g.EndAsk(b.now, poison, number)
	if report, found := g.Report(b.now); found {
		b.handle(g, report)
		b.decide()
	}
	return granted
}

// fate is what a lost trial ends with.
type fate int

const (
	pending fate = iota
	quarantined
	nextTrial
)

// TestLostTrialIsDecidedByItsInstance guards against two crashes after a release in place of one: a trial that was lost
// without a proof of a crash must not end because time passes, but by what is heard of its instance.
func TestLostTrialIsDecidedByItsInstance(t *testing.T) {
	const long = time.Hour
	for name, c := range map[string]struct {
		state func(lostAt time.Duration) InstanceState
		after time.Duration
		want  fate
	}{
		"nothing is known":          {func(time.Duration) InstanceState { return InstanceState{} }, long, pending},
		"a heartbeat from before":   {func(at time.Duration) InstanceState { return heartbeatsAt(at, -time.Second) }, long, pending},
		"a heartbeat that was late": {func(at time.Duration) InstanceState { return heartbeatsAt(at, lateHeartbeatMargin) }, long, pending},
		"a heartbeat from after":    {func(at time.Duration) InstanceState { return heartbeatsAt(at, lateHeartbeatMargin+1) }, lateHeartbeatMargin, nextTrial},
		"replaced":                  {func(time.Duration) InstanceState { return InstanceState{Ended: true, Leaving: true} }, gracePeriod, quarantined},
		"replaced after a heartbeat that was late": {func(at time.Duration) InstanceState {
			return InstanceState{Ended: true, HeardAt: at + time.Second}
		}, gracePeriod, quarantined},
		"the lease ended a second ago": {func(time.Duration) InstanceState { return InstanceState{LeaseExpired: true} }, time.Second, pending},
		"the lease ended": {func(time.Duration) InstanceState { return InstanceState{LeaseExpired: true} },
			lateHeartbeatMargin + gracePeriod + decisionTick, quarantined},
		"left as announced": {func(time.Duration) InstanceState { return InstanceState{Leaving: true} },
			lateHeartbeatMargin + decisionTick, nextTrial},
	} {
		t.Run(name, func(t *testing.T) {
			b, first, second := newReleasedBench(t, false)
			b.decide()
			lostAt := b.loseUnproved(first)
			b.observe(c.after+decisionTick, c.state(lostAt))
			suspect, _ := b.directory.Suspect(poison)
			if suspect.Quarantined != (c.want == quarantined) {
				t.Errorf("in quarantine: %t", suspect.Quarantined)
			}
			for _, g := range []*Guard{first, second} {
				if got := b.maySendNext(g); got != (c.want == nextTrial) {
					t.Errorf("%s gets a trial: %t", g.process, got)
				}
			}
		})
	}
}

// TestLostTrialOutlastsItsGatewayAndLeader: the next leader knows of a lost trial by the directory, although the gateway
// that lost it has ended.
func TestLostTrialOutlastsItsGatewayAndLeader(t *testing.T) {
	for name, c := range map[string]struct {
		state InstanceState
		want  fate
	}{
		"nothing is known": {InstanceState{}, pending},
		"replaced":         {InstanceState{Ended: true}, quarantined},
		"the lease ended":  {InstanceState{LeaseExpired: true}, quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			b, first, second := newReleasedBench(t, false)
			b.decide()
			b.loseUnproved(first)
			b.newLeader()
			b.decide()
			if awaited := b.ledger.AwaitedInstances(); !slices.Equal(awaited, []directory.InstanceID{trialInstance}) {
				t.Errorf("the next leader waits for news of %v", awaited)
			}
			b.observe(time.Minute, c.state)
			if suspect, _ := b.directory.Suspect(poison); suspect.Quarantined != (c.want == quarantined) {
				t.Errorf("in quarantine: %t", suspect.Quarantined)
			}
			if b.maySendNext(second) {
				t.Error("the request is sent once more")
			}
		})
	}
}

// TestLostTrialOfARestartedGateway: a gateway that lost a trial, reported it and restarted asks anew, which must not end
// the lost trial.
func TestLostTrialOfARestartedGateway(t *testing.T) {
	b, first, _ := newReleasedBench(t, false)
	b.decide()
	b.loseUnproved(first)
	restarted := NewGuard(first.process, 3)
	restarted.StartAsksAfter(1000)
	b.update(restarted)
	for range 3 {
		if b.maySendNext(restarted) {
			t.Fatal("the restarted gateway sends the request while the trial is not decided")
		}
		b.decideFor(time.Second)
	}
}

// TestLostTrialIsProvedLate: a crash that the gateway proves after more than 5 s counts as that of the trial.
func TestLostTrialIsProvedLate(t *testing.T) {
	b, first, _ := newReleasedBench(t, false)
	b.decide()
	number := b.grantTrial(first)
	loss := b.endLostTrial(first, number, trialInstance)
	b.tell(first)
	b.decideFor(2 * confirmTimeout)
	first.Crashed(b.now, []Loss{loss})
	b.tell(first)
	b.decideFor(gracePeriod + decisionTick)
	b.expectQuarantine(poison, "the gateway proved the crash of the trial")
}

// TestSuspendedInstanceEndsTheQuarantine: a request that is in quarantine since the lease of its instance ended gets a
// trial again once that instance is heard, which was suspended and did not crash.
func TestSuspendedInstanceEndsTheQuarantine(t *testing.T) {
	b, first, second := newReleasedBench(t, false)
	b.decide()
	b.loseUnproved(first)
	b.observe(lateHeartbeatMargin+2*time.Second, InstanceState{LeaseExpired: true})
	b.expectQuarantine(poison, "the lease of its instance ended")
	b.ledger.HandleHeartbeat(b.now, trialInstance, b.now)
	b.decide()
	b.expectNoQuarantine(poison, "its instance is alive")
	if !b.maySendNext(second) {
		t.Error("no trial is granted")
	}
}

// TestLostTrialIsNotForgotten: a request whose trial is not decided must not be sent freely, however long that takes.
func TestLostTrialIsNotForgotten(t *testing.T) {
	b, first, second := newReleasedBench(t, false)
	b.decide()
	b.loseUnproved(first)
	for range 3 {
		b.wait(b.ledger.config.SuspectTime)
		b.decide()
		b.update(second)
		if got := second.Check(b.now, poison, noAsk); got != Hold {
			t.Fatalf("verdict %d", got)
		}
	}
}

// TestNothingWaitsForALostTrial: while a lost trial is not decided the request is held by the gateway that lost it, and
// by the others as soon as the directory tells; afterwards it may wait for a trial again.
func TestNothingWaitsForALostTrial(t *testing.T) {
	b, first, second := newReleasedBench(t, false)
	b.decide()
	b.endLostTrial(first, b.grantTrial(first), trialInstance)
	lostAt := b.now
	if got := first.Check(b.now, poison, noAsk); got != Hold {
		t.Errorf("verdict %d at the gateway that lost the trial", got)
	}
	b.tell(first)
	b.decide()
	for _, g := range []*Guard{first, second} {
		b.update(g)
		if got := g.Check(b.now, poison, noAsk); got != Hold {
			t.Errorf("verdict %d at %s", got, g.process)
		}
	}
	b.wait(2 * lateHeartbeatMargin)
	b.ledger.HandleInstance(b.now, trialInstance, heartbeatsAt(lostAt, 2*lateHeartbeatMargin))
	b.decide()
	for _, g := range []*Guard{first, second} {
		b.update(g)
		if got := g.Check(b.now, poison, noAsk); got != Wait {
			t.Errorf("verdict %d at %s after the end of the trial", got, g.process)
		}
	}
}
