package directory

import (
	"cmp"
	"slices"
)

// Throttle limits the requests for one hot key to what its owner can serve.
type Throttle struct {
	Key Key `msgpack:"k"`
	// PerMille is how many of a thousand requests are admitted.
	PerMille int `msgpack:"p"`
}

// Throttles has the throttles of one service, sorted by key.
type Throttles struct {
	Service  string     `msgpack:"s"`
	Keys     []Throttle `msgpack:"k,omitempty"`
	Revision Revision   `msgpack:"r"`
}

// allPerMille admits all requests.
const allPerMille = 1000

// Admitted returns the share of the requests for a key that are admitted, from 0 to 1.
func (t Throttles) Admitted(key Key) float64 {
	position, found := slices.BinarySearchFunc(t.Keys, key, func(throttle Throttle, key Key) int { return cmp.Compare(throttle.Key, key) })
	if !found {
		return 1
	}
	return float64(t.Keys[position].PerMille) / allPerMille
}

// Throttles returns the throttles of a service, empty if it has none.
func (d *Directory) Throttles(service string) Throttles {
	throttles, found := d.throttles[service]
	if !found {
		return Throttles{Service: service}
	}
	return *throttles
}

// applyThrottles replaces all throttles of a service.
func (d *Directory) applyThrottles(revision Revision, throttles Throttles) {
	throttles.Revision = revision
	d.throttles[throttles.Service] = &throttles
	d.revision = revision
}
