package heartbeat

import (
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// script drives one core step by step, with a directory that contains the keyed service "s".
type script struct {
	t        testing.TB
	core     *Core
	view     *directory.Directory
	revision directory.Revision
	now      time.Duration
	sequence map[directory.InstanceID]uint64
}

func newScript(t testing.TB) *script {
	t.Helper()
	s := &script{t: t, view: directory.New(), sequence: make(map[directory.InstanceID]uint64)}
	s.core = New(Config{
		Lease: 3 * time.Second, MaxLease: 3 * time.Second, ClockRateBound: 0.02, Margin: 50 * time.Millisecond,
		Gather: time.Second, AddressReuse: 2 * time.Second, MaxMoves: 4, Stripes: 1,
	})
	patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"s","keyed":true,"version":1},{"name":"other","version":1}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	s.apply(directory.Command{Patch: &patch})
	return s
}

func (s *script) apply(commands ...directory.Command) {
	s.t.Helper()
	for _, command := range commands {
		s.revision++
		if err := s.view.Apply(s.revision, command); err != nil {
			s.t.Fatal(err)
		}
	}
}

// tick advances the time and applies the decisions that are due.
func (s *script) tick(after time.Duration) {
	s.now += after
	s.apply(s.core.Tick(s.now, s.view)...)
}

// beat sends a heartbeat from an instance at its own address, modified by change, and returns the answer.
func (s *script) beat(id directory.InstanceID, change func(*Beat)) (Grant, error) {
	s.t.Helper()
	s.sequence[id]++
	beat := Beat{Instance: id, Service: "s", Address: "address-" + string(id), Slots: 2, Sequence: s.sequence[id]}
	if change != nil {
		change(&beat)
	}
	commands, err := s.core.Receive(s.now, beat, s.view)
	if err != nil {
		return Grant{}, err
	}
	s.apply(commands...)
	return s.core.Answer(id, s.now, s.view), nil
}

// holding adds a held range to a heartbeat.
func holding(first, last directory.Key, fence directory.Fence) func(*Beat) {
	return func(beat *Beat) {
		beat.Held = append(beat.Held, Held{Range: Range{First: first, Last: last}, Fence: fence})
	}
}

// newScriptWithLayout returns a script in which instances a and b hold half of the keys each.
func newScriptWithLayout(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	for _, id := range []directory.InstanceID{"a", "b"} {
		if grant, err := s.beat(id, nil); err != nil || len(grant.Holdings) > 0 {
			t.Fatalf("%s is granted %+v, %v before the first layout", id, grant, err)
		}
	}
	s.tick(time.Second)
	for _, id := range []directory.InstanceID{"a", "b"} {
		if grant, err := s.beat(id, nil); err != nil || len(grant.Holdings) != 1 || grant.Lease != 3*time.Second {
			t.Fatalf("%s is granted %+v, %v", id, grant, err)
		}
	}
	return s
}

const half = (directory.MaxKey + 1) / 2

// TestSenselessHeartbeatsAreRefused checks that an invalid heartbeat is rejected with an error that names
// the problem, and that the directory does not change.
func TestSenselessHeartbeatsAreRefused(t *testing.T) {
	cases := map[string]struct {
		change func(*Beat)
		kind   fault.Kind
		detail string
	}{
		"overlapping ranges":        {func(beat *Beat) { holding(0, 100, 1)(beat); holding(50, 200, 1)(beat) }, fault.InvalidArgument, "crosses"},
		"range beyond the last key": {holding(0, directory.MaxKey+1, 1), fault.InvalidArgument, "no range"},
		"reversed range":            {holding(9, 3, 1), fault.InvalidArgument, "no range"},
		"unknown fence":             {holding(0, 100, 9), fault.InvalidArgument, "fence 9"},
		"other service":             {func(beat *Beat) { beat.Service = "other" }, fault.InvalidArgument, "service"},
		"outdated sequence":         {func(beat *Beat) { beat.Sequence = 1 }, fault.Conflict, "sequence"},
	}
	for name, test := range cases {
		s := newScriptWithLayout(t)
		before := s.view.Revision()
		if _, err := s.beat("a", test.change); !fault.Is(err, test.kind) || !strings.Contains(err.Error(), test.detail) {
			t.Errorf("%s: error %v, want kind %s and a detail with %q", name, err, test.kind, test.detail)
		}
		if s.view.Revision() != before {
			t.Errorf("%s: the directory changed", name)
		}
	}
	s := newScriptWithLayout(t)
	_, err := s.beat("thief", func(beat *Beat) { beat.Service, beat.Address = "other", "address-a" })
	if !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("heartbeat at the address of a live instance of another service: error %v", err)
	}
}

// TestRowsThatAreStillWorkedOn guards against rejecting a heartbeat with nested ranges. An instance whose
// ranges were merged or split reports the old range beside the new one until its requests are done. Such
// heartbeats were rejected as overlapping, and the instance lost all its keys.
func TestRowsThatAreStillWorkedOn(t *testing.T) {
	s := newScriptWithLayout(t)
	grant, err := s.beat("a", func(beat *Beat) {
		holding(0, half-1, 1)(beat)
		holding(0, 99, 1)(beat)
		holding(100, 199, 0)(beat)
	})
	if err != nil || len(grant.Holdings) != 1 {
		t.Errorf("granted %+v, %v", grant, err)
	}
}

// TestKeysOfALostInstancePassOnAfterItsLease checks that keys of a lost instance are reassigned only after
// its lease has certainly expired, with a higher fence and without a handover; after a change of leader, a
// whole lease later.
func TestKeysOfALostInstancePassOnAfterItsLease(t *testing.T) {
	const longestLease = 3*time.Second*102/100 + 50*time.Millisecond
	s := newScriptWithLayout(t)
	lastBeat := s.now
	renewB := func() Grant {
		t.Helper()
		grant, err := s.beat("b", holding(half, directory.MaxKey, 1))
		if err != nil {
			t.Fatal(err)
		}
		return grant
	}
	for s.now < lastBeat+longestLease {
		s.tick(100 * time.Millisecond)
		if s.now <= lastBeat+longestLease && len(renewB().Holdings) != 1 {
			t.Fatalf("keys reassigned %s after the last heartbeat", s.now-lastBeat)
		}
	}
	s.tick(100 * time.Millisecond)
	for _, got := range renewB().Holdings {
		if got.First < half && (got.Fence < 2 || got.Handover != "") {
			t.Errorf("reassigned as %+v, want a higher fence and no handover", got)
		}
	}
	if lost, _ := s.view.Instance("a"); lost.State != directory.InstanceSilent {
		t.Errorf("the lost instance is %s, want silent", lost.State)
	}
	restarted := newScriptWithLayout(t)
	restarted.core.Lead(restarted.now)
	electedAt := restarted.now
	for restarted.now < electedAt+longestLease-100*time.Millisecond {
		restarted.tick(100 * time.Millisecond)
		if _, err := restarted.beat("b", holding(half, directory.MaxKey, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if held, _ := restarted.view.Layout("s").At(0); held.Owner != "a" {
		t.Errorf("a new leader reassigned keys before a lease had passed: %+v", held)
	}
}

// TestLeavingInstanceHandsOver checks that the keys of a draining instance are moved in steps, with the
// handover that it left, and that others hold all of them soon.
func TestLeavingInstanceHandsOver(t *testing.T) {
	s := newScriptWithLayout(t)
	setDraining := func(beat *Beat) { beat.Draining = true }
	if _, err := s.beat("a", func(beat *Beat) { setDraining(beat); holding(0, half-1, 1)(beat) }); err != nil {
		t.Fatal(err)
	}
	if left, _ := s.view.Instance("a"); left.State != directory.InstanceDraining {
		t.Errorf("the draining instance is %s", left.State)
	}
	s.now += drainDuration
	grant, err := s.beat("a", func(beat *Beat) { setDraining(beat); holding(0, half-1, 1)(beat) })
	if err != nil || len(grant.Holdings) != 0 {
		t.Errorf("granted %+v, %v at the end of the drain", grant, err)
	}
	if _, err := s.beat("a", func(beat *Beat) {
		setDraining(beat)
		beat.Released = []Released{{Range: Range{First: 0, Last: half - 1}, Handover: "token"}}
	}); err != nil {
		t.Fatal(err)
	}
	taken, err := s.beat("b", holding(half, directory.MaxKey, 1))
	if err != nil || len(taken.Holdings) != 2 || taken.Holdings[0].Handover != "token" || taken.Holdings[0].Fence != 2 {
		t.Errorf("the remaining instance is granted %+v, %v", taken, err)
	}
}

// TestNewcomerGetsKeys checks that an instance that joins while no other is busy gets some of the keys that
// receive requests, once it is warm. Such an instance used to get none, and served no requests at all.
func TestNewcomerGetsKeys(t *testing.T) {
	s := newScriptWithLayout(t)
	s.core.config.MaxMoves = 4
	ids := []directory.InstanceID{"a", "b", "c"}
	for round := range 8 {
		report := Report{Service: "s"}
		for key := range uint16(64) {
			report.Keys, report.Counts = append(report.Keys, key*1000), append(report.Counts, 1)
		}
		s.core.AddReport(s.now, report)
		for _, id := range ids {
			s.now += 300 * time.Millisecond
			beatWithHoldings(t, s, id)
		}
		if round == 0 {
			continue
		}
		s.apply(s.core.Tick(s.now, s.view)...)
	}
	rate := 0.0
	for _, holding := range s.view.Layout("s").Holdings {
		if holding.Owner == "c" && holding.Granted {
			rate += s.core.demandOf(s.now, "s").rate(holding.First, holding.Last)
		}
	}
	if rate <= 0 {
		t.Error("the new instance holds no keys that receive requests")
	}
}

// TestOldHeartbeatAfterAChangeOfLeader checks that a delayed heartbeat reverts nothing at a leader that has
// not received a heartbeat of the instance yet: the instance stays draining, and its revoked keys are not freed.
func TestOldHeartbeatAfterAChangeOfLeader(t *testing.T) {
	s := newScriptWithLayout(t)
	drainingBeat := func(beat *Beat) { beat.Draining = true; holding(0, half-1, 1)(beat) }
	if _, err := s.beat("a", drainingBeat); err != nil {
		t.Fatal(err)
	}
	s.now += drainDuration
	if _, err := s.beat("a", drainingBeat); err != nil {
		t.Fatal(err)
	}
	if held, _ := s.view.Layout("s").At(0); !held.Revoked || held.Owner != "a" {
		t.Fatalf("before the change of leader: %+v", held)
	}
	s.core.Lead(s.now)
	newest := s.sequence["a"]
	s.sequence["a"] = 0
	if _, err := s.beat("a", nil); err != nil {
		t.Fatal(err)
	}
	if instance, _ := s.view.Instance("a"); instance.State != directory.InstanceDraining {
		t.Errorf("the draining instance is %s after a delayed heartbeat", instance.State)
	}
	if held, _ := s.view.Layout("s").At(0); held.Owner != "a" {
		t.Errorf("its keys were freed by a delayed heartbeat: %+v", held)
	}
	s.sequence["a"] = newest
	if _, err := s.beat("a", func(beat *Beat) { beat.Draining = true }); err != nil {
		t.Fatal(err)
	}
	if held, _ := s.view.Layout("s").At(0); held.Owner == "a" {
		t.Errorf("its keys were not freed although it released them: %+v", held)
	}
}

// TestLateHeartbeatAtANewLeaderReleasesNothing guards against keys with two holders after two heartbeats that were sent
// before the keys were granted arrive at a new leader, when the keys are being taken from their holder.
func TestLateHeartbeatAtANewLeaderReleasesNothing(t *testing.T) {
	s := newScriptWithLayout(t)
	drainingBeat := func(beat *Beat) { beat.Draining = true; holding(0, half-1, 1)(beat) }
	for range 2 {
		if _, err := s.beat("a", drainingBeat); err != nil {
			t.Fatal(err)
		}
		s.now += drainDuration
	}
	newest := s.sequence["a"]
	for range 2 {
		s.core.Lead(s.now)
		s.sequence["a"] = 0
		for range 2 {
			if _, err := s.beat("a", nil); err != nil {
				t.Fatal(err)
			}
			s.now += 400 * time.Millisecond
		}
		if held, _ := s.view.Layout("s").At(0); held.Owner != "a" || !held.Revoked {
			t.Fatalf("keys that are held were freed by a late heartbeat: %+v", held)
		}
	}
	s.sequence["a"] = newest
	if _, err := s.beat("a", func(beat *Beat) { beat.Draining = true }); err != nil {
		t.Fatal(err)
	}
	if held, _ := s.view.Layout("s").At(0); held.Owner == "a" {
		t.Errorf("keys were not freed although their holder released them: %+v", held)
	}
}

// TestNewLeaderSharesAmongAll checks that keys that become free soon after a change of leader are assigned
// to all live instances, not only to those whose heartbeats arrived first. One of these got hundreds of
// ranges, more than fit an answer, and lost all its keys.
func TestNewLeaderSharesAmongAll(t *testing.T) {
	s := newScript(t)
	s.core.config.Stripes = 8
	ids := []directory.InstanceID{"a", "b", "c", "d"}
	beatAll := func(ids ...directory.InstanceID) {
		for _, id := range ids {
			beatWithHoldings(t, s, id)
		}
	}
	beatAll(ids...)
	s.tick(time.Second)
	beatAll(ids...)
	s.core.Lead(s.now)
	beatAll("a")
	// The server of d starts again, for another service, which ends d.
	if _, err := s.beat("d@1", func(beat *Beat) { beat.Address, beat.Service = "address-d", "other" }); err != nil {
		t.Fatal(err)
	}
	s.tick(100 * time.Millisecond)
	rangeCounts := make(map[directory.InstanceID]int)
	for _, holding := range s.view.Layout("s").Holdings {
		rangeCounts[holding.Owner]++
	}
	if rangeCounts["d"] != 0 || rangeCounts["b"] <= 8 || rangeCounts["c"] <= 8 {
		t.Errorf("ranges by instance: %v", rangeCounts)
	}
}

// TestReturnedInstanceWaitsForItsBatch guards against two holders of a key. A batch that reassigns the keys
// of an instance whose lease has expired may contain a heartbeat of that instance as well. Until the batch
// is applied, the next heartbeat must not be answered from the state before it.
func TestReturnedInstanceWaitsForItsBatch(t *testing.T) {
	l := newIncarnationScript(t)
	for _, server := range []string{"a", "b"} {
		address := "127.0.0.1:" + map[string]string{"a": "1", "b": "2"}[server]
		if err := l.beatAt(address, 2*time.Second, server, 0, 1); err != nil {
			t.Fatal(err)
		}
	}
	l.apply(l.core.Tick(2100*time.Millisecond, l.view))
	if l.ownedRanges("a") == 0 {
		t.Fatal("instance a holds no keys")
	}
	for server, address := range map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"} {
		if err := l.beatAt(address, 2200*time.Millisecond, server, 0, 2); err != nil {
			t.Fatal(err)
		}
	}
	late := 5 * time.Second
	if err := l.beatAt("127.0.0.1:2", late-time.Millisecond, "b", 0, 3); err != nil {
		t.Fatal(err)
	}
	batch := l.core.Batch(late, l.view)
	batch.Tick()
	beat := Beat{Instance: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2, Sequence: 3}
	if err := batch.Receive(beat); err != nil {
		t.Fatal(err)
	}
	commands := batch.Commands()
	beat.Sequence = 4
	if l.core.Renew(late+200*time.Millisecond, beat, l.view) {
		t.Error("Renew accepted a heartbeat before the batch that reassigns the keys is applied")
	}
	l.apply(commands)
	if grant := l.core.Answer("a", late+200*time.Millisecond, l.view); len(grant.Holdings) != 0 {
		t.Errorf("reassigned keys are granted: %+v", grant.Holdings)
	}
}
