package routing

import (
	"fmt"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func tenantsOf(bodies ...string) string {
	list := ""
	for index, body := range bodies {
		if index > 0 {
			list += ","
		}
		list += body
	}
	return `{"set":{"tenants":[` + list + `]}}`
}

// TestKeysFollowTheItems: a key that is revoked, or passes to another tenant, is found so in
// the next table; taking the last tenant away lets nobody in without a key.
func TestKeysFollowTheItems(t *testing.T) {
	table, view := build(t, nil, set(route("x", "a.example", "/x/", 1)))
	if table.RequiresKeys() {
		t.Error("keys are required before any tenant is configured")
	}
	apply := func(revision directory.Revision, body string) {
		t.Helper()
		patch, err := directory.ReadPatch([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if err := view.Apply(revision, directory.Command{Patch: &patch}); err != nil {
			t.Fatal(err)
		}
		table = Build(view, table)
	}
	owner := func(key string) string {
		tenant, found := table.Tenant(key)
		if !found {
			return ""
		}
		return tenant.Name
	}
	apply(10, tenantsOf(`{"name":"a","api_keys":["k1","k2"],"version":1}`, `{"name":"b","api_keys":["k3"],"version":1}`))
	if !table.RequiresKeys() || owner("k1") != "a" || owner("k3") != "b" || owner("") != "" || owner("k4") != "" {
		t.Errorf("owners %q %q %q", owner("k1"), owner("k3"), owner("k4"))
	}
	apply(11, tenantsOf(`{"name":"a","api_keys":["k1"],"version":2}`, `{"name":"b","api_keys":["k3","k2"],"version":2}`))
	if owner("k2") != "b" || owner("k1") != "a" {
		t.Errorf("after the key passed on: k2 is of %q, k1 of %q", owner("k2"), owner("k1"))
	}
	apply(12, tenantsOf(`{"name":"a","api_keys":[],"version":3}`))
	if owner("k1") != "" {
		t.Errorf("a revoked key is of %q", owner("k1"))
	}
	apply(13, `{"remove":{"tenants":[{"name":"a","version":9},{"name":"b","version":9}]}}`)
	if !table.RequiresKeys() || owner("k3") != "" {
		t.Error("once the last tenant is gone, requests must need a key still")
	}
}

// TestTenantsPriorityGoesFirst: before that of the route, which decides among the requests
// of equal tenants.
func TestTenantsPriorityGoesFirst(t *testing.T) {
	zero, one := 0, 1
	gold, plain, none := &directory.Tenant{Name: "gold", Priority: &zero}, &directory.Tenant{Name: "plain", Priority: &one}, &directory.Tenant{Name: "none"}
	urgent, patient := &directory.Route{Name: "u", Priority: 1}, &directory.Route{Name: "p", Priority: 7}
	routes := map[string]parsedRoute{"u": {route: urgent}, "p": {route: patient}}
	tenants := make(map[string]parsedTenant)
	for _, tenant := range []*directory.Tenant{gold, plain, none} {
		tenants[tenant.Name] = parsedTenant{tenant: tenant}
	}
	r := newRanks(routes, tenants)
	last := 2.0
	for _, each := range []struct {
		tenant *directory.Tenant
		route  *directory.Route
	}{{gold, urgent}, {gold, patient}, {plain, urgent}, {plain, patient}, {none, urgent}, {none, patient}} {
		got := r.urgency(each.route, each.tenant)
		if got >= last || got < 0 || got > 1 {
			t.Errorf("%s on %s: urgency %.3f after %.3f", each.tenant.Name, each.route.Name, got, last)
		}
		last = got
	}
	alone := newRanks(routes, nil)
	if alone.urgency(urgent, nil) != 1 || alone.urgency(patient, nil) != 0 {
		t.Error("without tenants the priorities of routes decide alone")
	}
}

// BenchmarkTenantOfKey looks a key up among 100,000.
func BenchmarkTenantOfKey(b *testing.B) {
	table := &Table{tenants: newTenants()}
	const keys = 100_000
	for index := range keys {
		tenant := &directory.Tenant{Name: fmt.Sprint(index)}
		table.tenants.byKey[directory.HashKey(fmt.Sprint("key-", index))] = tenant
	}
	for index := 0; b.Loop(); index++ {
		if _, found := table.Tenant(fmt.Sprint("key-", index%keys)); !found {
			b.Fatal("not found")
		}
	}
}
