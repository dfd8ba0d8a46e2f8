package routing

import "github.com/thorntiller/thorntiller/internal/directory"

// tenants are those of the directory.
type tenants struct {
	// configured is true once a tenant was configured, also if it is gone by now: requests
	// need an API key from then on, so that taking the last tenant away lets nobody in.
	configured bool
	byName     map[string]parsedTenant
	byKey      map[directory.KeyHash]*directory.Tenant
}

type parsedTenant struct {
	revision directory.Revision
	tenant   *directory.Tenant
	hashes   []directory.KeyHash
}

func newTenants() tenants {
	return tenants{byName: make(map[string]parsedTenant), byKey: make(map[directory.KeyHash]*directory.Tenant)}
}

// add adds an item of the kind tenant. One that cannot be read has no keys.
func (t *tenants) add(item directory.Item, earlier *Table) {
	t.configured = true
	if item.Dropped {
		return
	}
	parsed := parsedTenant{revision: item.Revision}
	if earlier != nil && earlier.tenants.byName[item.Key.Name].revision == item.Revision {
		parsed = earlier.tenants.byName[item.Key.Name]
	}
	if parsed.tenant == nil {
		tenant, err := item.Tenant()
		if err != nil {
			return
		}
		parsed.tenant, parsed.hashes = &tenant, tenant.Hashes()
	}
	t.byName[item.Key.Name] = parsed
	for _, hash := range parsed.hashes {
		t.byKey[hash] = parsed.tenant
	}
}

// RequiresKeys reports whether requests need an API key of a tenant.
func (t *Table) RequiresKeys() bool { return t.tenants.configured }

// Tenant returns the tenant that an API key belongs to.
func (t *Table) Tenant(key string) (*directory.Tenant, bool) {
	tenant, found := t.tenants.byKey[directory.HashKey(key)]
	return tenant, found
}
