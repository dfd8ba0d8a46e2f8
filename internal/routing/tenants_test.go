package routing

import (
	"fmt"
	"testing"

	"github.com/thorntiller/thorntiller/internal/directory"
)

func setTenantsPatch(bodies ...string) string {
	list := ""
	for index, body := range bodies {
		if index > 0 {
			list += ","
		}
		list += body
	}
	return `{"set":{"tenants":[` + list + `]}}`
}

// TestKeysFollowTheItems: the next table reflects a key that is revoked or moves to another
// tenant; removing the last tenant does not admit requests without a key.
func TestKeysFollowTheItems(t *testing.T) {
	table, view := buildTable(t, nil, setPatch(route("x", "a.example", "/x/", 1)))
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
	tenantOf := func(key string) string {
		tenant, found := table.Tenant(key)
		if !found {
			return ""
		}
		return tenant.Name
	}
	apply(10, setTenantsPatch(`{"name":"a","api_keys":["k1","k2"],"version":1}`, `{"name":"b","api_keys":["k3"],"version":1}`))
	if !table.RequiresKeys() || tenantOf("k1") != "a" || tenantOf("k3") != "b" || tenantOf("") != "" || tenantOf("k4") != "" {
		t.Errorf("k1 belongs to %q, k3 to %q, k4 to %q", tenantOf("k1"), tenantOf("k3"), tenantOf("k4"))
	}
	apply(11, setTenantsPatch(`{"name":"a","api_keys":["k1"],"version":2}`, `{"name":"b","api_keys":["k3","k2"],"version":2}`))
	if tenantOf("k2") != "b" || tenantOf("k1") != "a" {
		t.Errorf("after the key moved: k2 belongs to %q, k1 to %q", tenantOf("k2"), tenantOf("k1"))
	}
	apply(12, setTenantsPatch(`{"name":"a","api_keys":[],"version":3}`))
	if tenantOf("k1") != "" {
		t.Errorf("a revoked key belongs to %q", tenantOf("k1"))
	}
	apply(13, `{"remove":{"tenants":[{"name":"a","version":9},{"name":"b","version":9}]}}`)
	if !table.RequiresKeys() || tenantOf("k3") != "" {
		t.Error("requests must still need a key after the last tenant was removed")
	}
}

// TestTenantsPriorityGoesFirst: the tenant's priority takes precedence over the route's, which
// orders only requests whose tenants have the same priority.
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
	previous := 2.0
	for _, each := range []struct {
		tenant *directory.Tenant
		route  *directory.Route
	}{{gold, urgent}, {gold, patient}, {plain, urgent}, {plain, patient}, {none, urgent}, {none, patient}} {
		got := r.urgency(each.route, each.tenant)
		if got >= previous || got < 0 || got > 1 {
			t.Errorf("%s on %s: urgency %.3f after %.3f", each.tenant.Name, each.route.Name, got, previous)
		}
		previous = got
	}
	alone := newRanks(routes, nil)
	if alone.urgency(urgent, nil) != 1 || alone.urgency(patient, nil) != 0 {
		t.Error("without tenants, only the priorities of routes must count")
	}
}

// BenchmarkTenantOfKey looks up a key among 100,000.
func BenchmarkTenantOfKey(b *testing.B) {
	table := &Table{tenants: newTenantIndex()}
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
