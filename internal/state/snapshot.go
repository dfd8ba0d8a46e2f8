package state

import (
	"cmp"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/codec"
	"github.com/thorntiller/thorntiller/internal/directory"
)

// MaxSnapshotBytes limits the size of a decompressed snapshot.
const MaxSnapshotBytes = 1 << 30

// Frozen is the state at one revision. It shares its objects with the State that it
// was taken from. It may be read while commands are applied to the State, because
// the State replaces objects and never modifies them.
type Frozen struct {
	revision   Revision
	nextShard  ShardID
	services   []*Service
	servers    []*Server
	shards     []*Shard
	routers    []*Router
	partitions []*RecordPartition
	plans      []Plan
	receipts   []*Receipt
	discarded  discardedIDs
	versions   []serverVersion
	directory  *directory.Directory
}

// encodedState is the encoding of State in a snapshot.
type encodedState struct {
	Revision  Revision
	NextShard ShardID
	Objects   []Object
	Plans     []Plan
	Versions  []serverVersion
	// Receipts are those of discarded plans, oldest first. Forgotten summarizes the
	// identifiers whose receipts were discarded too.
	Receipts  []*Receipt `msgpack:",omitempty"`
	Forgotten discardedIDs
	// Directory is the whole content of the directory.
	Directory directory.Content `msgpack:",omitempty"`
}

// serverVersion is the encoding of one assignment version in a snapshot.
type serverVersion struct {
	Server  ServerID
	Version Revision
}

// Freeze returns the current state. It copies only references, in time proportional
// to the number of objects.
func (s *State) Freeze() *Frozen {
	frozen := &Frozen{
		revision:   s.revision,
		nextShard:  s.nextShard,
		services:   references(s.services),
		servers:    references(s.servers),
		shards:     references(s.shards),
		routers:    references(s.routers),
		partitions: references(s.partitions),
		plans:      s.Plans(),
		receipts:   s.receipts.order[:len(s.receipts.order):len(s.receipts.order)],
		discarded:  s.receipts.discarded,
		versions:   make([]serverVersion, 0, len(s.assignmentVersions)),
		directory:  s.directory.Clone(),
	}
	for server, version := range s.assignmentVersions {
		frozen.versions = append(frozen.versions, serverVersion{Server: server, Version: version})
	}
	return frozen
}

func references[K comparable, V any](objects map[K]*V) []*V {
	list := make([]*V, 0, len(objects))
	for _, object := range objects {
		list = append(list, object)
	}
	return list
}

// Objects returns every routing-visible object in a fixed order. It must not be
// called concurrently, because it sorts the object lists in place.
func (f *Frozen) Objects() []Object {
	f.sort()
	objects := make([]Object, 0, len(f.services)+len(f.servers)+len(f.shards)+len(f.routers)+len(f.partitions))
	for _, service := range f.services {
		objects = append(objects, Object{Service: service})
	}
	for _, server := range f.servers {
		objects = append(objects, Object{Server: server})
	}
	for _, shard := range f.shards {
		objects = append(objects, Object{Shard: shard})
	}
	for _, router := range f.routers {
		objects = append(objects, Object{Router: router})
	}
	for _, partition := range f.partitions {
		objects = append(objects, Object{Partition: partition})
	}
	return objects
}

func (f *Frozen) sort() {
	slices.SortFunc(f.services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(f.shards, func(a, b *Shard) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range.First, b.Range.First))
	})
	slices.SortFunc(f.routers, func(a, b *Router) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(f.partitions, func(a, b *RecordPartition) int { return cmp.Compare(a.Number, b.Number) })
	slices.SortFunc(f.versions, func(a, b serverVersion) int { return cmp.Compare(a.Server, b.Server) })
}

// Encode returns the compressed snapshot. Equal states give equal bytes.
func (f *Frozen) Encode() ([]byte, error) {
	encoded, err := codec.Marshal(&encodedState{
		Revision:  f.revision,
		NextShard: f.nextShard,
		Objects:   f.Objects(),
		Plans:     f.plans,
		Versions:  f.versions,

		Receipts: f.receipts, Forgotten: f.discarded,
		Directory: f.directory.Since(0),
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode state")
	}
	writer, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "compress state")
	}
	return writer.EncodeAll(encoded, nil), eris.Wrap(writer.Close(), "compress state")
}

// Objects returns every routing-visible object in a fixed order.
func (s *State) Objects() []Object {
	return s.Freeze().Objects()
}

// Encode returns the compressed snapshot of the state.
func (s *State) Encode() ([]byte, error) {
	return s.Freeze().Encode()
}

// Decode restores a state from a compressed snapshot.
func Decode(compressed []byte) (*State, error) {
	reader, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxSnapshotBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress state")
	}
	defer reader.Close()
	encoded, err := reader.DecodeAll(compressed, nil)
	if err != nil {
		return nil, eris.Wrap(err, "decompress state")
	}
	var decoded encodedState
	if err := codec.Unmarshal(encoded, &decoded); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	return restore(decoded), nil
}

func restore(decoded encodedState) *State {
	restored := New()
	for _, object := range decoded.Objects {
		restored.put(object)
	}
	for _, plan := range decoded.Plans {
		restored.storePlan(plan)
	}
	for _, receipt := range decoded.Receipts {
		restored.receipts.add(receipt)
	}
	restored.receipts.discarded = decoded.Forgotten
	restored.directory.Merge(decoded.Directory)
	clear(restored.assignmentVersions)
	for _, version := range decoded.Versions {
		restored.assignmentVersions[version.Server] = version.Version
	}
	restored.differences = make(SectionDigests)
	restored.revision = decoded.Revision
	restored.nextShard = decoded.NextShard
	return restored
}
