package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// releaseScenario releases the poison request after it was put in quarantine, while it is sent every 70 ms.
func releaseScenario(gateways int, holderGap time.Duration, rule countingRule, seed uint64) scenario {
	return scenario{
		rule: rule, gateways: gateways, servers: 24, poisonInterval: 70 * time.Millisecond, poisonBatch: 1,
		releaseAt: 10 * time.Second, holderGap: holderGap, duration: 20 * time.Second, random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// releaseSettings are the numbers of gateways and the times without a holder of the key after a crash.
var releaseSettings = []struct {
	gateways  int
	holderGap time.Duration
}{{2, 0}, {11, 0}, {300, 0}, {11, 800 * time.Millisecond}}

const releaseSeeds = 2

// crashesAfterRelease returns the numbers of crashes after the release under a rule: the largest and the total.
func crashesAfterRelease(rule countingRule, gateways int, holderGap time.Duration) (most, total int) {
	for seed := range uint64(releaseSeeds) {
		got := releaseScenario(gateways, holderGap, rule, seed).run()
		most, total = max(most, got.crashesAfterRelease), total+got.crashesAfterRelease
	}
	return most, total
}

// TestReleaseCostsOneInstance: a released request that still crashes its instances crashes exactly one more,
// whatever the number of gateways and however soon it could be sent again.
func TestReleaseCostsOneInstance(t *testing.T) {
	for _, setting := range releaseSettings {
		most, total := crashesAfterRelease(production, setting.gateways, setting.holderGap)
		if most != 1 || total != releaseSeeds {
			t.Errorf("%d gateways, no holder for %s: %d crashes in %d releases, %d at most",
				setting.gateways, setting.holderGap, total, releaseSeeds, most)
		}
	}
}

// TestModelCatchesSendsOnProbation: without trials a release must cost more than one instance, whether or not
// the leader waits after the crash, and also if the gateway that met the crash holds the request back.
func TestModelCatchesSendsOnProbation(t *testing.T) {
	for name, rule := range map[string]countingRule{
		"the leader waits": sendOnProbation, "the leader does not wait": blockAtFirstCrash, "held back locally": holdBackLocally,
	} {
		worst := 0
		for _, setting := range releaseSettings {
			most, total := crashesAfterRelease(rule, setting.gateways, setting.holderGap)
			t.Logf("%s, %d gateways, no holder for %s: %d crashes in %d releases, %d at most", name, setting.gateways, setting.holderGap, total, releaseSeeds, most)
			worst = max(worst, most)
		}
		if worst <= 1 {
			t.Errorf("%s: %d crash at most after a release: the model does not detect this", name, worst)
		}
	}
}

// TestHarmlessReleasedRequestIsCleared: a released request that crashes no instance any more is answered soon, and
// then all gateways send it freely.
func TestHarmlessReleasedRequestIsCleared(t *testing.T) {
	const soon = time.Second
	for _, gateways := range []int{2, 11, 300} {
		for seed := range uint64(releaseSeeds) {
			s := releaseScenario(gateways, 0, production, seed)
			s.mendAt = s.releaseAt
			got := s.run()
			name := fmt.Sprintf("%d gateways, seed %d", gateways, seed)
			t.Logf("%s: answered after %s, cleared after %s", name, got.answeredAfter, got.clearedAfter)
			if got.answeredAfter == 0 || got.answeredAfter > soon || got.clearedAfter == 0 || got.clearedAfter > soon {
				t.Errorf("%s: answered after %s, sent freely by all after %s, want %s at most", name, got.answeredAfter, got.clearedAfter, soon)
			}
		}
	}
}

// unprovedScenario releases the poison request while gateways cannot prove crashes, as when machines are lost together
// with their servers.
func unprovedScenario(gateways int, away time.Duration, rule countingRule, seed uint64) scenario {
	s := releaseScenario(gateways, 0, rule, seed)
	s.unproved, s.away, s.duration = true, away, 40*time.Second
	return s
}

// unprovedAways are the times until a restart: before and after the lease of the instance has ended, and never.
var unprovedAways = []time.Duration{time.Second, 12 * time.Second, time.Hour}

// TestReleaseCostsOneInstanceWithoutProofs: a released request crashes one more instance although no gateway can prove
// that, whenever the instance comes back.
func TestReleaseCostsOneInstanceWithoutProofs(t *testing.T) {
	for _, gateways := range []int{2, 11, 300} {
		for _, away := range unprovedAways {
			for seed := range uint64(releaseSeeds) {
				got := unprovedScenario(gateways, away, production, seed).run()
				if got.crashesAfterRelease != 1 || !got.quarantinedAgain {
					t.Errorf("%d gateways, back after %s, seed %d: %d crashes, quarantined %t",
						gateways, away, seed, got.crashesAfterRelease, got.quarantinedAgain)
				}
			}
		}
	}
}

// TestModelCatchesLostTrialsThatEndByTime: if a lost trial ends because time has passed, a release must cost several
// instances, however long that time is.
func TestModelCatchesLostTrialsThatEndByTime(t *testing.T) {
	for name, rule := range map[string]countingRule{"after 5 s": endLostTrials, "after 15 s": endLostTrialsLater} {
		worst := 0
		for _, away := range unprovedAways {
			for seed := range uint64(releaseSeeds) {
				got := unprovedScenario(11, away, rule, seed).run()
				t.Logf("%s, back after %s, seed %d: %d crashes in 30 s", name, away, seed, got.crashesAfterRelease)
				worst = max(worst, got.crashesAfterRelease)
			}
		}
		if worst <= 1 {
			t.Errorf("%s: %d crash at most: the model does not detect this", name, worst)
		}
	}
}

// TestHarmlessReleasedRequestBesideLostConnections: a released request that crashes no instance any more is never in
// quarantine again because connections to living servers are lost, and is sent freely soon after that has ended.
func TestHarmlessReleasedRequestBesideLostConnections(t *testing.T) {
	const (
		lossy = 3 * time.Second
		soon  = lateHeartbeatMargin + 2*heartbeatTime
	)
	blamed := 0
	for _, gateways := range []int{2, 11, 300} {
		for seed := range uint64(5 * releaseSeeds) {
			for _, rule := range []countingRule{production, blameLostTrials} {
				s := releaseScenario(gateways, 0, rule, seed)
				s.mendAt, s.lossUntil, s.duration = s.releaseAt, s.releaseAt+lossy, 30*time.Second
				got := s.run()
				t.Logf("%d gateways, seed %d, rule %d: sent freely after %s, quarantined %t", gateways, seed, rule, got.clearedAfter, got.quarantinedAgain)
				if rule == blameLostTrials {
					if got.quarantinedAgain {
						blamed++
					}
					continue
				}
				if got.quarantinedAgain || got.clearedAfter == 0 || got.clearedAfter > lossy+soon {
					t.Errorf("%d gateways, seed %d: sent freely after %s, quarantined %t", gateways, seed, got.clearedAfter, got.quarantinedAgain)
				}
			}
		}
	}
	if blamed == 0 {
		t.Error("no harmless request is in quarantine though each lost trial is taken for a crash: the model does not detect this")
	}
}
