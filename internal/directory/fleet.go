package directory

// Fleet is how many gateways share the instances: what an instance may get from all of
// them together is divided by their number.
type Fleet struct {
	Gateways int      `msgpack:"g"`
	Revision Revision `msgpack:"r"`
}

// Gateways returns how many gateways share the instances, zero while it is not known.
func (d *Directory) Gateways() int { return d.fleet.Gateways }

func (d *Directory) applyGateways(revision Revision, gateways int) {
	if d.fleet.Gateways == gateways {
		return
	}
	d.fleet = Fleet{Gateways: gateways, Revision: revision}
	d.revision = revision
}
