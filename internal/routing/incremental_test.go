package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// changes applies random changes to a directory.
type changes struct {
	t       *testing.T
	random  *rand.Rand
	view    *directory.Directory
	version int
}

func (c *changes) apply(command directory.Command) {
	c.t.Helper()
	if err := c.view.Apply(c.view.Revision()+1, command); err != nil {
		c.t.Fatal(err)
	}
}

func (c *changes) patch(body string) {
	c.t.Helper()
	patch, err := directory.ReadPatch([]byte(body))
	if err != nil {
		c.t.Fatal(err)
	}
	c.apply(directory.Command{Patch: &patch})
}

// step applies one change: a route that is set, moved or dropped, a service, a tenant, limits or an instance. Some repeat an
// older version, which changes nothing.
func (c *changes) step() {
	c.t.Helper()
	c.version++
	version := max(1, c.version-c.random.IntN(4)/3*c.random.IntN(40))
	name := fmt.Sprintf("r%d", c.random.IntN(12))
	service := fmt.Sprintf("s%d", c.random.IntN(3))
	switch c.random.IntN(8) {
	case 0, 1, 2:
		prefix := strings.Repeat("/a", 1+c.random.IntN(3)) + "/" + strings.Repeat(name+"/", c.random.IntN(2))
		c.patch(fmt.Sprintf(`{"set":{"routes":[{"name":%q,"host":"h%d.example","prefix":%q,"kind":"repeatable","service":%q,"max_attempts":1,"priority":%d,"version":%d}]}}`,
			name, c.random.IntN(2), prefix, service, c.random.IntN(3), version))
	case 3:
		c.patch(fmt.Sprintf(`{"remove":{"routes":[{"name":%q,"version":%d}]}}`, name, version))
	case 4:
		c.patch(fmt.Sprintf(`{"set":{"services":[{"name":%q,"max_connections":%d,"version":%d}]}}`, service, c.version, version))
	case 5:
		c.patch(fmt.Sprintf(`{"set":{"limits":{"max_body_bytes":%d,"version":%d}}}`, c.version, version))
	default:
		states := []directory.InstanceState{directory.InstanceReady, directory.InstanceDraining, directory.InstanceGone}
		id := fmt.Sprintf("i%d-%d", c.random.IntN(10), c.version/20)
		c.apply(directory.Command{Instances: []directory.Instance{{
			ID: directory.InstanceID(id), Service: "s" + id[1:2], Address: "10.0.0." + id[1:2] + ":80", Slots: 1, State: states[c.random.IntN(len(states))],
		}}})
	}
}

// TestIncrementalTableEqualsOneBuiltAnew guards against a table that keeps an older route, service or instance of the one
// that it was derived from, at a gateway that gets changes in parts of any length and some of them twice.
func TestIncrementalTableEqualsOneBuiltAnew(t *testing.T) {
	for seed := range uint64(100) {
		c := &changes{t: t, random: rand.New(rand.NewPCG(seed, 0)), view: directory.New()}
		c.patch(`{"set":{"services":[{"name":"s0","version":1},{"name":"s1","version":1},{"name":"s2","version":1}]}}`)
		gateway := directory.New()
		var table *Table
		for range 150 {
			c.step()
			if c.random.IntN(3) == 0 {
				continue
			}
			held := gateway.Revision()
			held -= min(held, directory.Revision(c.random.IntN(3)))
			if err := gateway.MergeRouting(c.view.RoutingSince(held)); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			table = Build(gateway, table)
			checkSameTable(t, seed, table, Build(c.view, nil))
		}
	}
}

// checkSameTable compares what two tables route by.
func checkSameTable(t *testing.T, seed uint64, got, want *Table) {
	t.Helper()
	if !reflect.DeepEqual(got.routesByHost, want.routesByHost) {
		t.Fatalf("seed %d, revision %d: the routes differ from those of the directory", seed, got.Revision)
	}
	if got.Limits != want.Limits || got.Revision != want.Revision {
		t.Fatalf("seed %d: limits %+v at revision %d, want %+v at %d", seed, got.Limits, got.Revision, want.Limits, want.Revision)
	}
	for _, name := range want.Services() {
		have, found := got.Service(name)
		expected, _ := want.Service(name)
		if !found || have.Config != expected.Config || !sameInstances(have.All(), expected.All()) {
			t.Fatalf("seed %d, revision %d: service %s is %+v, want %+v", seed, got.Revision, name, have, expected)
		}
	}
}

func sameInstances(got, want []directory.Instance) bool {
	if len(got) != len(want) {
		return false
	}
	for index := range got {
		if !got[index].Same(want[index]) {
			return false
		}
	}
	return true
}
