package state

// CommonSection is the section that holds the routers and the record partitions.
const CommonSection = ServiceName("")

// SectionDigests holds a digest for each section of the routing table: the XOR of
// the digests of its objects. A section is a service with its servers and shards;
// CommonSection holds the objects that belong to no service. A section whose digest
// is zero is omitted.
type SectionDigests map[ServiceName]uint64

// Section returns the section that the object belongs to. It is not meaningful for
// a deleted server or shard that has only its identifier left.
func (o Object) Section() ServiceName {
	switch {
	case o.Service != nil:
		return o.Service.Name
	case o.Server != nil:
		return o.Server.Service
	case o.Shard != nil:
		return o.Shard.Service
	default:
		return CommonSection
	}
}

// toggle adds an object's digest to its section or removes it; with XOR both are the
// same operation.
func (d SectionDigests) toggle(object Object, digest uint64) {
	section := object.Section()
	d[section] ^= digest
	if d[section] == 0 {
		delete(d, section)
	}
}
