package directory

import (
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func applied(t *testing.T, view *Directory, revision Revision, body string) error {
	t.Helper()
	patch, err := ReadPatch([]byte(body))
	if err != nil {
		return err
	}
	return view.Apply(revision, Command{Patch: &patch})
}

// TestTenantsAreCheckedAndReadBack: a tenant is read back as it was sent, an invalid one
// changes nothing, and keys move between tenants within one call only.
func TestTenantsAreCheckedAndReadBack(t *testing.T) {
	view := New()
	first := `{"set":{"tenants":[{"name":"a","api_keys":["k1","k2"],"priority":0,"rate_per_second":3.5,"burst":7,"version":1},{"name":"b","api_keys":["k3"],"version":1}]}}`
	if err := applied(t, view, 1, first); err != nil {
		t.Fatal(err)
	}
	for _, wrong := range []string{
		`{"set":{"tenants":[{"name":"","api_keys":["k9"],"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","rate_per_second":-1,"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","burst":-1,"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","api_keys":[""],"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","api_keys":"k9","version":2}]}}`,
		`{"set":{"tenants":[{"name":"c\r\nX: y","api_keys":["k9"],"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","key_hashes":["AAAAAAAAAAAAAAAAAAAAAA"],"version":2}]}}`,
		`{"set":{"tenants":[{"name":"b","api_keys":["k3","k2"],"version":2}]}}`,
		`{"set":{"tenants":[{"name":"c","api_keys":["k9"],"version":2},{"name":"d","api_keys":["k9"],"version":2}]}}`,
	} {
		err := applied(t, view, 2, wrong)
		if !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: %v", wrong, err)
			continue
		}
		if strings.Contains(err.Error(), "k2") || strings.Contains(err.Error(), "k9") {
			t.Errorf("the error tells an API key: %v", err)
		}
	}
	if got := len(view.ItemSet().Tenants); got != 2 || view.Revision() != 1 {
		t.Errorf("%d tenants at revision %d after invalid calls", got, view.Revision())
	}
	passedOn := `{"set":{"tenants":[{"name":"a","api_keys":["k1"],"version":2},{"name":"b","api_keys":["k3","k2"],"version":2}]}}`
	if err := applied(t, view, 3, passedOn); err != nil {
		t.Errorf("a key that passes to another tenant within a call: %v", err)
	}
	if err := applied(t, view, 4, first); err != nil {
		t.Errorf("an order that comes again: %v", err)
	}
	if got := string(view.ItemSet().Tenants[1]); got != `{"name":"b","api_keys":["k3","k2"],"version":2}` {
		t.Errorf("tenant b is read back as %s", got)
	}
	if err := applied(t, view, 5, `{"remove":{"tenants":[{"name":"b","version":3}]}}`); err != nil {
		t.Fatal(err)
	}
	if got := len(view.ItemSet().Tenants); got != 1 {
		t.Errorf("%d tenants after one was dropped", got)
	}
}

// TestGatewaysGetNoAPIKeys: neither from a controller nor from another gateway, nor does the
// page for people show them; the hashes stay the same on the way.
func TestGatewaysGetNoAPIKeys(t *testing.T) {
	view := New()
	if err := applied(t, view, 1, `{"set":{"tenants":[{"name":"a","api_keys":["secret-1","secret-2"],"version":1}]}}`); err != nil {
		t.Fatal(err)
	}
	for hop := range 3 {
		changes := view.RoutingSince(0)
		content := string(changes.Items[0].Content)
		if strings.Contains(content, "secret") {
			t.Errorf("hop %d: %s", hop, content)
		}
		tenant, err := changes.Items[0].Tenant()
		if err != nil {
			t.Fatal(err)
		}
		if hashes := tenant.Hashes(); len(hashes) != 2 || hashes[0] != HashKey("secret-1") || hashes[1] != HashKey("secret-2") {
			t.Errorf("hop %d: hashes %v", hop, hashes)
		}
		next := New()
		if err := next.TakeRouting(changes); err != nil {
			t.Fatal(err)
		}
		view = next
	}
	if shown := string(view.Since(0).Redacted().Items[0].Content); strings.Contains(shown, "secret") {
		t.Errorf("shown to people: %s", shown)
	}
}

// FuzzPatch: a call that is taken can be applied or is refused for a reason, and what was taken
// is read back.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"set":{"routes":[{"name":"r","host":"h","prefix":"/","kind":"download","service":"s","max_attempts":1,"version":1}],"services":[{"name":"s","version":1}],"tenants":[{"name":"t","api_keys":["k"],"rate_per_second":2,"version":1}],"limits":{"version":1}},"remove":{"tenants":[{"name":"x","version":2}]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		patch, err := ReadPatch(body)
		if err != nil {
			return
		}
		view := New()
		if view.Apply(1, Command{Patch: &patch}) != nil {
			if view.Configured() {
				t.Error("a call that was refused left something behind")
			}
			return
		}
		gateway := New()
		if err := gateway.TakeRouting(view.RoutingSince(0)); err != nil {
			t.Error(err)
		}
		if got, want := len(gateway.Items()), len(view.Items()); got != want {
			t.Errorf("a gateway has %d items of %d", got, want)
		}
	})
}
