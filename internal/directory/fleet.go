package directory

import "slices"

// Fleet describes the gateways that share the instances.
type Fleet struct {
	// Gateways is their number: the capacity of an instance for all gateways is divided by it. Zero
	// while it is not known.
	Gateways int `msgpack:"g"`
	// Keepers are the gateways that allocate slots of instances.
	Keepers []Keeper `msgpack:"k,omitempty"`
	// Relays are gateways that pass requests on to instances for others.
	Relays   []Relay  `msgpack:"y,omitempty"`
	Revision Revision `msgpack:"r"`
}

// Keeper is a gateway that allocates slots of instances; see package room.
type Keeper struct {
	// Address is the IP:port that accepts the requests of other gateways for slots.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Relay is a gateway that passes requests on to instances for gateways that cannot reach these; see package
// relay.
type Relay struct {
	// Address is the IP:port that accepts the requests of other gateways.
	Address string `msgpack:"a"`
	Zone    string `msgpack:"z"`
}

// Gateways returns the number of gateways that share the instances; zero while it is not known.
func (d *Directory) Gateways() int { return d.fleet.Gateways }

// Keepers returns the gateways that allocate slots of instances.
func (d *Directory) Keepers() []Keeper { return slices.Clone(d.fleet.Keepers) }

// Relays returns the gateways that pass requests on for others.
func (d *Directory) Relays() []Relay { return slices.Clone(d.fleet.Relays) }

func (d *Directory) applyRelays(revision Revision, relays []Relay) {
	d.fleet.Relays, d.fleet.Revision = relays, revision
	d.revision = revision
}

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
