package gateway

import (
	"testing"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/reach"
)

// TestAllowedRegionsBindRouteAndTenant checks that both the route and the tenant must allow the region of an
// instance. An instance in a zone without a known region is allowed only if neither is restricted.
func TestAllowedRegionsBindRouteAndTenant(t *testing.T) {
	settings := config.DefaultGateway()
	settings.Regions = []config.ZoneRegion{{Zone: "a1", Region: "a"}, {Zone: "b1", Region: "b"}}
	g := &Gateway{regions: regionsOf(settings), evacuations: newEvacuations(testClock, time.Second), coldStarts: newColdStarts(warmUpBounds(settings)), signals: newInstanceSignals(), reach: reach.New(), relays: newRelays(settings, Dialect{}, nil, nil, nil), clock: testClock}
	instances := []*directory.Instance{
		{ID: "in-a", Zone: "a1", State: directory.InstanceReady}, {ID: "in-b", Zone: "b1", State: directory.InstanceReady},
		{ID: "anywhere", Zone: "x", State: directory.InstanceReady},
	}
	for _, c := range []struct {
		route, tenant []string
		want          []directory.InstanceID
	}{
		{nil, nil, []directory.InstanceID{"in-a", "in-b", "anywhere"}},
		{[]string{"a"}, nil, []directory.InstanceID{"in-a"}},
		{nil, []string{"b"}, []directory.InstanceID{"in-b"}},
		{[]string{"a", "b"}, []string{"b"}, []directory.InstanceID{"in-b"}},
		{[]string{"a"}, []string{"b"}, nil},
	} {
		current := &request{route: &directory.Route{AllowedRegions: c.route}, tenant: &directory.Tenant{AllowedRegions: c.tenant}}
		var got []directory.InstanceID
		direct, relayed := g.candidates(0, current, instances)
		for _, instance := range append(direct, relayed...) {
			got = append(got, instance.ID)
		}
		if len(got) != len(c.want) {
			t.Errorf("route %v, tenant %v: %v, want %v", c.route, c.tenant, got, c.want)
			continue
		}
		for index := range got {
			if got[index] != c.want[index] {
				t.Errorf("route %v, tenant %v: %v, want %v", c.route, c.tenant, got, c.want)
			}
		}
		if bound := current.regionBound(); bound != (len(c.route)+len(c.tenant) > 0) {
			t.Errorf("route %v, tenant %v: bound %v", c.route, c.tenant, bound)
		}
	}
}
