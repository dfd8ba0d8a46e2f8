package table

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

var modelServices = []state.ServiceName{"ledger", "other"}

// shardModel is a model of shards only, in a plain map, to which random changes
// are made.
type shardModel struct {
	*model
	random *rand.Rand
	nextID state.ShardID
}

func newShardModel(random *rand.Rand, count int) *shardModel {
	m := &shardModel{model: &model{objects: make(map[string]state.Object), revision: 1}, random: random, nextID: 1}
	const width = 1 << 40
	for index := range count {
		first := uint64(index) * width
		for _, name := range modelServices {
			last := first + width - 1
			if random.IntN(20) == 0 {
				last -= 1 + random.Uint64N(width/2) // leave a gap after the range
			}
			object := m.shard(name, first, last)
			m.objects[object.Key()] = object
		}
	}
	m.digest = digestOf(m.objects)
	return m
}

func (m *shardModel) shard(name state.ServiceName, first, last uint64) state.Object {
	m.nextID++
	return state.Object{Shard: &state.Shard{
		ID: m.nextID - 1, Service: name, Range: state.KeyRange{First: first, Last: last},
		Phase: phases[m.random.IntN(len(phases))], Owner: state.ServerID([]string{"", "a", "b", "c"}[m.random.IntN(4)]),
		Epoch: state.Epoch(m.random.Uint64N(maxEpoch + 1)), Revision: m.revision,
	}}
}

// ordered returns the shards of a service, sorted by the first hash of their
// ranges.
func (m *shardModel) ordered(name state.ServiceName) []*state.Shard {
	var shards []*state.Shard
	for _, object := range m.objects {
		if object.Shard.Service == name {
			shards = append(shards, object.Shard)
		}
	}
	slices.SortFunc(shards, func(a, b *state.Shard) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return shards
}

// change moves, splits, merges or deletes one shard, or shifts a boundary so
// that the upper shard begins at another hash under the same ID.
func (m *shardModel) change() []state.Object {
	shards := m.ordered(modelServices[m.random.IntN(len(modelServices))])
	if len(shards) < 2 {
		return nil
	}
	at := m.random.IntN(len(shards) - 1)
	lower, upper := *shards[at], *shards[at+1]
	deleted := state.Object{Shard: &state.Shard{ID: upper.ID}, Deleted: true}
	middle := lower.Range.First + (lower.Range.Last-lower.Range.First)/2
	switch m.random.IntN(5) {
	case 0:
		lower.Epoch, lower.Owner, lower.Phase = lower.Epoch/2, "d", state.ShardRevoking
		return []state.Object{{Shard: &lower}}
	case 1:
		added := m.shard(lower.Service, middle+1, lower.Range.Last)
		lower.Range.Last = middle
		return []state.Object{added, {Shard: &lower}}
	case 2:
		lower.Range.Last = upper.Range.Last
		return []state.Object{{Shard: &lower}, deleted}
	case 3:
		upper.Range.First = middle + 1
		lower.Range.Last = middle
		return []state.Object{{Shard: &upper}, {Shard: &lower}}
	default:
		return []state.Object{deleted}
	}
}

// snapshotParts returns the whole table in snapshot parts of a random size. The
// objects are sorted, or in random order in one of three calls.
func (m *shardModel) snapshotParts() []message.TableSnapshot {
	objects := m.snapshot().Objects
	slices.SortFunc(objects, func(a, b state.Object) int {
		return cmp.Or(cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.Range.First, b.Shard.Range.First))
	})
	if m.random.IntN(3) == 0 {
		m.random.Shuffle(len(objects), func(a, b int) { objects[a], objects[b] = objects[b], objects[a] })
	}
	var parts []message.TableSnapshot
	for part := range slices.Chunk(objects, 1+m.random.IntN(700)) {
		parts = append(parts, message.TableSnapshot{Cluster: "c", Revision: m.revision, Digest: m.digest, Objects: part, First: len(parts) == 0})
	}
	parts[len(parts)-1].Last = true
	return parts
}

func (m *shardModel) load(t *testing.T, builder *Builder) bool {
	for _, part := range m.snapshotParts() {
		complete, err := builder.ApplySnapshot(part)
		if err != nil || complete != part.Last {
			t.Logf("snapshot: complete %v, %v", complete, err)
			return false
		}
	}
	return true
}

// matches compares lookups in the table at the first and last hash of every
// range, and at the hash after it, with the model.
func (m *shardModel) matches(t *testing.T, view *Table) bool {
	if view.Summary().Shards != len(m.objects) || view.Digest() != digestOf(m.objects) {
		t.Logf("%d shards, want %d", view.Summary().Shards, len(m.objects))
		return false
	}
	for _, name := range modelServices {
		shards := m.ordered(name)
		for at, shard := range shards {
			want := Shard{ID: shard.ID, Range: shard.Range, Phase: shard.Phase, Owner: shard.Owner, Epoch: shard.Epoch}
			first, _ := view.Lookup(name, shard.Range.First)
			last, _ := view.Lookup(name, shard.Range.Last)
			_, nextFound := view.Lookup(name, shard.Range.Last+1)
			adjacent := at+1 < len(shards) && shards[at+1].Range.First == shard.Range.Last+1
			if first != want || last != want || nextFound != adjacent {
				t.Logf("got %+v and %+v, next found %v, want %+v", first, last, nextFound, want)
				return false
			}
		}
	}
	return true
}

// TestShardsMatchAMap applies random changes, several in a delta, and occasional
// snapshots to the compact table and to a plain map.
func TestShardsMatchAMap(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 10
	properties := gopter.NewProperties(parameters)
	properties.Property("the table holds the map's shards", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		m := newShardModel(random, 2+random.IntN(3*chunkSize))
		builder := NewBuilder()
		if !m.load(t, builder) || !m.matches(t, builder.Table()) {
			return false
		}
		for range 200 {
			if err := builder.ApplyDelta(m.delta(m.change()...)); err != nil {
				t.Log(err)
				return false
			}
			if random.IntN(40) == 0 && !m.load(t, builder) {
				return false
			}
		}
		return m.matches(t, builder.Table())
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestWholeTableSharesEqualShards checks that a snapshot which replaces an equal
// table reuses its chunks.
func TestWholeTableSharesEqualShards(t *testing.T) {
	m := evenShards(5 * chunkSize)
	builder := newLoadedBuilder(t, m)
	random := rand.New(rand.NewPCG(3, 3))
	for step := range 3 {
		if err := builder.ApplyDelta(m.change(random, 10_000+2*step)); err != nil {
			t.Fatal(err)
		}
	}
	before := builder.Table().services[service].ranges.chunks
	m.revision++
	sorted := m.snapshot()
	slices.SortFunc(sorted.Objects, func(a, b state.Object) int { return cmp.Compare(a.Shard.Range.First, b.Shard.Range.First) })
	if _, err := builder.ApplySnapshot(sorted); err != nil {
		t.Fatal(err)
	}
	after := builder.Table().services[service].ranges.chunks
	if !slices.Equal(before, after) {
		t.Errorf("%d chunks before, %d after, and not the same ones", len(before), len(after))
	}
}

// TestShardsThatDoNotFit checks that a shard beyond the bounds of an entry, and
// one that overwrites another, are rejected and leave the table unchanged.
func TestShardsThatDoNotFit(t *testing.T) {
	m := evenShards(3)
	builder := newLoadedBuilder(t, m)
	current := builder.Table()
	epochTooHigh := shardObject(2, 5, 6, maxEpoch+1)
	displacing := shardObject(9, 0, 5, 1)
	for _, each := range []struct {
		object state.Object
		want   error
	}{{epochTooHigh, ErrEntryBounds}, {displacing, ErrDigestMismatch}} {
		delta := message.TableDelta{
			From: m.revision, To: m.revision + 1, Objects: []state.Object{each.object},
			Digest: m.digest ^ state.ObjectDigest(each.object),
		}
		if err := builder.ApplyDelta(delta); !eris.Is(err, each.want) {
			t.Errorf("got %v, want %v", err, each.want)
		}
	}
	if builder.Table() != current {
		t.Error("a rejected shard changed the table")
	}
	names := newNameIndex()
	names.names = make([]string, maxOwner)
	if _, numbered := names.number("last"); !numbered || !names.halfUsed() {
		t.Error("the last name got no number, or the index is not reported as half used")
	}
	if _, numbered := names.number("one more"); numbered {
		t.Error("a name got a number above maxOwner")
	}
}
