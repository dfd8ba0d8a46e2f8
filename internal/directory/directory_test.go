package directory

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/fault"
)

const initialItems = `{"set":{
	"routes":[
		{"name":"r1","host":"a.example","prefix":"/x/","kind":"repeatable","timeout_ms":800,"target_latency_ms":300,"priority":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"version":7},
		{"name":"r2","host":"a.example","prefix":"/y/","kind":"at_most_once","timeout_ms":800,"target_latency_ms":300,"priority":1,"service":"s2","max_attempts":2,"version":7}],
	"services":[{"name":"s1","keyed":true,"version":7},{"name":"s2","version":7}],
	"limits":{"max_header_bytes":16384,"version":7}},"remove":{"routes":[]}}`

func applyPatchBody(t *testing.T, d *Directory, revision Revision, body string) error {
	t.Helper()
	patch, err := ReadPatch([]byte(body))
	if err != nil {
		return err
	}
	return d.Apply(revision, Command{Patch: &patch})
}

func newConfigured(t *testing.T) *Directory {
	t.Helper()
	d := New()
	if err := applyPatchBody(t, d, 1, initialItems); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestInvalidPatchesChangeNothing checks that each error names the item or the field, and that the
// directory is unchanged.
func TestInvalidPatchesChangeNothing(t *testing.T) {
	route := func(change string) string {
		fields := map[string]any{"name": "r3", "host": "a.example", "prefix": "/z/", "kind": "repeatable", "timeout_ms": 800,
			"target_latency_ms": 300, "service": "s1", "max_attempts": 2, "version": 9}
		if err := json.Unmarshal([]byte(change), &fields); err != nil {
			t.Fatal(err)
		}
		content, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return `{"set":{"routes":[` + string(content) + `]}}`
	}
	cases := map[string]struct{ body, names string }{
		"cut short":           {initialItems[:len(initialItems)/2], "body"},
		"two values":          {initialItems + "{}", "body"},
		"unknown service":     {route(`{"service":"s9"}`), `"s9"`},
		"unknown part":        {route(`{"split":[{"service":"s1","weight":1},{"service":"s9","weight":1}]}`), `"s9"`},
		"no weight":           {route(`{"split":[{"service":"s1","weight":0},{"service":"s2","weight":0}]}`), "split"},
		"target over timeout": {route(`{"target_latency_ms":60800}`), "target_latency_ms"},
		"no attempts":         {route(`{"max_attempts":0}`), "max_attempts"},
		"no host":             {route(`{"host":""}`), "host"},
		"no prefix":           {route(`{"prefix":"z"}`), "prefix"},
		"unknown kind":        {route(`{"kind":"often"}`), "kind"},
		"no service":          {route(`{"service":""}`), "service"},
		"wrong type":          {route(`{"max_attempts":"two"}`), "max_attempts"},
		"service in use":      {`{"remove":{"services":[{"name":"s2","version":9}]}}`, `"s2"`},
		"valid beside invalid": {`{"set":{"routes":[
			{"name":"r1","host":"a.example","prefix":"/x/","kind":"repeatable","service":"s1","max_attempts":2,"version":9},
			{"name":"r3","host":"","prefix":"/z/","kind":"repeatable","service":"s1","max_attempts":2,"version":9}]}}`, `"r3"`},
	}
	for name, c := range cases {
		d := newConfigured(t)
		before := d.Since(0)
		err := applyPatchBody(t, d, 2, c.body)
		if !fault.Is(err, fault.InvalidArgument) || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: error %v, want one that names %s", name, err, c.names)
		}
		if after := d.Since(0); !reflect.DeepEqual(before, after) {
			t.Errorf("%s: the directory changed", name)
		}
	}
	d := newConfigured(t)
	if err := applyPatchBody(t, d, 2, route(`{"target_latency_ms":60799}`)); err != nil {
		t.Errorf("a target just below the bound: %v", err)
	}
}

// TestHighestVersionHolds checks that a command with an older or equal version, to set or to drop
// an item, changes nothing and is acknowledged without an error.
func TestHighestVersionHolds(t *testing.T) {
	set := func(version, timeout string) string {
		return `{"set":{"routes":[{"name":"r1","host":"a.example","prefix":"/x/","kind":"repeatable","timeout_ms":` + timeout +
			`,"service":"s1","max_attempts":2,"version":` + version + `}]}}`
	}
	drop := func(version string) string { return `{"remove":{"routes":[{"name":"r1","version":` + version + `}]}}` }
	d := newConfigured(t)
	steps := []struct {
		body, timeout string
		version       uint64
		dropped       bool
	}{
		{set("9", "900"), "900", 9, false},
		{set("9", "100"), "900", 9, false},
		{set("8", "100"), "900", 9, false},
		{drop("9"), "900", 9, false},
		{drop("11"), "", 11, true},
		{set("10", "100"), "", 11, true},
		{set("12", "1200"), "1200", 12, false},
		{set("9", "900"), "1200", 12, false},
	}
	for number, step := range steps {
		if err := applyPatchBody(t, d, Revision(number+2), step.body); err != nil {
			t.Fatalf("step %d: %v", number, err)
		}
		item := d.items[ItemKey{KindRoute, "r1"}]
		if item.Version != step.version || item.Dropped != step.dropped || !strings.Contains(string(item.Content), step.timeout) {
			t.Errorf("step %d: version %d dropped %v content %s", number, item.Version, item.Dropped, item.Content)
		}
	}
}

// TestItemsAreReadAsSent checks that fields that this version does not know are preserved.
func TestItemsAreReadAsSent(t *testing.T) {
	d := New()
	body := strings.Replace(initialItems, `"name":"s2"`, `"name":"s2","color":"green"`, 1)
	if err := applyPatchBody(t, d, 1, body); err != nil {
		t.Fatal(err)
	}
	var sent PatchBody
	if err := json.Unmarshal([]byte(body), &sent); err != nil {
		t.Fatal(err)
	}
	read := d.ItemSet()
	if len(read.Routes) != 2 || len(read.Services) != 2 || string(read.Limits) != string(sent.Set.Limits) {
		t.Fatalf("read %+v", read)
	}
	for index := range sent.Set.Services {
		if string(read.Services[index]) != string(sent.Set.Services[index]) {
			t.Errorf("service %s came back as %s", sent.Set.Services[index], read.Services[index])
		}
	}
}

// TestChangesLeadOn checks that a directory that merges the encoded results of Since in order
// becomes equal to the source, also if each arrives twice.
func TestChangesLeadOn(t *testing.T) {
	d := newConfigured(t)
	copied := New()
	take := func() {
		t.Helper()
		encoded, err := codec.Marshal(d.Since(copied.Revision()))
		if err != nil {
			t.Fatal(err)
		}
		var changes Content
		if err := codec.Unmarshal(encoded, &changes); err != nil {
			t.Fatal(err)
		}
		copied.Merge(changes)
		copied.Merge(changes)
	}
	take()
	steps := []Command{
		{Instances: []Instance{{ID: "i1", Service: "s1", Address: "127.0.0.1:1", State: InstanceReady}}},
		{Layout: &PutLayout{Service: "s1", Changed: []Holding{{First: 0, Last: MaxKey, Fence: 1, Owner: "i1"}}}},
		{Layout: &PutLayout{Service: "s1", After: 3, Changed: []Holding{{First: 10, Last: 19, Fence: 2, Owner: "i2"}, {First: 40, Last: 49, Fence: 2, Owner: "i3"}}}},
		{Layout: &PutLayout{Service: "s1", After: 4, Changed: []Holding{{First: 15, Last: 44, Fence: 3, Owner: "i1"}}}},
		{Instances: []Instance{{ID: "i2", Service: "s2", Address: "127.0.0.1:1", State: InstanceReady}}},
	}
	for index, step := range steps {
		if err := d.Apply(Revision(index+2), step); err != nil {
			t.Fatal(err)
		}
		take()
	}
	if want, got := d.Since(0), copied.Since(0); !reflect.DeepEqual(want, got) {
		t.Errorf("copied %+v, want %+v", got, want)
	}
	if replaced, _ := copied.Instance("i1"); replaced.State != InstanceGone || !replaced.Ended {
		t.Errorf("an instance whose address was taken over by another one is %+v", replaced)
	}
}

// TestGoneInstancesStayGone checks that a late heartbeat does not bring an instance back.
func TestGoneInstancesStayGone(t *testing.T) {
	d := New()
	ready := Instance{ID: "i1", Service: "s", Address: "127.0.0.1:1", State: InstanceReady}
	gone := ready
	gone.State = InstanceGone
	for index, state := range []Instance{ready, gone, ready} {
		if err := d.Apply(Revision(index+1), Command{Instances: []Instance{state}}); err != nil {
			t.Fatal(err)
		}
	}
	if held, _ := d.Instance("i1"); held.State != InstanceGone {
		t.Errorf("state %s", held.State)
	}
}

// TestLayoutsKeepTheFenceInvariant checks over random layouts that one is accepted if and only if
// no key's fence decreases and each key that gets an owner gets a higher fence.
func TestLayoutsKeepTheFenceInvariant(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("fences", prop.ForAll(func(seeds []uint64) bool {
		d := New()
		for step, seed := range seeds {
			before := d.Layout("s")
			next := randomLayout(seed)
			err := d.Apply(Revision(step+1), Command{Layout: &PutLayout{Service: "s", Changed: next.Holdings, After: before.Revision}})
			if (err == nil) != keepsFenceInvariant(before, next) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(12, gen.UInt64())))
	properties.TestingRun(t)
}

func randomLayout(seed uint64) Layout {
	next := func(bound uint64) uint64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return (seed >> 33) % bound
	}
	middle := Key(1 + next(3)*1000)
	holding := func(first, last Key) Holding {
		owners := []InstanceID{"", "a", "b"}
		return Holding{First: first, Last: last, Fence: Fence(next(4)), Owner: owners[next(3)], Revoked: next(3) == 0}
	}
	return Layout{Service: "s", Holdings: []Holding{holding(0, middle), holding(middle+1, MaxKey)}}
}

// keepsFenceInvariant checks the invariant key by key.
func keepsFenceInvariant(before, next Layout) bool {
	for _, key := range []Key{0, 1, 2, 1000, 1001, 1002, 2000, 2001, 2002, MaxKey} {
		earlier, found := before.At(key)
		later, _ := next.At(key)
		if !found {
			continue
		}
		sameOwner := later.Owner == earlier.Owner && (!earlier.Revoked || later.Revoked)
		if later.Fence < earlier.Fence || later.Fence == earlier.Fence && later.Owner != "" && !sameOwner {
			return false
		}
	}
	return true
}

// TestStaleLayoutIsRefused checks that a layout based on another revision than the current one
// changes nothing; invalid ranges are rejected, too.
func TestStaleLayoutIsRefused(t *testing.T) {
	d := New()
	whole := []Holding{{Last: MaxKey, Fence: 1, Owner: "a"}}
	if err := d.Apply(4, Command{Layout: &PutLayout{Service: "s", Changed: whole}}); err != nil {
		t.Fatal(err)
	}
	whole = []Holding{{Last: MaxKey, Fence: 9, Owner: "b"}}
	if err := d.Apply(5, Command{Layout: &PutLayout{Service: "s", Changed: whole, After: 3}}); !fault.Is(err, fault.Conflict) {
		t.Errorf("error %v, want conflict", err)
	}
	for name, changed := range map[string][]Holding{
		"overlapping": {{Last: 10, Fence: 9}, {First: 10, Last: MaxKey, Fence: 9}},
		"backwards":   {{First: 10, Last: 20, Fence: 9}, {First: 0, Last: 5, Fence: 9}},
		"beyond":      {{First: 10, Last: MaxKey + 1, Fence: 9}},
	} {
		if err := d.Apply(5, Command{Layout: &PutLayout{Service: "s", Changed: changed, After: 4}}); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s changes give %v", name, err)
		}
	}
	gap := []Holding{{Last: 10, Fence: 9}, {First: 12, Last: MaxKey, Fence: 9}}
	if err := d.Apply(5, Command{Layout: &PutLayout{Service: "new", Changed: gap}}); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("a first layout with a gap gives %v", err)
	}
}

// TestBatchAppliesEachCommand checks that a rejected command does not affect the others.
func TestBatchAppliesEachCommand(t *testing.T) {
	d := New()
	stale := Command{Layout: &PutLayout{Service: "s", After: 7, Changed: []Holding{{First: 0, Last: MaxKey, Fence: 1, Owner: "a"}}}}
	first := Command{Instances: []Instance{{ID: "a", Service: "s", Address: "1", State: InstanceReady}}}
	last := Command{Instances: []Instance{{ID: "b", Service: "s", Address: "2", State: InstanceReady}}}
	if err := d.Apply(3, JoinCommands([]Command{first, stale, last})); !fault.Is(err, fault.Conflict) {
		t.Errorf("a stale layout in a batch: %v", err)
	}
	if len(d.Instances()) != 2 || d.Revision() != 3 || len(d.Layout("s").Holdings) != 0 {
		t.Errorf("instances %+v at revision %d", d.Instances(), d.Revision())
	}
	if single := JoinCommands([]Command{first}); single.Batch != nil {
		t.Error("a single command is wrapped")
	}
}

// TestTimesChangeNothingElse checks that a service time is stored only for an instance that is not
// gone, changes nothing else, and creates or restores no instance.
func TestTimesChangeNothingElse(t *testing.T) {
	d := New()
	there := Instance{ID: "a", Service: "s", Address: "1", Slots: 2, State: InstanceDraining}
	commands := []Command{
		{Instances: []Instance{there, {ID: "b", Service: "s", Address: "2", State: InstanceGone}}},
		{Times: []InstanceTime{{ID: "a", ServiceTime: time.Second}, {ID: "b", ServiceTime: time.Second}, {ID: "c", ServiceTime: time.Second}}},
	}
	for index, command := range commands {
		if err := d.Apply(Revision(index+1), command); err != nil {
			t.Fatal(err)
		}
	}
	there.ServiceTime, there.Revision, there.TimedAt = time.Second, 1, 2
	if got, _ := d.Instance("a"); got != there {
		t.Errorf("got %+v, want %+v", got, there)
	}
	if gone, _ := d.Instance("b"); gone.ServiceTime != 0 || gone.State != InstanceGone {
		t.Errorf("an instance that is gone is %+v", gone)
	}
	if _, found := d.Instance("c"); found {
		t.Error("a service time created an unknown instance")
	}
}

// TestInstancesAtTheirAddresses checks over random changes that each address lists exactly its
// instances, also in a clone and after instances that are gone were deleted.
func TestInstancesAtTheirAddresses(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	d := New()
	const addresses = 40
	for revision := range Revision(6000) {
		instance := Instance{
			ID: InstanceID(fmt.Sprint(random.IntN(3000))), Service: "s", Address: fmt.Sprint(random.IntN(addresses)), State: InstanceReady,
		}
		if err := d.Apply(revision+1, Command{Instances: []Instance{instance}}); err != nil {
			t.Fatal(err)
		}
		if revision == 3000 {
			d = d.Clone()
		}
	}
	for number := range addresses {
		address := fmt.Sprint(number)
		var want, got []InstanceID
		for instance := range d.EachInstance() {
			if instance.Address == address {
				want = append(want, instance.ID)
			}
		}
		for instance := range d.InstancesAt(address) {
			got = append(got, instance.ID)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("address %s has %v, want %v", address, got, want)
		}
	}
}
