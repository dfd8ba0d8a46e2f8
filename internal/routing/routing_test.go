package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func buildTable(t *testing.T, earlier *Table, bodies ...string) (*Table, *directory.Directory) {
	t.Helper()
	view := directory.New()
	for index, body := range bodies {
		patch, err := directory.ReadPatch([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if err := view.Apply(directory.Revision(index+1), directory.Command{Patch: &patch}); err != nil {
			t.Fatal(err)
		}
	}
	return Build(view, earlier), view
}

func route(name, host, prefix string, version int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"repeatable","service":"s","max_attempts":1,"version":%d}`, name, host, prefix, version)
}

func setPatch(routes string) string {
	return `{"set":{"routes":[` + routes + `],"services":[{"name":"s","version":1}],"limits":{"max_body_bytes":9,"version":1}}}`
}

// TestLongestPrefixWins: hosts match regardless of case and port; a prefix matches only the
// start of the path, which is not normalized.
func TestLongestPrefixWins(t *testing.T) {
	table, _ := buildTable(t, nil, setPatch(route("all", "a.example", "/", 1)+","+route("x", "a.example", "/x/", 1)+","+
		route("xy", "a.example", "/x/y/", 1)+","+route("other", "b.example", "/x/", 1)))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"}, {"a.example", "/x/y", "x"}, {"a.example", "/x/", "x"}, {"a.example", "/x", "all"},
		{"A.Example:8080", "/x/y/", "xy"}, {"a.example", "//x/y/", "all"}, {"a.example", "/X/y/", "all"},
		{"b.example", "/x/1", "other"}, {"b.example", "/y/", ""}, {"c.example", "/x/", ""},
	} {
		found, ok := table.Route(c.host, c.path)
		if ok != (c.want != "") || ok && found.Name != c.want {
			t.Errorf("%s%s: %+v, want %q", c.host, c.path, found, c.want)
		}
	}
	if table.Limits.MaxBodyBytes != 9 {
		t.Errorf("limits %+v", table.Limits)
	}
}

// TestTablesFollowTheDirectory: a new table reuses unchanged routes and lacks dropped ones,
// and building it leaves the earlier table unchanged.
func TestTablesFollowTheDirectory(t *testing.T) {
	first, view := buildTable(t, nil, setPatch(route("x", "a.example", "/x/", 1)+","+route("y", "a.example", "/y/", 1)))
	patch, err := directory.ReadPatch([]byte(`{"remove":{"routes":[{"name":"y","version":2}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	commands := []directory.Command{
		{Patch: &patch},
		{Instances: []directory.Instance{
			{ID: "i", Service: "s", Address: "127.0.0.1:1", State: directory.InstanceReady},
			{ID: "j", Service: "s", Address: "127.0.0.1:2", State: directory.InstanceGone},
		}},
		{Layout: &directory.PutLayout{Service: "s", Changed: []directory.Holding{{Last: directory.MaxKey, Fence: 1, Owner: "i"}}}},
	}
	for index, command := range commands {
		if err := view.Apply(directory.Revision(index+10), command); err != nil {
			t.Fatal(err)
		}
	}
	second := Build(view, first)
	before, _ := first.Route("a.example", "/x/")
	after, _ := second.Route("a.example", "/x/")
	if before != after {
		t.Error("an unchanged route was parsed again")
	}
	if _, found := second.Route("a.example", "/y/"); found {
		t.Error("a dropped route is found")
	}
	if _, found := first.Route("a.example", "/y/"); !found {
		t.Error("the earlier table changed")
	}
	service, _ := second.Service("s")
	if len(service.Instances) != 1 {
		t.Errorf("instances %+v", service.Instances)
	}
	if holding, found := service.Layout.At(40000); !found || holding.Owner != "i" {
		t.Errorf("holding %+v", holding)
	}
}

// TestSplitFollowsWeights: the weights hold over few requests, for many initial random numbers.
func TestSplitFollowsWeights(t *testing.T) {
	split := &directory.Route{Name: "r", Version: 1, Split: []directory.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	const gateways, requests = 40, 30
	counts := make(map[string]int)
	for gateway := range gateways {
		splitter := NewSplitter()
		pickedB := 0
		for range requests {
			picked := splitter.Pick(split, float64(gateway)/gateways)
			counts[picked]++
			if picked == "b" {
				pickedB++
			}
		}
		if pickedB < 2 || pickedB > 4 {
			t.Errorf("gateway %d sent %d of %d requests to the share of weight 10", gateway, pickedB, requests)
		}
	}
	share := float64(counts["b"]) / (gateways * requests)
	if math.Abs(share-0.1) > 0.02 || counts["c"] != 0 {
		t.Errorf("counts %v", counts)
	}
	whole := &directory.Route{Name: "w", Service: "s"}
	if got := NewSplitter().Pick(whole, 0.5); got != "s" {
		t.Errorf("without a split: %q", got)
	}
}

// TestTablesChangeAsTheDirectoryDoes: a table that is updated incrementally equals one that is built
// from scratch while instances are added, change, drain, leave and are removed and a service is
// added; earlier tables do not change.
func TestTablesChangeAsTheDirectoryDoes(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	table, view := buildTable(t, nil, setPatch(route("x", "a.example", "/x/", 1)))
	revision := directory.Revision(100)
	apply := func(command directory.Command) {
		t.Helper()
		revision++
		if err := view.Apply(revision, command); err != nil {
			t.Fatal(err)
		}
	}
	names := []string{"s", "late", "never"}
	states := []directory.InstanceState{directory.InstanceReady, directory.InstanceDraining, directory.InstanceGone, directory.InstanceReady}
	for step := range 400 {
		var changed []directory.Instance
		for range 1 + random.IntN(30) {
			number := random.IntN(4000)
			changed = append(changed, directory.Instance{
				ID: directory.InstanceID(fmt.Sprintf("i%d", number)), Service: names[number%len(names)],
				Address: fmt.Sprintf("127.0.0.1:%d", number), State: states[random.IntN(len(states))],
			})
		}
		apply(directory.Command{Instances: changed})
		if step == 200 {
			patch, err := directory.ReadPatch([]byte(`{"set":{"services":[{"name":"late","version":1}]}}`))
			if err != nil {
				t.Fatal(err)
			}
			apply(directory.Command{Patch: &patch})
		}
		if random.IntN(3) == 0 {
			continue // several changes for the next table
		}
		before := fmt.Sprint(listInstances(table))
		next := Build(view, table)
		if fmt.Sprint(listInstances(table)) != before {
			t.Fatal("an earlier table has changed")
		}
		if got, want := fmt.Sprint(listInstances(next)), fmt.Sprint(listInstances(Build(view, nil))); got != want {
			t.Fatalf("step %d: the incremental table has %s, the one built from scratch %s", step, got, want)
		}
		table = next
	}
}

func listInstances(table *Table) []string {
	var lines []string
	for _, name := range table.Services() {
		service, _ := table.Service(name)
		for _, instance := range service.Instances {
			lines = append(lines, fmt.Sprint(name, " ", *instance))
		}
	}
	return lines
}

// BenchmarkTableOfFleet builds the table of 10,000 instances after one of them has changed.
func BenchmarkTableOfFleet(b *testing.B) {
	view := directory.New()
	patch, err := directory.ReadPatch([]byte(setPatch(route("x", "a.example", "/x/", 1))))
	if err != nil {
		b.Fatal(err)
	}
	if err := view.Apply(1, directory.Command{Patch: &patch}); err != nil {
		b.Fatal(err)
	}
	instance := func(number int) directory.Instance {
		return directory.Instance{ID: directory.InstanceID(fmt.Sprint("i", number)), Service: "s", Address: fmt.Sprint("10.0.0.1:", number), State: directory.InstanceReady}
	}
	revision := directory.Revision(2)
	for number := range 10_000 {
		if err := view.Apply(revision, directory.Command{Instances: []directory.Instance{instance(number)}}); err != nil {
			b.Fatal(err)
		}
		revision++
	}
	table := Build(view, nil)
	for b.Loop() {
		revision++
		if err := view.Apply(revision, directory.Command{Instances: []directory.Instance{instance(int(revision) % 10_000)}}); err != nil {
			b.Fatal(err)
		}
		table = Build(view, table)
	}
}
