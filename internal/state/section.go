package state

// CommonSection names the section of the routers and the record partitions.
const CommonSection = ServiceName("")

// SectionDigests holds a digest for each section of the routing table: the
// exclusive-or of the digests of its objects. A section is a service with its
// servers and shards; CommonSection is what belongs to none. A section whose
// digest is zero is left out.
type SectionDigests map[ServiceName]uint64

// Section returns the section that the object belongs to. It is not known of a
// deleted server or shard, of which only the identifier is left.
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

// change takes an object's digest into its section, or out of it.
func (d SectionDigests) change(object Object, digest uint64) {
	section := object.Section()
	d[section] ^= digest
	if d[section] == 0 {
		delete(d, section)
	}
}
