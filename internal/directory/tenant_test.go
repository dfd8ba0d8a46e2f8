package directory

import (
	"strings"
	"testing"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func applyBody(t *testing.T, view *Directory, revision Revision, body string) error {
	t.Helper()
	patch, err := ReadPatch([]byte(body))
	if err != nil {
		return err
	}
	return view.Apply(revision, Command{Patch: &patch})
}

// TestTenantsAreCheckedAndReadBack checks that a tenant is read back as it was sent, that an
// invalid one changes nothing, and that a key can move between tenants only within one call.
func TestTenantsAreCheckedAndReadBack(t *testing.T) {
	view := New()
	first := `{"set":{"tenants":[{"name":"a","api_keys":["k1","k2"],"priority":0,"rate_per_second":3.5,"burst":7,"version":1},{"name":"b","api_keys":["k3"],"version":1}]}}`
	if err := applyBody(t, view, 1, first); err != nil {
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
		err := applyBody(t, view, 2, wrong)
		if !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: %v", wrong, err)
			continue
		}
		if strings.Contains(err.Error(), "k2") || strings.Contains(err.Error(), "k9") {
			t.Errorf("the error discloses an API key: %v", err)
		}
	}
	if got := len(view.ItemSet().Tenants); got != 2 || view.Revision() != 1 {
		t.Errorf("%d tenants at revision %d after invalid calls", got, view.Revision())
	}
	movedKey := `{"set":{"tenants":[{"name":"a","api_keys":["k1"],"version":2},{"name":"b","api_keys":["k3","k2"],"version":2}]}}`
	if err := applyBody(t, view, 3, movedKey); err != nil {
		t.Errorf("a key that moves to another tenant within one call: %v", err)
	}
	if err := applyBody(t, view, 4, first); err != nil {
		t.Errorf("a repeated command: %v", err)
	}
	if got := string(view.ItemSet().Tenants[1]); got != `{"name":"b","api_keys":["k3","k2"],"version":2}` {
		t.Errorf("tenant b is read back as %s", got)
	}
	if err := applyBody(t, view, 5, `{"remove":{"tenants":[{"name":"b","version":3}]}}`); err != nil {
		t.Fatal(err)
	}
	if got := len(view.ItemSet().Tenants); got != 1 {
		t.Errorf("%d tenants after one was dropped", got)
	}
}

// TestGatewaysGetNoAPIKeys checks that API keys reach gateways neither from a controller nor from
// another gateway, that the page for people does not show them, and that the hashes do not change
// on the way.
func TestGatewaysGetNoAPIKeys(t *testing.T) {
	view := New()
	if err := applyBody(t, view, 1, `{"set":{"tenants":[{"name":"a","api_keys":["secret-1","secret-2"],"version":1}]}}`); err != nil {
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
		if err := next.MergeRouting(changes); err != nil {
			t.Fatal(err)
		}
		view = next
	}
	if shown := string(view.Since(0).Redacted().Items[0].Content); strings.Contains(shown, "secret") {
		t.Errorf("shown to people: %s", shown)
	}
}

// FuzzPatch checks that a patch that can be decoded either is applied completely and reaches a
// gateway, or is rejected without any change.
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
				t.Error("a rejected patch changed the directory")
			}
			return
		}
		gateway := New()
		if err := gateway.MergeRouting(view.RoutingSince(0)); err != nil {
			t.Error(err)
		}
		if got, want := len(gateway.Items()), len(view.Items()); got != want {
			t.Errorf("a gateway has %d items of %d", got, want)
		}
	})
}
