package controller

import (
	"context"
	"os"
	"slices"
	"testing"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// TestAcknowledgedChangesSurvive runs a group through hundreds of changes, a planned stop of its leader, a
// restart of all controllers, and the loss of a data directory followed immediately by the loss of a second
// machine.
func TestAcknowledgedChangesSurvive(t *testing.T) {
	g := newGroup(t)
	count := 0
	create := func(more int) {
		t.Helper()
		for range more {
			g.create(serviceName(count))
			count++
		}
	}
	create(100) // 200 log entries
	g.waitCaughtUp()
	for _, p := range g.processes {
		if taken, _ := p.logged(telemetry.EventSnapshotTaken); taken < 5 {
			t.Errorf("%s took %d snapshots", p.settings.Name, taken)
		}
	}

	first := g.leader()
	g.stop(first)
	if transfers, _ := g.processes[first].logged(telemetry.EventLeaderTransferred); transfers != 1 {
		t.Errorf("the stopping leader transferred leadership %d times, want 1", transfers)
	}
	create(50) // far more than the log that the others keep
	g.start(first)
	g.waitCaughtUp()
	g.wantServices(count)

	for number := range g.processes {
		g.stop(number)
	}
	for number := range g.processes {
		g.start(number)
	}
	g.wantServices(count)
	for _, p := range g.processes {
		_, recovered := p.logged(telemetry.EventRecovered)
		if entries := recovered.Data["entries"].(int); entries > 4*snapshotEntries {
			t.Errorf("%s replays %d entries after the snapshot at %v", p.settings.Name, entries, recovered.Data["index"])
		}
	}
	again, err := g.client.Plan(g.context(), creation(serviceName(0)))
	if err != nil || again.Status != state.PlanConfirmed {
		t.Errorf("resent intent after the restart: %+v, %v", again, err)
	}

	lost := g.follower()
	before := g.member(lost)
	g.stop(lost)
	if err := os.RemoveAll(g.processes[lost].settings.DataDirectory); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	g.eventually("the lost replica is replaced", func() bool {
		now, known := g.find(lost)
		return known && now.ID != before.ID && !now.Learner
	})
	if _, joined := g.processes[lost].logged(telemetry.EventGroupJoined); joined.Data["founder"] != false {
		t.Errorf("the replacement was logged as a founder: %v", joined.Data)
	}
	members, err := g.client.Members(g.context())
	if err != nil || len(members) != groupSize || slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == before.ID }) {
		t.Errorf("members after the replacement: %+v, %v", members, err)
	}
	g.stop((lost + 1) % groupSize)
	create(1)
	g.wantServices(count)
}

// find returns the member with the name of a controller.
func (g *group) find(number int) (consensus.Member, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	members, err := g.client.Members(ctx)
	if err != nil {
		return consensus.Member{}, false
	}
	position := slices.IndexFunc(members, func(m consensus.Member) bool { return m.Name == g.processes[number].settings.Name })
	if position < 0 {
		return consensus.Member{}, false
	}
	return members[position], true
}

func (g *group) member(number int) consensus.Member {
	g.t.Helper()
	member, known := g.find(number)
	if !known {
		g.t.Fatalf("%s is not a member", g.processes[number].settings.Name)
	}
	return member
}
