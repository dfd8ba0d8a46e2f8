package directory

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"math"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// Tenant is a customer whose callers show one of its API keys.
type Tenant struct {
	Name string `json:"name"`
	// APIKeys are as the operator gave them. Gateways get KeyHashes in their place.
	APIKeys   []string  `json:"api_keys,omitempty"`
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Priority goes before that of the route; 0 comes first, nil for none of its own.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond bounds the requests of all callers of the tenant through all gateways
	// together, and Burst is how many more may come at once; a rate of zero is no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// AllowedRegions are the only ones whose servers may get the requests; empty for all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Version        uint64   `json:"version"`
}

// Limited reports whether the tenant's requests are bounded.
func (t Tenant) Limited() bool { return t.RatePerSecond > 0 }

// keyHashBytes is the part of a SHA-256 hash by which API keys are known: two of a million
// keys share it with a probability below 1e-26.
const keyHashBytes = 16

// KeyHash stands for an API key, which cannot be found from it.
type KeyHash [keyHashBytes]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	whole := sha256.Sum256([]byte(key))
	return KeyHash(whole[:keyHashBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return eris.Wrap(err, "hash of an API key")
	}
	if len(decoded) != keyHashBytes {
		return eris.Errorf("hash of an API key has %d bytes instead of %d", len(decoded), keyHashBytes)
	}
	*h = KeyHash(decoded)
	return nil
}

// Hashes returns the hashes of the tenant's keys.
func (t Tenant) Hashes() []KeyHash {
	hashes := t.KeyHashes
	for _, key := range t.APIKeys {
		hashes = append(hashes, HashKey(key))
	}
	return hashes
}

// forGateways returns the item without what gateways need not know: API keys stay with the
// controllers, gateways get their hashes.
func (i Item) forGateways() Item {
	if i.Key.Kind != KindTenant || i.Dropped {
		return i
	}
	tenant, err := i.Tenant()
	if err != nil {
		// Nothing of an item that cannot be read is passed on: it may hold keys.
		i.Content = nil
		return i
	}
	tenant.KeyHashes, tenant.APIKeys = tenant.Hashes(), nil
	if i.Content, err = json.Marshal(tenant); err != nil {
		i.Content = nil
	}
	return i
}

func itemsForGateways(items []Item) []Item {
	var passedOn []Item
	for _, item := range items {
		passedOn = append(passedOn, item.forGateways())
	}
	return passedOn
}

// Redacted returns the content without API keys, for people.
func (c Content) Redacted() Content {
	c.Items = itemsForGateways(c.Items)
	return c
}

func checkTenant(tenant Tenant) error {
	invalid := func(field, problem string) error {
		return fault.Newf(fault.InvalidArgument, "tenants: tenant %.64q: %s %s", tenant.Name, field, problem)
	}
	switch {
	case tenant.Name == "":
		return invalid("name", "is empty: give the tenant a name")
	case strings.ContainsAny(tenant.Name, "\r\n\x00"):
		return invalid("name", "has characters that a header cannot carry: use printable ones")
	case tenant.RatePerSecond < 0 || math.IsNaN(tenant.RatePerSecond):
		return invalid("rate_per_second", "is below 0: give a rate, or 0 for no limit")
	case tenant.Burst < 0 || math.IsNaN(tenant.Burst):
		return invalid("burst", "is below 0: give a number of requests")
	case len(tenant.KeyHashes) > 0:
		return invalid("key_hashes", "cannot be set: give api_keys")
	}
	for _, key := range tenant.APIKeys {
		if key == "" {
			return invalid("api_keys", "has an empty key: leave it out")
		}
	}
	return nil
}

// checkSharedKeys refuses a patch after which two tenants have the same key: it would not
// tell whose requests they are. The error does not name the key.
func (d *Directory) checkSharedKeys(after map[ItemKey]Item) error {
	changed := false
	for key, item := range after {
		changed = changed || key.Kind == KindTenant && !item.Dropped
	}
	if !changed {
		return nil
	}
	owners := make(map[KeyHash]string)
	take := func(item Item) error {
		tenant, err := item.Tenant()
		if err != nil {
			return fault.Newf(fault.InvalidArgument, "tenants: tenant %.64q: %v", item.Key.Name, err)
		}
		for _, hash := range tenant.Hashes() {
			if owner, taken := owners[hash]; taken && owner != tenant.Name {
				return fault.Newf(fault.InvalidArgument,
					"tenants: tenants %.64q and %.64q share an API key: take it from one of them in the same call", owner, tenant.Name)
			}
			owners[hash] = tenant.Name
		}
		return nil
	}
	for key, held := range d.items {
		if _, replaced := after[key]; replaced || key.Kind != KindTenant || held.Dropped {
			continue
		}
		if err := take(*held); err != nil {
			return err
		}
	}
	for key, item := range after {
		if key.Kind != KindTenant || item.Dropped {
			continue
		}
		if err := take(item); err != nil {
			return err
		}
	}
	return nil
}
