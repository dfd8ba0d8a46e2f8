package heartbeat

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
)

// script drives one core by hand against a directory with the service "s".
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

func (s *script) tick(after time.Duration) {
	s.now += after
	s.apply(s.core.Tick(s.now, s.view)...)
}

// beat sends a heartbeat of an instance at its own address, changed as given.
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
	return s.core.Answer(id, s.view), nil
}

func holding(first, last directory.Key, fence directory.Fence) func(*Beat) {
	return func(beat *Beat) {
		beat.Held = append(beat.Held, Held{Range: Range{First: first, Last: last}, Fence: fence})
	}
}

// founded returns a script in which two instances hold half of the keys each.
func founded(t *testing.T) *script {
	t.Helper()
	s := newScript(t)
	for _, id := range []directory.InstanceID{"a", "b"} {
		if grant, err := s.beat(id, nil); err != nil || len(grant.Holdings) > 0 {
			t.Fatalf("%s gets %+v, %v before the layout", id, grant, err)
		}
	}
	s.tick(time.Second)
	for _, id := range []directory.InstanceID{"a", "b"} {
		if grant, err := s.beat(id, nil); err != nil || len(grant.Holdings) != 1 || grant.Lease != 3*time.Second {
			t.Fatalf("%s gets %+v, %v", id, grant, err)
		}
	}
	return s
}

const half = (directory.MaxKey + 1) / 2

// TestSenselessHeartbeatsAreRefused: each by naming what is wrong, and nobody loses
// anything by it.
func TestSenselessHeartbeatsAreRefused(t *testing.T) {
	cases := map[string]struct {
		change func(*Beat)
		kind   fault.Kind
		names  string
	}{
		"crossing rows": {func(beat *Beat) { holding(0, 100, 1)(beat); holding(50, 200, 1)(beat) }, fault.InvalidArgument, "crosses"},
		"beyond keys":   {holding(0, directory.MaxKey+1, 1), fault.InvalidArgument, "no range"},
		"backwards":     {holding(9, 3, 1), fault.InvalidArgument, "no range"},
		"unknown fence": {holding(0, 100, 9), fault.InvalidArgument, "fence 9"},
		"other service": {func(beat *Beat) { beat.Service = "other" }, fault.InvalidArgument, "service"},
		"late":          {func(beat *Beat) { beat.Sequence = 1 }, fault.Conflict, "sequence"},
	}
	for name, c := range cases {
		s := founded(t)
		before := s.view.Revision()
		if _, err := s.beat("a", c.change); !fault.Is(err, c.kind) || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: error %v, want %s that names %q", name, err, c.kind, c.names)
		}
		if s.view.Revision() != before {
			t.Errorf("%s: the directory changed", name)
		}
	}
	s := founded(t)
	_, err := s.beat("thief", func(beat *Beat) { beat.Service, beat.Address = "other", "address-a" })
	if !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("the address of a live instance of another service: %v", err)
	}
}

// TestRowsThatAreStillWorkedOn: an instance whose rows were joined or cut tells the old
// one beside the new one until its work on it is done. Such heartbeats were refused as
// overlapping, and the instance lost all its keys.
func TestRowsThatAreStillWorkedOn(t *testing.T) {
	s := founded(t)
	grant, err := s.beat("a", func(beat *Beat) {
		holding(0, half-1, 1)(beat)
		holding(0, 99, 1)(beat)
		holding(100, 199, 0)(beat)
	})
	if err != nil || len(grant.Holdings) != 1 {
		t.Errorf("granted %+v, %v", grant, err)
	}
}

// TestKeysOfALostInstancePassOnAfterItsLease: not before its lease has surely ended,
// with a higher fence and without a handover; after a change of leader a whole lease
// later.
func TestKeysOfALostInstancePassOnAfterItsLease(t *testing.T) {
	const surely = 3*time.Second*102/100 + 50*time.Millisecond
	s := founded(t)
	lastBeat := s.now
	keep := func() Grant {
		t.Helper()
		grant, err := s.beat("b", holding(half, directory.MaxKey, 1))
		if err != nil {
			t.Fatal(err)
		}
		return grant
	}
	for s.now < lastBeat+surely {
		s.tick(100 * time.Millisecond)
		if s.now <= lastBeat+surely && len(keep().Holdings) != 1 {
			t.Fatalf("keys passed on %s after the last heartbeat", s.now-lastBeat)
		}
	}
	s.tick(100 * time.Millisecond)
	for _, got := range keep().Holdings {
		if got.First < half && (got.Fence < 2 || got.Handover != "") {
			t.Errorf("passed on as %+v", got)
		}
	}
	if lost, _ := s.view.Instance("a"); lost.State != directory.InstanceSilent {
		t.Errorf("the lost instance is %s", lost.State)
	}
	again := founded(t)
	again.core.Lead(again.now)
	elected := again.now
	for again.now < elected+surely-100*time.Millisecond {
		again.tick(100 * time.Millisecond)
		if _, err := again.beat("b", holding(half, directory.MaxKey, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if held, _ := again.view.Layout("s").At(0); held.Owner != "a" {
		t.Errorf("a new leader gave keys on before it had waited out a lease: %+v", held)
	}
}

// TestLeavingInstanceHandsOver: its keys go in steps, with what it left, and all of
// them are with others soon.
func TestLeavingInstanceHandsOver(t *testing.T) {
	s := founded(t)
	leaves := func(beat *Beat) { beat.Draining = true }
	if _, err := s.beat("a", func(beat *Beat) { leaves(beat); holding(0, half-1, 1)(beat) }); err != nil {
		t.Fatal(err)
	}
	if left, _ := s.view.Instance("a"); left.State != directory.InstanceDraining {
		t.Errorf("state %s", left.State)
	}
	s.now += drainSpread
	grant, err := s.beat("a", func(beat *Beat) { leaves(beat); holding(0, half-1, 1)(beat) })
	if err != nil || len(grant.Holdings) != 0 {
		t.Errorf("at the end of the drain it is granted %+v, %v", grant, err)
	}
	if _, err := s.beat("a", func(beat *Beat) {
		leaves(beat)
		beat.Released = []Released{{Range: Range{First: 0, Last: half - 1}, Handover: "token"}}
	}); err != nil {
		t.Fatal(err)
	}
	taken, err := s.beat("b", holding(half, directory.MaxKey, 1))
	if err != nil || len(taken.Holdings) != 2 || taken.Holdings[0].Handover != "token" || taken.Holdings[0].Fence != 2 {
		t.Errorf("the other one gets %+v, %v", taken, err)
	}
}

// TestNewcomerGetsKeys: an instance that joins while none is busy gets some of the keys
// that are asked for, once it is warm. It got none, and served nobody for as long as it
// lived.
func TestNewcomerGetsKeys(t *testing.T) {
	s := founded(t)
	s.core.config.MaxMoves = 4
	ids := []directory.InstanceID{"a", "b", "c"}
	for round := range 8 {
		report := Report{Service: "s"}
		for key := range uint16(64) {
			report.Keys, report.Counts = append(report.Keys, key*1000), append(report.Counts, 1)
		}
		s.core.Count(s.now, report)
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
		t.Error("the newcomer holds no keys that are asked for")
	}
}

// TestOldHeartbeatAfterAChangeOfLeader: one that was sent before others, and comes to a
// leader that has not heard of the instance yet, takes nothing back: the instance goes
// on draining, and keys that are being taken from it are not free.
func TestOldHeartbeatAfterAChangeOfLeader(t *testing.T) {
	s := founded(t)
	leaves := func(beat *Beat) { beat.Draining = true; holding(0, half-1, 1)(beat) }
	if _, err := s.beat("a", leaves); err != nil {
		t.Fatal(err)
	}
	s.now += drainSpread
	if _, err := s.beat("a", leaves); err != nil {
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
		t.Errorf("the instance is %s again", instance.State)
	}
	if held, _ := s.view.Layout("s").At(0); held.Owner != "a" {
		t.Errorf("its keys are free: %+v", held)
	}
	s.sequence["a"] = newest
	if _, err := s.beat("a", func(beat *Beat) { beat.Draining = true }); err != nil {
		t.Fatal(err)
	}
	if held, _ := s.view.Layout("s").At(0); held.Owner == "a" {
		t.Errorf("its keys are not free though it let them go: %+v", held)
	}
}

// TestNewLeaderSharesAmongAll: keys that are free soon after a change of leader are given
// to all instances that live, not only to those whose heartbeat came first. One of them got
// hundreds of ranges, more than an answer holds, and lost all its keys.
func TestNewLeaderSharesAmongAll(t *testing.T) {
	s := newScript(t)
	s.core.config.Stripes = 8
	ids := []directory.InstanceID{"a", "b", "c", "d"}
	round := func(ids ...directory.InstanceID) {
		for _, id := range ids {
			beatWithHoldings(t, s, id)
		}
	}
	round(ids...)
	s.tick(time.Second)
	round(ids...)
	s.core.Lead(s.now)
	round("a")
	atAddressOfD := func(beat *Beat) { beat.Address, beat.Service = "address-d", "other" }
	if _, err := s.beat("x", atAddressOfD); !errors.Is(err, ErrProvisional) {
		t.Fatal(err)
	}
	s.now += strangerTime
	if _, err := s.beat("x", atAddressOfD); err != nil {
		t.Fatal(err)
	}
	s.tick(100 * time.Millisecond)
	rows := make(map[directory.InstanceID]int)
	for _, holding := range s.view.Layout("s").Holdings {
		rows[holding.Owner]++
	}
	if rows["d"] != 0 || rows["b"] <= 8 || rows["c"] <= 8 {
		t.Errorf("ranges by instance: %v", rows)
	}
}

// TestReturnedInstanceWaitsForItsBatch: a batch that passes on the keys of an instance, since its
// lease has ended, may take a heartbeat of that instance as well. While the batch is not applied
// the next heartbeat must not be answered from the state before it: two instances would hold the
// keys.
func TestReturnedInstanceWaitsForItsBatch(t *testing.T) {
	l := newLives(t)
	for _, server := range []string{"a", "b"} {
		address := "127.0.0.1:" + map[string]string{"a": "1", "b": "2"}[server]
		if err := l.beatAt(address, 2*time.Second, server, 0, 1); err != nil {
			t.Fatal(err)
		}
	}
	l.apply(l.core.Tick(2100*time.Millisecond, l.view))
	if l.held("a") == 0 {
		t.Fatal("a holds nothing")
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
		t.Error("the next heartbeat is answered before the batch that passes on the keys is applied")
	}
	l.apply(commands)
	if grant := l.core.Answer("a", l.view); len(grant.Holdings) != 0 {
		t.Errorf("keys that passed on are granted: %+v", grant.Holdings)
	}
}
