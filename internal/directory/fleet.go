package directory

import "slices"

// Fleet is what the gateways know of each other.
type Fleet struct {
	// Gateways is how many share the instances: what an instance may get from all of them
	// together is divided by their number.
	Gateways int `msgpack:"g"`
	// Keepers are the gateways that give out the places of instances.
	Keepers  []Keeper `msgpack:"k,omitempty"`
	Revision Revision `msgpack:"r"`
}

// Keeper is a gateway that gives out the places of instances.
type Keeper struct {
	// Address is where other gateways ask it, IP:port.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Gateways returns how many gateways share the instances, zero while it is not known.
func (d *Directory) Gateways() int { return d.fleet.Gateways }

// Keepers returns the gateways that give out the places of instances.
func (d *Directory) Keepers() []Keeper { return slices.Clone(d.fleet.Keepers) }

func (d *Directory) applyGateways(revision Revision, gateways int) {
	if d.fleet.Gateways == gateways {
		return
	}
	d.fleet.Gateways, d.fleet.Revision = gateways, revision
	d.revision = revision
}

func (d *Directory) applyKeepers(revision Revision, keepers []Keeper) {
	d.fleet.Keepers, d.fleet.Revision = keepers, revision
	d.revision = revision
}
