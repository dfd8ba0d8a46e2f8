package coordinator

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/backendapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

const millisecond = time.Millisecond

var testConfig = Config{
	LeaseDuration: 700 * millisecond, RenewInterval: 150 * millisecond, ClockRateBound: 0.01,
	Margin: 20 * millisecond, RoundInterval: 20 * millisecond, MaxBatch: 64,
}

// waitOut is how long a lease must be waited out.
const waitOut = 727 * millisecond

// bench drives a coordinator over a state machine without a log: proposals are
// applied as soon as they are made.
type bench struct {
	t     *testing.T
	now   time.Duration
	index uint64
	view  *state.State
	core  *Coordinator
	// confirm answers quorum rounds at once.
	confirm bool
	sends   []Send
	closed  []time.Duration
	// silent servers answer nothing; others answer as incarnation.
	silent      map[state.ServerID]bool
	incarnation map[state.ServerID]string
	// roundDelay, if set, is how long after its begin a quorum round is
	// confirmed.
	roundDelay time.Duration
	roundAt    time.Duration
	round      uint64
	// running is what a server reports as still running.
	running map[state.ServerID][]backendapi.Assignment
	version map[state.ServerID]uint64
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, view: state.New(), core: New(testConfig), confirm: true, silent: map[state.ServerID]bool{},
		incarnation: map[state.ServerID]string{"a": "a1", "b": "b1"}, running: map[state.ServerID][]backendapi.Assignment{},
		version: map[state.ServerID]uint64{},
	}
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true, MaxMoves: 2}}}
	for _, id := range []state.ServerID{"a", "b"} {
		operations = append(operations, state.Operation{PutServer: &state.Server{ID: id, Service: "s", Intent: state.ServerActive}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: 8}})
	b.confirmPlan("create", operations...)
	b.core.Lead(b.now, 1, b.view)
	return b
}

func (b *bench) apply(command state.Command) {
	b.index++
	result := b.view.Apply(b.index, command)
	b.core.Changed(b.now, result.Changed)
	if command.CloseSession != nil && result.Err == nil {
		b.closed = append(b.closed, b.now)
	}
	if command.CloseSessions != nil {
		for range command.CloseSessions.Sessions {
			b.closed = append(b.closed, b.now)
		}
	}
}

func (b *bench) confirmPlan(id state.PlanID, operations ...state.Operation) {
	b.apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: id, Operations: operations}}})
	b.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: id}})
}

// run ticks for a while.
func (b *bench) run(duration time.Duration) {
	for end := b.now + duration; b.now < end; b.now += 10 * millisecond {
		actions := b.core.Tick(b.now, b.view)
		if b.round != 0 && b.now >= b.roundAt {
			b.core.RoundConfirmed(b.now, b.round)
			b.round = 0
		}
		if actions.Round != 0 && b.roundDelay > 0 {
			b.round, b.roundAt = actions.Round, b.now+b.roundDelay
		} else if actions.Round != 0 && b.confirm {
			b.core.RoundConfirmed(b.now, actions.Round)
		}
		for _, proposal := range actions.Proposals {
			b.apply(proposal.Command)
			b.core.ProposalDone(proposal.Token)
		}
		for _, send := range actions.Sends {
			b.deliver(send)
		}
	}
}

func (b *bench) deliver(send Send) {
	b.sends = append(b.sends, send)
	if b.silent[send.Server] {
		b.core.Failed(send.Server, send.Request.Fence.Sequence)
		return
	}
	incarnation := b.incarnation[send.Server]
	if send.Request.Incarnation == incarnation {
		b.version[send.Server] = send.Request.Version
	}
	b.core.Answered(b.now, send.Server, send.Request.Fence.Sequence, backendapi.LeaseAnswer{
		Server: string(send.Server), Incarnation: incarnation, ClockNs: int64(b.now), Accepted: true,
		Session: send.Request.Session, Version: b.version[send.Server], Running: b.running[send.Server],
	})
}

func (b *bench) renewals(server state.ServerID) int {
	count := 0
	for _, send := range b.sends {
		if send.Server == server && send.Request.ReadingNs != 0 {
			count++
		}
	}
	return count
}

func (b *bench) ownedBy(server state.ServerID) int { return b.view.OwnedCount(server) }

func TestServersGetSessionsAndShards(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	if b.ownedBy("a") != 4 || b.ownedBy("b") != 4 {
		t.Fatalf("shards are spread %d and %d", b.ownedBy("a"), b.ownedBy("b"))
	}
	if b.renewals("a") < 5 {
		t.Errorf("only %d renewals in a second", b.renewals("a"))
	}
}

func TestNoRenewalWithoutQuorumAfterTheReading(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.confirm = false
	b.run(200 * millisecond)
	before := b.renewals("a")
	b.run(time.Second)
	if b.renewals("a") != before {
		t.Errorf("%d renewals rest on readings that no quorum round followed", b.renewals("a")-before)
	}
}

func TestLeaseIsWaitedOut(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.silent["a"] = true
	last := b.core.contacts["a"].renewedAt
	b.run(2 * time.Second)
	last = max(last, b.core.contacts["a"].renewedAt)
	if len(b.closed) != 1 || b.closed[0] <= last+waitOut {
		t.Fatalf("last renewal at %v, session closed at %v", last, b.closed)
	}
	if b.ownedBy("b") != 8 {
		t.Errorf("the other server owns %d of 8 shards", b.ownedBy("b"))
	}
}

// TestLossIsNoticedOnce: the first time that a lease of a session runs out, no
// further renewal interval passes before the session is closed.
func TestLossIsNoticedOnce(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.silent["a"] = true
	latest := b.core.contacts["a"].readingAt + waitOut + 20*millisecond
	b.run(2 * time.Second)
	if len(b.closed) != 1 || b.closed[0] > latest {
		t.Errorf("session closed at %v, want by %v", b.closed, latest)
	}
}

// TestSlowRoundsDoNotStarveLeases: with controllers in regions far apart a
// reading waits for the round under way and then for its own, longer than a
// renewal interval. A probe must not replace it by a newer one meanwhile.
func TestSlowRoundsDoNotStarveLeases(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.roundDelay = 200 * millisecond
	before := b.renewals("a")
	b.run(10 * time.Second)
	if len(b.closed) != 0 {
		t.Errorf("sessions of servers that answer were closed at %v", b.closed)
	}
	if renewed := b.renewals("a") - before; renewed < 20 {
		t.Errorf("%d renewals in 10 s", renewed)
	}
}

// TestFirstShardsAreSpreadOverEveryServer: the first server to answer does not
// get all shards of a new service, and a server that never does holds them up
// for a bounded time only.
func TestFirstShardsAreSpreadOverEveryServer(t *testing.T) {
	b := newBench(t)
	b.silent["b"] = true
	b.run(time.Second / 2)
	if owned := b.ownedBy("a"); owned != 0 {
		t.Errorf("the first server was given %d shards before the other answered", owned)
	}
	b.silent["b"] = false
	b.run(time.Second / 2)
	if b.ownedBy("a") != 4 || b.ownedBy("b") != 4 {
		t.Errorf("shards are spread %d and %d", b.ownedBy("a"), b.ownedBy("b"))
	}
	b = newBench(t)
	b.silent["b"] = true
	b.run(time.Second + time.Second)
	if owned := b.ownedBy("a"); owned != 8 {
		t.Errorf("the only server that answers owns %d of 8 shards", owned)
	}
}

func TestNewLeaderWaitsAFullLease(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.silent["a"] = true
	b.core.Follow()
	b.run(5 * time.Second)
	led := b.now
	b.core.Lead(b.now, 2, b.view)
	b.run(2 * time.Second)
	if len(b.closed) != 1 || b.closed[0] <= led+waitOut {
		t.Errorf("leads since %v, closed a session at %v", led, b.closed)
	}
}

// TestNewLeaderCountsTheQuietTime: the time without a quorum round of an earlier
// leader shortens the wait for a silent server, less the clock rate bound. It does
// not for one that answers but can't be renewed yet, nor in a later term.
func TestNewLeaderCountsTheQuietTime(t *testing.T) {
	const quiet = 300 * millisecond
	cases := map[string]struct {
		silent, ledBefore bool
		earlier           time.Duration
	}{
		"silent":                  {silent: true, earlier: quiet * 99 / 100},
		"answers":                 {},
		"silent, quiet last term": {silent: true, ledBefore: true},
	}
	for name, step := range cases {
		b := newBench(t)
		b.run(time.Second)
		b.silent["a"], b.silent["b"] = step.silent, step.silent
		b.confirm = false
		b.core.Lead(b.now, 2, b.view)
		b.core.SetQuietTime(quiet)
		if step.ledBefore {
			b.core.Lead(b.now, 3, b.view)
		}
		due := b.now + waitOut - step.earlier
		b.run(time.Second)
		if len(b.closed) != 2 || b.closed[0] <= due || b.closed[0] > due+20*millisecond {
			t.Errorf("%s: sessions were closed at %v, due at %v", name, b.closed, due)
		}
	}
}

func TestNewProcessIsNotRenewedUnderTheOldSession(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.incarnation["a"] = "a2"
	before := len(b.sends)
	b.run(2 * time.Second)
	for _, send := range b.sends[before:] {
		if send.Server == "a" && send.Request.Incarnation == "a2" && send.Request.Session == 1 {
			t.Fatal("a new process was given the lease of the old one's session")
		}
	}
	if server, _ := b.view.Server("a"); server.Session.Number != 2 || !server.Session.Open {
		t.Errorf("the new process has no session of its own: %+v", server.Session)
	}
}

func TestPausedLeaderAsksAgainBeforeItClosesSessions(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.now += 5 * time.Second
	b.run(time.Second)
	if len(b.closed) != 0 {
		t.Errorf("sessions of servers that answer were closed at %v", b.closed)
	}
}

func TestRevokedShardWaitsForRunningRequests(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	shard := b.view.OwnedBy("a")[0]
	b.running["a"] = []backendapi.Assignment{{Shard: 99, First: shard.Range.Last, Last: shard.Range.Last}}
	b.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
	b.run(time.Second)
	if current, _ := b.view.Shard(shard.ID); current.Owner != "a" {
		t.Fatalf("released while a request of its range was running: %+v", current)
	}
	b.running["a"] = nil
	b.run(time.Second)
	if current, _ := b.view.Shard(shard.ID); current.Owner != "b" || current.Epoch != shard.Epoch+1 {
		t.Errorf("after the request ended: %+v", current)
	}
}

// TestMoveNeedsNoRenewInterval: whatever moment a move begins at, it waits for
// quorum rounds and messages, not for the next regular renewal.
func TestMoveNeedsNoRenewInterval(t *testing.T) {
	const bound = 80 * millisecond
	for phase := time.Duration(0); phase < testConfig.RenewInterval; phase += 10 * millisecond {
		b := newBench(t)
		b.run(time.Second + phase)
		shard := b.view.OwnedBy("a")[0]
		b.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
		began := b.now
		for b.now < began+time.Second {
			b.run(10 * millisecond)
			moved, _ := b.view.Shard(shard.ID)
			if moved.Owner == "b" && b.version["b"] >= uint64(moved.Revision) {
				break
			}
		}
		if took := b.now - began; took > bound {
			t.Errorf("a move that begins %v after a second takes %v", phase, took)
		}
	}
}

func TestRetiredServerGivesUpEverything(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	server, _ := b.view.Server("a")
	server.Intent = state.ServerRetiring
	b.confirmPlan("retire", state.Operation{PutServer: &server})
	b.run(4 * time.Second)
	if server, _ := b.view.Server("a"); server.Intent != state.ServerRetired || b.ownedBy("a") != 0 || server.Session.Open {
		t.Errorf("after the retirement: %+v owns %d", server, b.ownedBy("a"))
	}
	if b.ownedBy("b") != 8 {
		t.Errorf("the other server owns %d of 8 shards", b.ownedBy("b"))
	}
}

// A server that is gone is asked less and less often, and found again within
// the bound.
func TestLostServerIsAskedLessOften(t *testing.T) {
	b := newBench(t)
	b.run(time.Second)
	b.silent["a"] = true
	b.run(3 * time.Second)
	before := len(b.sends)
	b.run(6 * time.Second)
	asked := 0
	for _, send := range b.sends[before:] {
		if send.Server == "a" {
			asked++
		}
	}
	if asked < 4 || asked > 8 {
		t.Errorf("a lost server was asked %d times in 6 s", asked)
	}
	b.silent["a"] = false
	b.run(maxBackoff*testConfig.RenewInterval + 100*millisecond)
	if server, _ := b.view.Server("a"); !server.Session.Open {
		t.Error("the server came back and was not found")
	}
}
