package table

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

const service = state.ServiceName("ledger")

func shardObject(id int, first, last uint64, epoch state.Epoch) state.Object {
	return state.Object{Shard: &state.Shard{
		ID: state.ShardID(id), Service: service, Range: state.KeyRange{First: first, Last: last},
		Phase: state.ShardOwned, Owner: "s1", Epoch: epoch, Revision: state.Revision(epoch),
	}}
}

func digestOf(objects map[string]state.Object) uint64 {
	digest := uint64(0)
	for _, object := range objects {
		digest ^= state.ObjectDigest(object)
	}
	return digest
}

// model is a plain map of the objects that a Builder should hold.
type model struct {
	objects  map[string]state.Object
	revision state.Revision
	digest   uint64
}

func (m *model) delta(objects ...state.Object) message.TableDelta {
	for _, object := range objects {
		if earlier, found := m.objects[object.Key()]; found {
			m.digest ^= state.ObjectDigest(earlier)
			delete(m.objects, object.Key())
		}
		if !object.Deleted {
			m.digest ^= state.ObjectDigest(object)
			m.objects[object.Key()] = object
		}
	}
	m.revision++
	return message.TableDelta{From: m.revision - 1, To: m.revision, Objects: objects, Digest: m.digest}
}

func (m *model) snapshot() message.TableSnapshot {
	part := message.TableSnapshot{
		Cluster: "c", Revision: m.revision, Digest: digestOf(m.objects), First: true, Last: true,
	}
	for _, object := range m.objects {
		part.Objects = append(part.Objects, object)
	}
	return part
}

// evenShards returns a model with count shards that cover the whole key space.
func evenShards(count int) *model {
	m := &model{objects: make(map[string]state.Object), revision: 10}
	width := ^uint64(0)/uint64(count) + 1
	for i := range count {
		first := uint64(i) * width
		last := first + width - 1
		if i == count-1 {
			last = ^uint64(0)
		}
		object := shardObject(i+1, first, last, 1)
		m.objects[object.Key()] = object
	}
	m.digest = digestOf(m.objects)
	return m
}

func newLoadedBuilder(t *testing.T, m *model) *Builder {
	t.Helper()
	builder := NewBuilder()
	if complete, err := builder.ApplySnapshot(m.snapshot()); err != nil || !complete {
		t.Fatalf("snapshot: complete %v, %v", complete, err)
	}
	return builder
}

// checkLookups compares lookups of random hashes with a scan of the model.
func checkLookups(t *testing.T, m *model, view *Table, random *rand.Rand) bool {
	t.Helper()
	for range 50 {
		hash := random.Uint64()
		want := state.ShardID(0)
		epoch := state.Epoch(0)
		for _, object := range m.objects {
			if object.Shard.Range.Contains(hash) {
				want, epoch = object.Shard.ID, object.Shard.Epoch
			}
		}
		got, _ := view.Lookup(service, hash)
		if got.ID != want || got.Epoch != epoch {
			t.Logf("hash %d: got shard %d epoch %d, want %d epoch %d", hash, got.ID, got.Epoch, want, epoch)
			return false
		}
	}
	return true
}

// change raises the epoch of a random shard of the model, splits the shard or
// replaces it by a new one, and returns the delta.
func (m *model) change(random *rand.Rand, nextID int) message.TableDelta {
	shards := make([]*state.Shard, 0, len(m.objects))
	for id := 1; id < nextID; id++ {
		if object, found := m.objects[shardObject(id, 0, 0, 0).Key()]; found {
			shards = append(shards, object.Shard)
		}
	}
	chosen := *shards[random.IntN(len(shards))]
	middle := chosen.Range.First + (chosen.Range.Last-chosen.Range.First)/2
	switch random.IntN(4) {
	case 0:
		chosen.Epoch++
		return m.delta(state.Object{Shard: &chosen})
	case 1:
		deleted := state.Object{Shard: &state.Shard{ID: chosen.ID}, Deleted: true}
		return m.delta(deleted, shardObject(nextID, chosen.Range.First, middle, 1), shardObject(nextID+1, middle+1, chosen.Range.Last, 1))
	case 2:
		upper := shardObject(nextID, middle+1, chosen.Range.Last, 1)
		chosen.Range.Last = middle
		return m.delta(upper, state.Object{Shard: &chosen})
	default:
		return m.delta(state.Object{Shard: &state.Shard{ID: chosen.ID}, Deleted: true}, shardObject(nextID, chosen.Range.First, chosen.Range.Last, 1))
	}
}

func TestDeltasMatchModelAndLeaveOldVersionsAlone(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 8
	properties := gopter.NewProperties(parameters)
	properties.Property("every delta leads to the model's table", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		m := evenShards(1 + random.IntN(3*chunkSize))
		builder := newLoadedBuilder(t, m)
		old := builder.Table()
		before := *m
		before.objects = make(map[string]state.Object, len(m.objects))
		for key, object := range m.objects {
			before.objects[key] = object
		}
		for step := range 40 {
			if err := builder.ApplyDelta(m.change(random, 10_000+2*step)); err != nil {
				t.Log(err)
				return false
			}
		}
		summary := builder.Table().Summary()
		return summary.Shards == len(m.objects) && summary.Revision == m.revision && summary.Digest == digestOf(m.objects) &&
			checkLookups(t, m, builder.Table(), random) && checkLookups(t, &before, old, random)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestBuilderRefuses(t *testing.T) {
	m := evenShards(4)
	builder := newLoadedBuilder(t, m)
	current := builder.Table()
	other := m.snapshot()
	other.Cluster = "d"
	older := m.snapshot()
	older.Revision--
	damaged := m.snapshot()
	damaged.Digest++
	for _, c := range []struct {
		part message.TableSnapshot
		want error
	}{{other, ErrClusterDiffers}, {older, ErrRevisionBack}, {damaged, ErrDigestMismatch},
		{message.TableSnapshot{Cluster: "c", Revision: 11, Last: true}, ErrPartOrder}} {
		if _, err := builder.ApplySnapshot(c.part); !eris.Is(err, c.want) {
			t.Errorf("snapshot: got %v, want %v", err, c.want)
		}
	}
	m.delta(shardObject(1, 0, 5, 9)) // missed by the builder
	late := m.delta(shardObject(9, 0, 0, 1))
	missed := late
	missed.From = current.Revision()
	for _, c := range []struct {
		delta message.TableDelta
		want  error
	}{{late, ErrGap}, {missed, ErrDigestMismatch}, {message.TableDelta{From: 8, To: 9}, ErrRevisionBack}} {
		if err := builder.ApplyDelta(c.delta); !eris.Is(err, c.want) {
			t.Errorf("delta: got %v, want %v", err, c.want)
		}
	}
	if builder.Table() != current {
		t.Error("a rejected message changed the table")
	}
}

func TestObjectsComeAndGo(t *testing.T) {
	m := evenShards(2)
	builder := newLoadedBuilder(t, m)
	changed := builder.Changed()
	server := func(name state.ServiceName, deleted bool) state.Object {
		return state.Object{Server: &state.Server{ID: "s1", Service: name, Address: "127.0.0.1:1"}, Deleted: deleted}
	}
	open := state.Object{Router: &state.Router{ID: "r1", Session: state.Session{Open: true}}}
	partition := state.Object{Partition: &state.RecordPartition{Number: 3, Primary: "r1"}}
	settings := state.Object{Service: &state.Service{Name: service, Keyed: true}}
	for _, objects := range [][]state.Object{{server(service, false), open, partition, settings}, {server("other", false)}} {
		if err := builder.ApplyDelta(m.delta(objects...)); err != nil {
			t.Fatal(err)
		}
	}
	<-changed
	view := builder.Table()
	if len(view.Servers(service)) != 0 || len(view.Servers("other")) != 1 || view.OpenRouters() != 1 || view.Partitions() != 1 {
		t.Errorf("unexpected table: %+v", view.Summary())
	}
	if err := builder.ApplyDelta(m.delta(server("other", true))); err != nil {
		t.Fatal(err)
	}
	if _, found := builder.Table().Server("s1"); found || len(builder.Table().Servers("other")) != 0 {
		t.Error("a deleted server is still there")
	}
	if _, found := builder.Table().Service(service); !found {
		t.Error("the service is gone")
	}
}
