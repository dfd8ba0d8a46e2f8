package directory

import "slices"

// Fleet describes the gateways that share the instances.
type Fleet struct {
	// Gateways is their number: the capacity of an instance for all gateways is divided by it. Zero
	// while it is not known.
	Gateways int `msgpack:"g"`
	// Keepers are the gateways that allocate slots of instances.
	Keepers  []Keeper `msgpack:"k,omitempty"`
	Revision Revision `msgpack:"r"`
}

// Keeper is a gateway that allocates slots of instances; see package room.
type Keeper struct {
	// Address is the IP:port that accepts the requests of other gateways for slots.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Gateways returns the number of gateways that share the instances; zero while it is not known.
func (d *Directory) Gateways() int { return d.fleet.Gateways }

// Keepers returns the gateways that allocate slots of instances.
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
