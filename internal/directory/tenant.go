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

// Tenant is a customer whose callers authenticate with one of its API keys.
type Tenant struct {
	Name string `json:"name"`
	// APIKeys are as the operator sent them. Gateways get KeyHashes instead.
	APIKeys   []string  `json:"api_keys,omitempty"`
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Priority overrides that of the route; 0 is the highest, nil keeps the route's.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond bounds the requests of all callers of the tenant through all gateways together,
	// and Burst is the number of additional requests that may arrive at once; a rate of zero means
	// no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// AllowedRegions restrict the servers that may get the requests; empty for no restriction.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Version        uint64   `json:"version"`
}

// Limited reports whether the tenant has a rate limit.
func (t Tenant) Limited() bool { return t.RatePerSecond > 0 }

// keyHashBytes is the length of the SHA-256 prefix that identifies an API key: the probability that
// two of a million keys share it is below 1e-26.
const keyHashBytes = 16

// KeyHash identifies an API key, which cannot be derived from it.
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

// Hashes returns the hashes of all API keys of the tenant.
func (t Tenant) Hashes() []KeyHash {
	hashes := t.KeyHashes
	for _, key := range t.APIKeys {
		hashes = append(hashes, HashKey(key))
	}
	return hashes
}

// forGateways returns the item without API keys: these stay with the controllers, gateways get
// their hashes.
func (i Item) forGateways() Item {
	if i.Key.Kind != KindTenant || i.Dropped {
		return i
	}
	tenant, err := i.Tenant()
	if err != nil {
		// An item that cannot be decoded may contain API keys, so none of it is passed on.
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
	var redacted []Item
	for _, item := range items {
		redacted = append(redacted, item.forGateways())
	}
	return redacted
}

// Redacted returns the content without API keys, for display to people.
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

// checkSharedKeys rejects a patch after which two tenants share an API key: the key would not
// identify the tenant of a request. The error does not disclose the key.
func (d *Directory) checkSharedKeys(replacements map[ItemKey]Item) error {
	changed := false
	for key, item := range replacements {
		changed = changed || key.Kind == KindTenant && !item.Dropped
	}
	if !changed {
		return nil
	}
	owners := make(map[KeyHash]string)
	claimKeys := func(item Item) error {
		tenant, err := item.Tenant()
		if err != nil {
			return fault.Newf(fault.InvalidArgument, "tenants: tenant %.64q: %v", item.Key.Name, err)
		}
		for _, hash := range tenant.Hashes() {
			if owner, found := owners[hash]; found && owner != tenant.Name {
				return fault.Newf(fault.InvalidArgument,
					"tenants: tenants %.64q and %.64q share an API key: take it from one of them in the same call", owner, tenant.Name)
			}
			owners[hash] = tenant.Name
		}
		return nil
	}
	for key, current := range d.items {
		if _, replaced := replacements[key]; replaced || key.Kind != KindTenant || current.Dropped {
			continue
		}
		if err := claimKeys(*current); err != nil {
			return err
		}
	}
	for key, item := range replacements {
		if key.Kind != KindTenant || item.Dropped {
			continue
		}
		if err := claimKeys(item); err != nil {
			return err
		}
	}
	return nil
}
