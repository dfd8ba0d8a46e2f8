package routing

import "github.com/thorntiller/thorntiller/internal/directory"

// tenantIndex finds the tenants of the directory by name and by the hash of
// an API key.
type tenantIndex struct {
	// configured is true once any tenant has been configured, even if it was dropped later:
	// requests need an API key from then on, so that removing the last tenant does not open
	// the gateway to requests without a key.
	configured bool
	byName     map[string]parsedTenant
	byKey      map[directory.KeyHash]*directory.Tenant
}

type parsedTenant struct {
	revision directory.Revision
	tenant   *directory.Tenant
	hashes   []directory.KeyHash
}

func newTenantIndex() tenantIndex {
	return tenantIndex{byName: make(map[string]parsedTenant), byKey: make(map[directory.KeyHash]*directory.Tenant)}
}

// add adds an item of the kind tenant. A tenant that cannot be parsed has no keys.
func (t *tenantIndex) add(item directory.Item, earlier *Table) {
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
