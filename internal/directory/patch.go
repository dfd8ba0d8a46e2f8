package directory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// PatchBody is the body of a call that changes items.
type PatchBody struct {
	Set    ItemSet `json:"set"`
	Remove Removal `json:"remove"`
}

// Removal lists the items that a call drops.
type Removal struct {
	Routes   []RemovedItem `json:"routes"`
	Services []RemovedItem `json:"services"`
	Tenants  []RemovedItem `json:"tenants"`
}

// RemovedItem identifies an item and the version at which it is dropped.
type RemovedItem struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Patch is a decoded call of an operator; each of its items was checked by itself.
type Patch struct {
	Items []Item `msgpack:"i"`
}

// latencySlackMs is the upper bound, itself excluded, of the excess of a route's target latency
// over its timeout.
const latencySlackMs = 60_000

// ReadPatch decodes and checks the body of a call that changes items. The error is of kind
// invalid_argument and names the item, the field and the remedy.
func ReadPatch(body []byte) (Patch, error) {
	var request PatchBody
	if err := decodeSingleValue(body, &request); err != nil {
		return Patch{}, fault.Newf(fault.InvalidArgument, "body: %v: send one whole JSON object", err)
	}
	var patch Patch
	for _, content := range request.Set.Routes {
		var route Route
		if err := decodeItem(content, "routes", &route); err != nil {
			return Patch{}, err
		}
		if err := checkRoute(route); err != nil {
			return Patch{}, err
		}
		patch.set(KindRoute, route.Name, route.Version, content)
	}
	for _, content := range request.Set.Services {
		var service Service
		if err := decodeItem(content, "services", &service); err != nil {
			return Patch{}, err
		}
		if service.Name == "" {
			return Patch{}, fault.New(fault.InvalidArgument, "services: name is empty: give the service a name")
		}
		patch.set(KindService, service.Name, service.Version, content)
	}
	for _, content := range request.Set.Tenants {
		var tenant Tenant
		if err := decodeItem(content, "tenants", &tenant); err != nil {
			return Patch{}, err
		}
		if err := checkTenant(tenant); err != nil {
			return Patch{}, err
		}
		patch.set(KindTenant, tenant.Name, tenant.Version, content)
	}
	if len(request.Set.Limits) > 0 && !bytes.Equal(request.Set.Limits, []byte("null")) {
		var limits Limits
		if err := decodeItem(request.Set.Limits, limitsName, &limits); err != nil {
			return Patch{}, err
		}
		patch.set(KindLimits, limitsName, limits.Version, request.Set.Limits)
	}
	patch.drop(KindRoute, request.Remove.Routes)
	patch.drop(KindService, request.Remove.Services)
	patch.drop(KindTenant, request.Remove.Tenants)
	return patch, nil
}

func (p *Patch) set(kind ItemKind, name string, version uint64, content json.RawMessage) {
	p.Items = append(p.Items, Item{Key: ItemKey{Kind: kind, Name: name}, Version: version, Content: bytes.Clone(content)})
}

func (p *Patch) drop(kind ItemKind, removed []RemovedItem) {
	for _, item := range removed {
		p.Items = append(p.Items, Item{Key: ItemKey{Kind: kind, Name: item.Name}, Version: item.Version, Dropped: true})
	}
}

// decodeSingleValue decodes one JSON value and rejects trailing data.
func decodeSingleValue(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}

func decodeItem(content json.RawMessage, list string, target any) error {
	if err := json.Unmarshal(content, target); err != nil {
		return fault.Newf(fault.InvalidArgument, "%s: %v: see docs/CONFIGURATION.md for the fields", list, err)
	}
	return nil
}

// checkRoute validates a route by itself, without the other items.
func checkRoute(route Route) error {
	invalid := func(field, problem string) error {
		return fault.Newf(fault.InvalidArgument, "routes: route %q: %s %s", route.Name, field, problem)
	}
	switch {
	case route.Name == "":
		return invalid("name", "is empty: give the route a name")
	case strings.TrimSpace(route.Host) == "":
		return invalid("host", "is empty: give the host name that callers use")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalid("prefix", "must begin and end with a slash")
	case !route.Kind.Known():
		return invalid("kind", fmt.Sprintf("is %.32q: use %s, %s or %s", route.Kind, Repeatable, AtMostOnce, Download))
	case route.MaxAttempts < 1:
		return invalid("max_attempts", "is below 1: allow one server at least")
	case route.TimeoutMs < 0:
		return invalid("timeout_ms", "is below 0: give a time, or 0 for none")
	case route.TimeoutMs > 0 && route.TargetLatencyMs >= route.TimeoutMs+latencySlackMs:
		return invalid("target_latency_ms", "lies a minute or more above timeout_ms: lower it")
	case len(route.Split) == 0 && route.Service == "":
		return invalid("service", "is missing: name a service, or give a split")
	}
	return checkSplit(route, invalid)
}

func checkSplit(route Route, invalid func(field, problem string) error) error {
	if len(route.Split) == 0 {
		return nil
	}
	total := 0.0
	for _, share := range route.Split {
		if share.Service == "" {
			return invalid("split", "has a part without a service: name it")
		}
		if share.Weight < 0 {
			return invalid("split", "has a weight below 0: use 0 or more")
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid("split", "has weights that sum to 0: give a part a weight")
	}
	return nil
}
