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

// leaseWait is how long a lease must be waited out: its duration stretched by the
// clock rate bound, and the margin.
const leaseWait = 727 * millisecond

// harness runs a coordinator on a state machine without a log: proposals are
// applied immediately.
type harness struct {
	t     *testing.T
	now   time.Duration
	index uint64
	view  *state.State
	core  *Coordinator
	// confirm makes quorum rounds succeed immediately.
	confirm  bool
	sends    []Send
	closedAt []time.Duration
	// silent servers do not answer; the others answer with their incarnation.
	silent      map[state.ServerID]bool
	incarnation map[state.ServerID]string
	// roundDelay, if set, is the time from the start of a quorum round to its
	// confirmation.
	roundDelay time.Duration
	roundAt    time.Duration
	round      uint64
	// running holds the ranges that a server reports as still executing requests.
	running map[state.ServerID][]backendapi.Assignment
	version map[state.ServerID]uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, view: state.New(), core: New(testConfig), confirm: true, silent: map[state.ServerID]bool{},
		incarnation: map[state.ServerID]string{"a": "a1", "b": "b1"}, running: map[state.ServerID][]backendapi.Assignment{},
		version: map[state.ServerID]uint64{},
	}
	operations := []state.Operation{{PutService: &state.Service{Name: "s", Keyed: true, MaxMoves: 2}}}
	for _, id := range []state.ServerID{"a", "b"} {
		operations = append(operations, state.Operation{PutServer: &state.Server{ID: id, Service: "s", Intent: state.ServerActive}})
	}
	operations = append(operations, state.Operation{CreateShards: &state.CreateShards{Service: "s", Count: 8}})
	h.confirmPlan("create", operations...)
	h.core.Lead(h.now, 1, h.view)
	return h
}

func (h *harness) apply(command state.Command) {
	h.index++
	result := h.view.Apply(h.index, command)
	h.core.Changed(h.now, result.Changed)
	if command.CloseSession != nil && result.Err == nil {
		h.closedAt = append(h.closedAt, h.now)
	}
	if command.CloseSessions != nil {
		for range command.CloseSessions.Sessions {
			h.closedAt = append(h.closedAt, h.now)
		}
	}
}

func (h *harness) confirmPlan(id state.PlanID, operations ...state.Operation) {
	h.apply(state.Command{StorePlan: &state.StorePlan{Plan: state.Plan{ID: id, Operations: operations}}})
	h.apply(state.Command{ConfirmPlan: &state.ConfirmPlan{Plan: id}})
}

// run ticks every 10 ms for the duration.
func (h *harness) run(duration time.Duration) {
	for end := h.now + duration; h.now < end; h.now += 10 * millisecond {
		actions := h.core.Tick(h.now, h.view)
		if h.round != 0 && h.now >= h.roundAt {
			h.core.RoundConfirmed(h.now, h.round)
			h.round = 0
		}
		if actions.Round != 0 && h.roundDelay > 0 {
			h.round, h.roundAt = actions.Round, h.now+h.roundDelay
		} else if actions.Round != 0 && h.confirm {
			h.core.RoundConfirmed(h.now, actions.Round)
		}
		for _, proposal := range actions.Proposals {
			h.apply(proposal.Command)
			h.core.ProposalDone(proposal.Token)
		}
		for _, send := range actions.Sends {
			h.deliver(send)
		}
	}
}

func (h *harness) deliver(send Send) {
	h.sends = append(h.sends, send)
	if h.silent[send.Server] {
		h.core.Failed(send.Server, send.Request.Fence.Sequence)
		return
	}
	incarnation := h.incarnation[send.Server]
	if send.Request.Incarnation == incarnation {
		h.version[send.Server] = send.Request.Version
	}
	h.core.Answered(h.now, send.Server, send.Request.Fence.Sequence, backendapi.LeaseAnswer{
		Server: string(send.Server), Incarnation: incarnation, ClockNs: int64(h.now), Accepted: true,
		Session: send.Request.Session, Version: h.version[send.Server], Running: h.running[send.Server],
	})
}

func (h *harness) renewals(server state.ServerID) int {
	count := 0
	for _, send := range h.sends {
		if send.Server == server && send.Request.ReadingNs != 0 {
			count++
		}
	}
	return count
}

func (h *harness) ownedBy(server state.ServerID) int { return h.view.OwnedCount(server) }

func TestServersGetSessionsAndShards(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	if h.ownedBy("a") != 4 || h.ownedBy("b") != 4 {
		t.Fatalf("servers own %d and %d shards, want 4 each", h.ownedBy("a"), h.ownedBy("b"))
	}
	if h.renewals("a") < 5 {
		t.Errorf("only %d renewals in a second", h.renewals("a"))
	}
}

func TestNoRenewalWithoutQuorumAfterTheReading(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.confirm = false
	h.run(200 * millisecond)
	before := h.renewals("a")
	h.run(time.Second)
	if h.renewals("a") != before {
		t.Errorf("%d renewals used clock readings that no quorum round covered", h.renewals("a")-before)
	}
}

func TestLeaseIsWaitedOut(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.silent["a"] = true
	last := h.core.trackers["a"].renewedAt
	h.run(2 * time.Second)
	last = max(last, h.core.trackers["a"].renewedAt)
	if len(h.closedAt) != 1 || h.closedAt[0] <= last+leaseWait {
		t.Fatalf("last renewal at %v, sessions closed at %v, want one after the lease expired", last, h.closedAt)
	}
	if h.ownedBy("b") != 8 {
		t.Errorf("the other server owns %d of 8 shards", h.ownedBy("b"))
	}
}

// TestLossIsNoticedOnce: a session is closed as soon as its last lease has expired,
// without the delay of another renewal interval.
func TestLossIsNoticedOnce(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.silent["a"] = true
	latest := h.core.trackers["a"].readingAt + leaseWait + 20*millisecond
	h.run(2 * time.Second)
	if len(h.closedAt) != 1 || h.closedAt[0] > latest {
		t.Errorf("sessions closed at %v, want one by %v", h.closedAt, latest)
	}
}

// TestSlowRoundsDoNotStarveLeases: with controllers in distant regions, a clock
// reading waits for the quorum round in progress and then for its own, which takes
// longer than a renewal interval. A probe must not replace it by a newer reading
// meanwhile, or no lease would ever be renewed.
func TestSlowRoundsDoNotStarveLeases(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.roundDelay = 200 * millisecond
	before := h.renewals("a")
	h.run(10 * time.Second)
	if len(h.closedAt) != 0 {
		t.Errorf("sessions of servers that answer were closed at %v", h.closedAt)
	}
	if renewed := h.renewals("a") - before; renewed < 20 {
		t.Errorf("%d renewals in 10 s, want at least 20", renewed)
	}
}

// TestFirstShardsAreSpreadOverEveryServer: the first server that answers does not
// get all shards of a new service, and a server that never answers delays their
// assignment only for a bounded time.
func TestFirstShardsAreSpreadOverEveryServer(t *testing.T) {
	h := newHarness(t)
	h.silent["b"] = true
	h.run(time.Second / 2)
	if owned := h.ownedBy("a"); owned != 0 {
		t.Errorf("the first server got %d shards before the other one answered", owned)
	}
	h.silent["b"] = false
	h.run(time.Second / 2)
	if h.ownedBy("a") != 4 || h.ownedBy("b") != 4 {
		t.Errorf("servers own %d and %d shards, want 4 each", h.ownedBy("a"), h.ownedBy("b"))
	}
	h = newHarness(t)
	h.silent["b"] = true
	h.run(time.Second + time.Second)
	if owned := h.ownedBy("a"); owned != 8 {
		t.Errorf("the only server that answers owns %d of 8 shards", owned)
	}
}

func TestNewLeaderWaitsAFullLease(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.silent["a"] = true
	h.core.Follow()
	h.run(5 * time.Second)
	led := h.now
	h.core.Lead(h.now, 2, h.view)
	h.run(2 * time.Second)
	if len(h.closedAt) != 1 || h.closedAt[0] <= led+leaseWait {
		t.Errorf("leader since %v, sessions closed at %v, want one after a full lease", led, h.closedAt)
	}
}

// TestNewLeaderCountsTheQuietTime: the time without a quorum round of an earlier
// leader, reduced by the clock rate bound, shortens the wait for a silent server.
// It does not for a server that answers but cannot be renewed yet, nor in a later
// term.
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
		h := newHarness(t)
		h.run(time.Second)
		h.silent["a"], h.silent["b"] = step.silent, step.silent
		h.confirm = false
		h.core.Lead(h.now, 2, h.view)
		h.core.SetQuietTime(quiet)
		if step.ledBefore {
			h.core.Lead(h.now, 3, h.view)
		}
		due := h.now + leaseWait - step.earlier
		h.run(time.Second)
		if len(h.closedAt) != 2 || h.closedAt[0] <= due || h.closedAt[0] > due+20*millisecond {
			t.Errorf("%s: sessions were closed at %v, due at %v", name, h.closedAt, due)
		}
	}
}

func TestNewProcessIsNotRenewedUnderTheOldSession(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.incarnation["a"] = "a2"
	before := len(h.sends)
	h.run(2 * time.Second)
	for _, send := range h.sends[before:] {
		if send.Server == "a" && send.Request.Incarnation == "a2" && send.Request.Session == 1 {
			t.Fatal("a new process was granted a lease under the old process's session")
		}
	}
	if server, _ := h.view.Server("a"); server.Session.Number != 2 || !server.Session.Open {
		t.Errorf("the new process has no new session: %+v", server.Session)
	}
}

func TestPausedLeaderAsksAgainBeforeItClosesSessions(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.now += 5 * time.Second
	h.run(time.Second)
	if len(h.closedAt) != 0 {
		t.Errorf("sessions of servers that answer were closed at %v", h.closedAt)
	}
}

func TestRevokedShardWaitsForRunningRequests(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	shard := h.view.OwnedBy("a")[0]
	h.running["a"] = []backendapi.Assignment{{Shard: 99, First: shard.Range.Last, Last: shard.Range.Last}}
	h.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
	h.run(time.Second)
	if current, _ := h.view.Shard(shard.ID); current.Owner != "a" {
		t.Fatalf("shard was released while a request in its range was executing: %+v", current)
	}
	h.running["a"] = nil
	h.run(time.Second)
	if current, _ := h.view.Shard(shard.ID); current.Owner != "b" || current.Epoch != shard.Epoch+1 {
		t.Errorf("shard was not moved after the request ended: %+v", current)
	}
}

// TestMoveNeedsNoRenewInterval: a move waits for quorum rounds and messages, but not
// for the next regular renewal, whenever it begins.
func TestMoveNeedsNoRenewInterval(t *testing.T) {
	const bound = 80 * millisecond
	for phase := time.Duration(0); phase < testConfig.RenewInterval; phase += 10 * millisecond {
		h := newHarness(t)
		h.run(time.Second + phase)
		shard := h.view.OwnedBy("a")[0]
		h.confirmPlan("move", state.Operation{MoveShard: &state.MoveShard{Shard: shard.ID, Epoch: shard.Epoch, From: "a", To: "b"}})
		began := h.now
		for h.now < began+time.Second {
			h.run(10 * millisecond)
			moved, _ := h.view.Shard(shard.ID)
			if moved.Owner == "b" && h.version["b"] >= uint64(moved.Revision) {
				break
			}
		}
		if took := h.now - began; took > bound {
			t.Errorf("a move that begins at 1s + %v takes %v", phase, took)
		}
	}
}

func TestRetiredServerGivesUpEverything(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	server, _ := h.view.Server("a")
	server.Intent = state.ServerRetiring
	h.confirmPlan("retire", state.Operation{PutServer: &server})
	h.run(4 * time.Second)
	if server, _ := h.view.Server("a"); server.Intent != state.ServerRetired || h.ownedBy("a") != 0 || server.Session.Open {
		t.Errorf("server is not retired: %+v, owns %d shards", server, h.ownedBy("a"))
	}
	if h.ownedBy("b") != 8 {
		t.Errorf("the other server owns %d of 8 shards", h.ownedBy("b"))
	}
}

// A lost server is probed with exponential backoff, and a session is opened within
// the maximum interval once it answers again.
func TestLostServerIsAskedLessOften(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	h.silent["a"] = true
	h.run(3 * time.Second)
	before := len(h.sends)
	h.run(6 * time.Second)
	asked := 0
	for _, send := range h.sends[before:] {
		if send.Server == "a" {
			asked++
		}
	}
	if asked < 4 || asked > 8 {
		t.Errorf("a lost server was sent %d messages in 6 s, want 4 to 8", asked)
	}
	h.silent["a"] = false
	h.run(maxProbeBackoff*testConfig.RenewInterval + 100*millisecond)
	if server, _ := h.view.Server("a"); !server.Session.Open {
		t.Error("the server answers again but has no session")
	}
}
